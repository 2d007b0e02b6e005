/**
 * Time during which this process ran. Silence is measured on it, so that a
 * process that was paused does not take its peers for dead when it resumes.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

/** Period at which the time is advanced and silence is checked. */
export const CHECK_PERIOD: Milliseconds = 250;

/** A longer gap between two checks is a pause and counts as this. */
const MAX_STEP: Milliseconds = 1_000;

export interface RunningTime {
  now(): Milliseconds;
  /** Moves on; called each check period. */
  advance(): void;
  /** Length of the last step that does not count. */
  pause(): Milliseconds;
}

export function createRunningTime(clock: Clock): RunningTime {
  let total: Milliseconds = 0;
  let checked = clock.monotonic();
  let pause: Milliseconds = 0;

  function step(): Milliseconds {
    return Math.min(clock.monotonic() - checked, MAX_STEP);
  }

  return {
    now: () => total + step(),
    advance() {
      const counted = step();
      pause = clock.monotonic() - checked - counted;
      total += counted;
      checked = clock.monotonic();
    },
    pause: () => pause,
  };
}
