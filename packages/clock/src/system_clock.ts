/**
 * A clock that reads the operating system's wall and monotonic clocks.
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
 * A timer that fires later than this was delayed by a pause of the process.
 * The event loop runs timers before it reads input, so after a pause every
 * deadline would appear missed although the data has arrived. A late timer
 * therefore resolves only after pending input has been read.
 */
const PAUSE_THRESHOLD: Milliseconds = 100;

function abortableSleep(
  duration: Milliseconds,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const sleepers = signal === undefined ? undefined : sleepersOf(signal);
    const finish = () => {
      clearTimeout(timer);
      sleepers?.delete(finish);
      resolve();
    };
    const due = performance.now() + duration;
    const finishAfterInput = () => {
      const isLate = performance.now() - due > PAUSE_THRESHOLD;
      if (isLate) setImmediate(finish);
      else finish();
    };
    const timer = setTimeout(finishAfterInput, duration);
    sleepers?.add(finish);
  });
}

/**
 * What ends the sleeps that wait for a signal. All of them share one listener,
 * because adding and removing one takes longer than the rest of a sleep, and
 * removal searches all listeners of the signal.
 */
const sleepersBySignal = new WeakMap<AbortSignal, Set<() => void>>();

function sleepersOf(signal: AbortSignal): Set<() => void> {
  const known = sleepersBySignal.get(signal);
  if (known !== undefined) return known;
  const sleepers = new Set<() => void>();
  sleepersBySignal.set(signal, sleepers);
  signal.addEventListener("abort", () => {
    for (const finish of [...sleepers]) finish();
  }, { once: true });
  return sleepers;
}
