/**
 * The clock of the operating system.
 */
import { performance } from "node:perf_hooks";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Clock } from "./clock.ts";

export function createSystemClock(): Clock {
  return new (class extends Clock {
    override now(): Timestamp {
      return Date.now();
    }

    override monotonic(): Milliseconds {
      return performance.now();
    }

    override sleep(
      duration: Milliseconds,
      signal?: AbortSignal,
    ): Promise<void> {
      return abortableSleep(duration, signal);
    }
  })();
}

/**
 * A timer that fires later than this was held up by a pause of the process.
 * Timers run before input is read, so after a pause every deadline would seem
 * missed although the data has arrived.
 */
const PAUSE_THRESHOLD: Milliseconds = 100;

function abortableSleep(
  duration: Milliseconds,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const due = performance.now() + duration;
    const finishAfterInput = () => {
      const isLate = performance.now() - due > PAUSE_THRESHOLD;
      if (isLate) setImmediate(finish);
      else finish();
    };
    const timer = setTimeout(finishAfterInput, duration);
    signal?.addEventListener("abort", finish);
  });
}
