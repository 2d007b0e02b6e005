/**
 * Headers that belong to one connection and must not be passed on.
 */

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** True when a header describes the message and not the connection. */
export function isEndToEnd(name: string): boolean {
  return !HOP_BY_HOP.has(name.toLowerCase());
}

/** The end-to-end headers of a raw list [name, value, name, value, …]. */
export function* listEndToEnd(
  raw: readonly string[],
): Generator<readonly [string, string]> {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] as string;
    if (isEndToEnd(name)) yield [name, raw[index + 1] as string];
  }
}
