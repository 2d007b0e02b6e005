/**
 * How long a datagram can have lain in the receive buffer before it was read. In
 * a process that stood still, what a peer sent before looks as new as what it
 * sends now.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface ReceiveDelay {
  /** Counts a datagram; returns the most that it can have waited. */
  record(): Milliseconds;
  /** Takes the time of a timer of the event loop; called every `TICK_PERIOD`. */
  tick(): void;
}

export const TICK_PERIOD: Milliseconds = 100;

/**
 * A shorter wait is left out: it would be an error of each datagram, and those who
 * use the ages allow for that of a busy process.
 */
export const MIN_STANDSTILL: Milliseconds = 500;

/** Most datagrams that libuv reads from a socket in one turn of the event loop. */
const MAX_READ_PER_TURN = 32;

export function createReceiveDelay({ clock, countTurns }: {
  /** A clock that counts suspensions. */
  readonly clock: Pick<Clock, "monotonic">;
  /** Number of turns of the event loop. */
  readonly countTurns: () => number;
}): ReceiveDelay {
  let lastTick = clock.monotonic();
  let lastTurns = countTurns();
  let received = 0;
  /** Time after which the buffer was empty once. */
  let emptyAfter = lastTick;

  return {
    record() {
      received += 1;
      const wait = clock.monotonic() - emptyAfter;
      return wait < MIN_STANDSTILL ? 0 : wait;
    },
    tick() {
      const turns = countTurns();
      // Timers run before the sockets are read, so each turn since the last tick
      // has read the socket, and one of them did not find a whole batch.
      const wasEmpty = received < MAX_READ_PER_TURN * (turns - lastTurns);
      if (wasEmpty) emptyAfter = lastTick;
      lastTick = clock.monotonic();
      lastTurns = turns;
      received = 0;
    },
  };
}
