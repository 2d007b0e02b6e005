/**
 * Adaptive limit of concurrent requests by additive increase and multiplicative
 * decrease (AIMD) on the observed slowdown, which is the latency divided by the
 * latency expected without a queue.
 *
 * AIMD is used instead of a gradient on the measured minimum for two reasons.
 * Many daemons share the replicas, and AIMD controllers that do not communicate
 * converge to equal parts. The baseline of a gradient rises during a long
 * overload, and the limit with it; the expected latency does not.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { Observation } from "./request.ts";

export abstract class ConcurrencyLimit {
  /** Maximum concurrent requests; an integer of at least 1. */
  abstract current(): number;

  /** Records an observation made while `running` requests were running. */
  abstract record(observation: Observation, running: number): void;
}

export interface ConcurrencyLimitOptions {
  readonly clock: Clock;
  readonly initial: number;
  readonly minimum?: number;
  /** Upper bound of the limit: the total slots of the ready replicas. */
  readonly maximum: () => number;
  /** Slowdown above which an observation counts as late. */
  readonly lateFactor?: number;
  /** Latency up to which an observation never counts as late. */
  readonly target?: Milliseconds;
}

/** The latency doubles when a replica approaches saturation. */
const DEFAULT_LATE_FACTOR = 2;

/** Target for the time to first token. */
const DEFAULT_TARGET: Milliseconds = 300;

/**
 * Fraction of late observations above which the limit decreases. The target is
 * a 95th percentile, so some late observations are normal.
 */
const LATE_FRACTION = 0.1;

/**
 * Observations in a window; with fewer, a tenth is too few to be significant.
 */
const WINDOW_COUNT = 20;

/**
 * Time after which a window closes if it has at least `WINDOW_MINIMUM_COUNT`
 * observations.
 */
const WINDOW_TIME: Milliseconds = 1_000;
const WINDOW_MINIMUM_COUNT = 3;

const DECREASE_FACTOR = 0.85;

/** Fraction of the limit that must have been in use for it to increase. */
const USED_FRACTION = 0.8;

export function createConcurrencyLimit(
  options: ConcurrencyLimitOptions,
): ConcurrencyLimit {
  const { clock } = options;
  const minimum = Math.max(1, options.minimum ?? 1);
  const lateFactor = options.lateFactor ?? DEFAULT_LATE_FACTOR;
  const target = options.target ?? DEFAULT_TARGET;
  let limit = clamp(options.initial);
  let count = 0;
  let late = 0;
  let peak = 0;
  let startedAt = clock.monotonic();

  function clamp(value: number): number {
    return Math.max(1, Math.min(options.maximum(), Math.max(minimum, value)));
  }

  function isLate(observation: Observation): boolean {
    if (observation.overloaded) return true;
    const bound = Math.max(target, lateFactor * observation.expected);
    return observation.latency > bound;
  }

  function isWindowFull(): boolean {
    if (count >= WINDOW_COUNT) return true;
    const elapsed = clock.monotonic() - startedAt;
    return elapsed >= WINDOW_TIME && count >= WINDOW_MINIMUM_COUNT;
  }

  function closeWindow(): void {
    if (late > count * LATE_FRACTION) limit = clamp(limit * DECREASE_FACTOR);
    else if (peak >= limit * USED_FRACTION) limit = clamp(limit + 1);
    count = 0;
    late = 0;
    peak = 0;
    startedAt = clock.monotonic();
  }

  return new (class extends ConcurrencyLimit {
    override current(): number {
      return Math.floor(clamp(limit));
    }

    override record(observation: Observation, running: number): void {
      count += 1;
      if (isLate(observation)) late += 1;
      peak = Math.max(peak, running);
      if (isWindowFull()) closeWindow();
    }
  })();
}
