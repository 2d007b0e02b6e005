/**
 * Filters the raw headers of requests that are passed through.
 */
import { isEndToEndHeader } from "@peridotvalve/upstreams";

/** Yields the end-to-end headers of a raw list [name, value, name, value, …]. */
export function* listEndToEnd(
  raw: readonly string[],
): Generator<readonly [string, string]> {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] as string;
    if (isEndToEndHeader(name)) yield [name, raw[index + 1] as string];
  }
}
