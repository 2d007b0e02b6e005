/**
 * Detects pauses of this process, also by a suspension of its VM. After a pause,
 * the known state of the replicas is as old as the pause, and a replica that
 * started to leave in the meantime must not receive work that waited in this
 * process. A start counts as the end of a pause, because nothing is known of the
 * replicas then.
 */
import { type Clock, createSuspendAwareClock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface PauseDetector {
  /** Monotonic time at which the process started or last resumed. */
  resumedAt(): Milliseconds;
  /** Checks for pauses periodically until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

const CHECK_INTERVAL: Milliseconds = 250;

/**
 * A longer time between two checks counts as a pause. This leaves two of the
 * three seconds in which a leaving replica may still receive work
 * (docs/design.md, section 2).
 */
const PAUSE_THRESHOLD: Milliseconds = 1_000;

export function createPauseDetector(clock: Clock): PauseDetector {
  // A forward step of the wall clock counts as a pause, which costs a load report.
  const suspendAwareClock = createSuspendAwareClock(clock);
  let checkedAt = suspendAwareClock.monotonic();
  let resumedAt: Milliseconds = clock.monotonic();

  /**
   * Also called by `resumedAt`: after a pause, other code may run before the
   * timer of `run` does.
   */
  function check(): void {
    const now = suspendAwareClock.monotonic();
    if (now - checkedAt > PAUSE_THRESHOLD) resumedAt = clock.monotonic();
    checkedAt = now;
  }

  return {
    resumedAt() {
      check();
      return resumedAt;
    },
    async run(signal) {
      while (!signal.aborted) {
        check();
        await clock.sleep(CHECK_INTERVAL, signal);
      }
    },
  };
}
