/**
 * Notices when the event loop runs late. A process that is short of processor
 * time reads a request long after it arrived, and its caller may have left
 * meanwhile: the close lies in the same socket behind the request and is read
 * only in a later turn of the loop.
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
  /** When the loop is late, resolves after it has read all sockets once more. */
  settle(): Promise<void>;
  /** Resolves after the loop has read all sockets once more. */
  readSockets(): Promise<void>;
}

const TICK_PERIOD: Milliseconds = 100;

/** Callers notice nothing of a shorter lag. */
const MAX_LAG: Milliseconds = 200;

/** Age of the last reading of the sockets from which they are read again. */
const MAX_READ_AGE: Milliseconds = 100;

/** A process that is always late must still serve. */
const MAX_ROUNDS = 8;

/** Time after a late tick in which the waiting connections are read. */
const RECOVERY_TIME: Milliseconds = 300;

export function createLoopLag(clock: Clock): LoopLag {
  let lastTick = clock.monotonic();
  /** Time until which the effects of a late tick are still being read. */
  let lateUntil = -Infinity;
  /** The reading that all waiting requests share. */
  let reading: Promise<Milliseconds> | undefined;

  const isLate = () => isOverdue() || clock.monotonic() < lateUntil;
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
    isLate,
    async readSockets() {
      await shareReading();
    },
    async settle() {
      for (let round = 0; round < MAX_ROUNDS && isLate(); round += 1) {
        const readAt = await shareReading();
        // Others that waited may have run before, and closes arrived meanwhile.
        if (clock.monotonic() - readAt < MAX_READ_AGE) return;
      }
    },
  };

  function shareReading(): Promise<Milliseconds> {
    reading ??= readSockets().finally(() => reading = undefined);
    return reading;
  }

  /** Resolves with the time at which the sockets were read. */
  async function readSockets(): Promise<Milliseconds> {
    await nextTurn();
    await nextTurn();
    return clock.monotonic();
  }
}

/** Resolves after the loop has read the sockets that are ready. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
