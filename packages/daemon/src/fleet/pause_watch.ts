/**
 * Tells when this process last resumed after a pause. What it believes of the
 * replicas is then as old as the pause, and a replica that was told to leave
 * in the meantime must get no work that waited here.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface PauseDetector {
  /** Monotonic time at which the process resumed; -Infinity before a pause. */
  resumedAt(): Milliseconds;
  /** Notes that the process runs, until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

const PERIOD: Milliseconds = 250;

/**
 * A longer gap is a pause. It leaves two of the three seconds in which a
 * leaving replica may still get work (docs/design.md, section 2).
 */
const PAUSE: Milliseconds = 1_000;

export function createPauseDetector(clock: Clock): PauseDetector {
  let lookedAt = clock.monotonic();
  let resumedAt: Milliseconds = -Infinity;

  /** Timers run after a pause too, so whoever asks first notices it. */
  function look(): void {
    const now = clock.monotonic();
    if (now - lookedAt > PAUSE) resumedAt = now;
    lookedAt = now;
  }

  return {
    resumedAt() {
      look();
      return resumedAt;
    },
    async run(signal) {
      while (!signal.aborted) {
        look();
        await clock.sleep(PERIOD, signal);
      }
    },
  };
}
