/**
 * Holds requests back until the process knows which of their callers are still
 * there.
 *
 * The close of a caller lies behind its request in the same socket and is read
 * in a later turn of the event loop. As libuv accepts one connection in each
 * turn, connections under load wait in the backlog for long while no turn takes
 * long, so that the loop does not look late.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface SendGate {
  /**
   * Resolves when all sockets have been read that were readable at the call,
   * with the time up to which they have been read, on the monotonic clock.
   * Requests pass in the order of their calls. The work of one turn is bounded:
   * when it has taken long, the other requests wait for another reading.
   */
  pass(): Promise<Milliseconds>;
  /** Returns true while a reading up to the given time may be relied on. */
  isRecent(readUpTo: Milliseconds): boolean;
}

export interface SendGateOptions {
  readonly clock: Clock;
  /** Resolves after the event loop has read the sockets that are ready. */
  readonly nextTurn?: () => Promise<void>;
}

/** Age from which a reading of the sockets is repeated. */
const MAX_READ_AGE: Milliseconds = 100;

export function createSendGate(
  { clock, nextTurn = waitForNextTurn }: SendGateOptions,
): SendGate {
  const waiting: ((readUpTo: Milliseconds) => void)[] = [];
  let isRunning = false;

  const isRecent = (readUpTo: Milliseconds) =>
    clock.monotonic() - readUpTo <= MAX_READ_AGE;

  async function run(): Promise<void> {
    isRunning = true;
    // The present turn may have read some of the sockets already.
    await nextTurn();
    while (waiting.length > 0) {
      const due = waiting.length;
      const readUpTo = clock.monotonic();
      await nextTurn();
      // One passes in each turn, as a process that is always late must serve.
      for (let passed = 0; passed < due; passed += 1) {
        if (passed > 0 && !isRecent(readUpTo)) break;
        waiting.shift()?.(readUpTo);
        await runPromiseJobs();
      }
    }
    isRunning = false;
  }

  return {
    pass() {
      return new Promise((resolve) => {
        waiting.push(resolve);
        if (!isRunning) void run();
      });
    },
    isRecent,
  };
}

function waitForNextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Resolves after the work of the request that has just passed. */
function runPromiseJobs(): Promise<void> {
  return new Promise((resolve) => process.nextTick(resolve));
}
