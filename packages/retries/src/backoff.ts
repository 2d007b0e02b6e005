/**
 * Exponential backoff between attempts with full jitter: the delay is uniform
 * between 0 and a bound that doubles with each retry. The jitter spreads the
 * retries of many callers of a failed upstream.
 */
import type { Milliseconds } from "@peridotvalve/types";

export interface BackoffOptions {
  /** Upper bound of the first delay. */
  readonly base?: Milliseconds;
  /** Maximum of the upper bound. */
  readonly limit?: Milliseconds;
  /** Returns numbers that are uniform in [0, 1). */
  readonly random: () => number;
}

/** Shorter than a tenth of the target for the first token (0.3 s). */
const DEFAULT_BASE: Milliseconds = 25;

const DEFAULT_LIMIT: Milliseconds = 1_000;

/** The delay before a retry; the first retry is number 0. */
export function backoffDelay(
  retry: number,
  options: BackoffOptions,
): Milliseconds {
  const base = options.base ?? DEFAULT_BASE;
  const limit = options.limit ?? DEFAULT_LIMIT;
  return options.random() * Math.min(limit, base * 2 ** retry);
}
