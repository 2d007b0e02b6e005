/**
 * Faults of the platform stand-in, which `POST /control/faults` sets.
 */
import { z } from "zod";

// Capacity of the real platform: several hundred writes and about 2,000 reads a
// second (docs/design.md, section 3).
const WRITES_PER_SECOND = 500;
const READS_PER_SECOND = 2_000;

const PLATFORM_FAULTS = z.strictObject({
  /** Answers all requests with 503, except those below /control. */
  outage: z.boolean(),
  /** Milliseconds from the arrival of a call to its effect. */
  delay: z.number().nonnegative(),
  /**
   * Fraction (0 to 1) of writes that take effect, but whose connection is
   * closed instead of a response.
   */
  loseAnswerRate: z.number().min(0).max(1),
  /** As `loseAnswerRate`, for this many of the next writes. */
  loseNextAnswers: z.number().int().nonnegative(),
  writesPerSecond: z.number().positive(),
  readsPerSecond: z.number().positive(),
  /** Milliseconds by which the returned list of VMs is out of date. */
  vmListLag: z.number().nonnegative(),
  /** Commits transactions even if their checks fail. */
  ignoreChecks: z.boolean(),
});

export type PlatformFaults = Readonly<z.infer<typeof PLATFORM_FAULTS>>;

export const NO_FAULTS: PlatformFaults = {
  outage: false,
  delay: 0,
  loseAnswerRate: 0,
  loseNextAnswers: 0,
  writesPerSecond: WRITES_PER_SECOND,
  readsPerSecond: READS_PER_SECOND,
  vmListLag: 0,
  ignoreChecks: false,
};

/**
 * A partial update; faults that it doesn't name stay. `freezeConnections` is no
 * state: it freezes the connections that are open when it arrives.
 */
export const FAULT_CHANGE = PLATFORM_FAULTS.partial().extend({
  freezeConnections: z.boolean().optional(),
});

export type FaultChange = Readonly<z.infer<typeof FAULT_CHANGE>>;

export function changeFaults(
  faults: PlatformFaults,
  change: Omit<FaultChange, "freezeConnections">,
): PlatformFaults {
  const present = Object.entries(change).filter(([, value]) =>
    value !== undefined
  );
  return { ...faults, ...Object.fromEntries(present) };
}

/**
 * A token bucket that holds up to one second's calls, so that unused calls of
 * the last second can be made at once.
 */
export abstract class RateLimit {
  /** Consumes one call; returns false when the rate limit is exceeded. */
  abstract take(perSecond: number): boolean;
}

export function createRateLimit(now: () => number): RateLimit {
  let available = Number.POSITIVE_INFINITY;
  let last = now();

  return new (class extends RateLimit {
    override take(perSecond: number): boolean {
      const time = now();
      const refill = (time - last) / 1_000 * perSecond;
      last = time;
      available = Math.min(perSecond, available + refill);
      if (available < 1) return false;
      available -= 1;
      return true;
    }
  })();
}
