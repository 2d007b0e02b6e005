/**
 * Notices when the event loop runs late. In a process that is short of processor
 * time, a connection to a replica may be ready for a request long before the
 * close of its caller is read. After a standstill of the process, what it learns
 * may have been known elsewhere since the standstill began.
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
  /**
   * Time on the suspend-aware clock since which this process may not have heard
   * what it learns now: the present, or the start of a standstill that has just
   * ended.
   */
  unheardSince(): Milliseconds;
}

const TICK_PERIOD: Milliseconds = 100;

/** Callers notice nothing of a shorter lag. */
const MAX_LAG: Milliseconds = 200;

/** Time after a late tick in which the waiting connections are read. */
const RECOVERY_TIME: Milliseconds = 300;

/** A shorter pause is within the usual delay until a change is known. */
const MIN_STANDSTILL: Milliseconds = 1_000;

/**
 * Time after a standstill in which the changes made meanwhile become known: a
 * read of the store that was under way ends, or a neighbor tells of them.
 */
const CATCH_UP_TIME: Milliseconds = 3_000;

export function createLoopLag(
  clock: Clock,
  suspendAwareClock: Clock = clock,
): LoopLag {
  /** Newest time at which this process ran, on the suspend-aware clock. */
  let lastRun = suspendAwareClock.monotonic();
  let standstill = { start: -Infinity, end: -Infinity };
  let lastTick = clock.monotonic();
  /** Time until which the effects of a late tick are still being read. */
  let lateUntil = -Infinity;

  const isOverdue = () => clock.monotonic() - lastTick > TICK_PERIOD + MAX_LAG;

  function recordRun(): Milliseconds {
    const now = suspendAwareClock.monotonic();
    if (now - lastRun > MIN_STANDSTILL) {
      const isCaughtUp = lastRun - standstill.end >= CATCH_UP_TIME;
      const start = isCaughtUp ? lastRun : standstill.start;
      standstill = { start, end: now };
    }
    lastRun = now;
    return now;
  }

  return {
    async run(signal) {
      while (!signal.aborted) {
        lastTick = clock.monotonic();
        recordRun();
        await clock.sleep(TICK_PERIOD, signal);
        if (!isOverdue()) continue;
        // The timer of this tick ran before the sockets are read, and a
        // connection, its request and its close are read one after the other.
        lateUntil = clock.monotonic() + RECOVERY_TIME;
      }
    },
    isLate: () => isOverdue() || clock.monotonic() < lateUntil,
    unheardSince() {
      const now = recordRun();
      return now - standstill.end < CATCH_UP_TIME ? standstill.start : now;
    },
  };
}
