/**
 * Retries with exponential backoff until a deadline.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface BackoffOptions {
  /** Delay after the first try; it doubles after each further one. */
  readonly first: Milliseconds;
  /** Upper bound of the delay. */
  readonly longest: Milliseconds;
  /** Time after the start from which no further try is made. */
  readonly limit: Milliseconds;
  readonly signal?: AbortSignal;
}

/**
 * Yields the number of each try, starting at 1: the first immediately, the
 * others after increasing delays.
 */
export async function* retryWithBackoff(
  clock: Clock,
  { first, longest, limit, signal }: BackoffOptions,
): AsyncGenerator<number> {
  const end = clock.monotonic() + limit;
  let delay = first;
  for (let count = 1; !signal?.aborted; count += 1) {
    yield count;
    const remaining = end - clock.monotonic();
    if (remaining <= 0) return;
    await clock.sleep(Math.min(delay, remaining), signal);
    delay = Math.min(delay * 2, longest);
  }
}
