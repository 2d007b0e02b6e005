/**
 * Waits that grow up to a bound and end at a deadline.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface BackoffOptions {
  readonly first: Milliseconds;
  readonly longest: Milliseconds;
  /** Time from the start after which no further try is made. */
  readonly limit: Milliseconds;
  readonly signal?: AbortSignal;
}

/** Yields once for each try, at once and then after growing waits. */
export async function* tries(
  clock: Clock,
  { first, longest, limit, signal }: BackoffOptions,
): AsyncGenerator<number> {
  const end = clock.monotonic() + limit;
  let wait = first;
  for (let count = 1; !signal?.aborted; count += 1) {
    yield count;
    const remaining = end - clock.monotonic();
    if (remaining <= 0) return;
    await clock.sleep(Math.min(wait, remaining), signal);
    wait = Math.min(wait * 2, longest);
  }
}
