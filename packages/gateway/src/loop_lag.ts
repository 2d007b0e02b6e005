/**
 * Notices when the event loop runs late. In a process that is short of processor
 * time, a connection to a replica may be ready for a request long before the
 * close of its caller is read.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { performance } from "node:perf_hooks";

/** Number of turns of the event loop since the process started. */
export function countTurns(): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount;
}

export interface LoopLag {
  /** Measures the lag until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Returns true when events may have waited for long. */
  isLate(): boolean;
}

const TICK_PERIOD: Milliseconds = 100;

/** Callers notice nothing of a shorter lag. */
const MAX_LAG: Milliseconds = 200;

/** Time after a late tick in which the waiting connections are read. */
const RECOVERY_TIME: Milliseconds = 300;

export function createLoopLag(clock: Clock): LoopLag {
  let lastTick = clock.monotonic();
  /** Time until which the effects of a late tick are still being read. */
  let lateUntil = -Infinity;

  const isOverdue = () => clock.monotonic() - lastTick > TICK_PERIOD + MAX_LAG;

  return {
    async run(signal) {
      while (!signal.aborted) {
        lastTick = clock.monotonic();
        await clock.sleep(TICK_PERIOD, signal);
        if (!isOverdue()) continue;
        // The timer of this tick ran before the sockets are read, and a
        // connection, its request and its close are read one after the other.
        lateUntil = clock.monotonic() + RECOVERY_TIME;
      }
    },
    isLate: () => isOverdue() || clock.monotonic() < lateUntil,
  };
}
