/**
 * Lets connections be read one after the other, one in each turn of the event
 * loop. One read of a connection may hold thousands of tiny pieces or requests,
 * whose objects take many times its 64 KiB, and Node.js reads all connections that
 * have data in the same turn.
 */
import type { Socket } from "node:net";

export interface ReadTurns {
  /** Stops reading the connection until those before it have been read. */
  wait(socket: Socket): void;
  /** Stops reading the connection for good. */
  stop(socket: Socket): void;
}

/**
 * The properties with which the HTTP server of Node.js 20 pauses a connection
 * whose responses are not read: while `_paused` is set, reading the body does not
 * resume the connection, and the parser takes nothing more. `pause` of a request
 * stops reading only after another 16 KiB, which are 16,384 buffer objects if each
 * has one byte.
 */
interface HeldSocket extends Socket {
  _paused?: boolean;
  readonly parser?: { resume(): void } | null;
}

export function createReadTurns(): ReadTurns {
  const waiting: HeldSocket[] = [];
  const stopped = new WeakSet<HeldSocket>();

  function readNext(): void {
    const socket = waiting.shift();
    if (waiting.length > 0) setImmediate(readNext);
    if (socket === undefined || socket.destroyed || stopped.has(socket)) {
      return;
    }
    socket._paused = false;
    socket.parser?.resume();
    socket.resume();
  }

  return {
    wait(socket: HeldSocket) {
      if (socket._paused === true || socket.destroyed) return;
      socket._paused = true;
      socket.pause();
      waiting.push(socket);
      if (waiting.length === 1) setImmediate(readNext);
    },
    stop(socket: HeldSocket) {
      stopped.add(socket);
      socket._paused = true;
      socket.pause();
    },
  };
}
