/**
 * Time during which this process was running. The silence of peers is measured
 * in it, so that a process that was paused does not consider its peers dead
 * when it resumes.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

/** Period at which the running time is advanced and silence is checked. */
export const CHECK_PERIOD: Milliseconds = 250;

/** A longer gap between two checks is a pause and counts only this much. */
const MAX_COUNTED_STEP: Milliseconds = 1_000;

export interface RunningTime {
  now(): Milliseconds;
  /** Adds the time since the last check; called once per check period. */
  advance(): void;
  /** Part of the last check period that was not counted. */
  pause(): Milliseconds;
}

export function createRunningTime(clock: Clock): RunningTime {
  let total: Milliseconds = 0;
  let lastCheck = clock.monotonic();
  let pause: Milliseconds = 0;

  function countedStep(): Milliseconds {
    return Math.min(clock.monotonic() - lastCheck, MAX_COUNTED_STEP);
  }

  return {
    now: () => total + countedStep(),
    advance() {
      const counted = countedStep();
      pause = clock.monotonic() - lastCheck - counted;
      total += counted;
      lastCheck = clock.monotonic();
    },
    pause: () => pause,
  };
}
