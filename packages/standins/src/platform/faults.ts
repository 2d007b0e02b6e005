/**
 * Faults of the platform stand-in, as `POST /control/faults` sets them.
 */
import { z } from "zod";

// The platform carries several hundred writes and about 2,000 reads a second
// (docs/design.md, section 3).
const WRITES_PER_SECOND = 500;
const READS_PER_SECOND = 2_000;

const PLATFORM_FAULTS = z.strictObject({
  /** Answers 503 to everything outside /control. */
  outage: z.boolean(),
  /** Milliseconds before a call takes effect. */
  delay: z.number().nonnegative(),
  /** Share of writes whose connection is destroyed after the effect. */
  loseAnswerRate: z.number().min(0).max(1),
  /** Count of coming writes whose connection is destroyed after the effect. */
  loseNextAnswers: z.number().int().nonnegative(),
  writesPerSecond: z.number().positive(),
  readsPerSecond: z.number().positive(),
  /** Milliseconds by which the list of VMs is behind. */
  vmListLag: z.number().nonnegative(),
  /** Commits transactions whose checks do not hold. */
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
 * A change of some faults; the others stay. `freezeConnections` acts once, on
 * the connections that are open.
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

/** A limit on calls per second; unused calls of the last second carry over. */
export abstract class RateLimit {
  /** Takes one call from the limit, or returns false when none is left. */
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
