/**
 * Connector for `undici` that detects connection resets and can reset
 * connections itself. `undici` takes a
 * response without a length as complete when its connection ends, even by a
 * reset. When the last bytes and the reset arrive together, libuv reports a
 * regular end, but the socket no longer has a peer address.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

export interface ConnectorOptions {
  /** Time limit for connecting. */
  readonly timeout: Milliseconds;
  /** Idle time after which the kernel probes the connection. */
  readonly keepAliveDelay: Milliseconds;
}

/** True while the end of a reset connection is handled. */
let isReset = false;

/** Call this when a response ends; true when it may be truncated. */
export function isEndedByReset(): boolean {
  return isReset;
}

/** True while `closeByReset` runs. */
let isResetting = false;

/**
 * Runs an action that closes connections of a connector, such as the abort of a
 * request, and resets them. A peer that has read nothing for a while then learns
 * of the close together with the request; after a regular end it would begin the
 * request first.
 */
export function closeByReset(action: () => void): void {
  isResetting = true;
  try {
    action();
  } finally {
    isResetting = false;
  }
}

/**
 * With this property, which `resetAndDestroy` sets as well, Node.js closes by a
 * reset. That method first ends the connection, and `undici` fails when data
 * arrives on one that it has aborted.
 */
interface ResettableSocket extends Socket {
  resetAndClosing?: boolean;
}

function allowReset(socket: ResettableSocket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error) => {
    // A connection that is being ended cannot be reset any more.
    if (isResetting && !socket.writableEnded) socket.resetAndClosing = true;
    return destroy(error);
  };
}

/** Creates a connector for the `connect` option of a client or pool. */
export function createConnector(
  { timeout, keepAliveDelay }: ConnectorOptions,
): buildConnector.connector {
  const connectSocket = buildConnector({
    timeout,
    keepAlive: true,
    keepAliveInitialDelay: keepAliveDelay,
  });
  return (options, callback) => {
    connectSocket(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      // With this code, `undici` fails a response instead of completing it.
      socket.prependListener("error", (failure: NodeJS.ErrnoException) => {
        if (failure.code === "ECONNRESET") failure.code = "UND_ERR_SOCKET";
      });
      // Runs before the listener of `undici`. Node caches the peer address when
      // it is first read, so nothing may read it before the end.
      socket.prependListener("end", () => {
        isReset = socket.remoteAddress === undefined;
        queueMicrotask(() => isReset = false);
      });
      allowReset(socket);
      callback(null, socket);
    });
  };
}
