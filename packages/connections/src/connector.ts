/**
 * `undici` takes an answer without a length as complete when its connection
 * ends, also by a reset. When the last bytes and the reset arrive together,
 * libuv reports a regular end; the socket then has no peer any more.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { buildConnector } from "undici";

export interface ConnectorOptions {
  /** Time to connect. */
  readonly timeout: Milliseconds;
  /** Silence after which the kernel probes the connection. */
  readonly keepAliveDelay: Milliseconds;
}

/** True while the end of a connection that was reset is handled. */
let isReset = false;

/** To be asked when an answer ends; true when it may be cut. */
export function isEndedByReset(): boolean {
  return isReset;
}

/** For the option `connect` of a client or pool. */
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
      // Under this code a reset completes no answer.
      socket.prependListener("error", (failure: NodeJS.ErrnoException) => {
        if (failure.code === "ECONNRESET") failure.code = "UND_ERR_SOCKET";
      });
      // The listener of `undici` runs next. The peer's address is kept once it
      // was read, so nothing may read it before the end.
      socket.prependListener("end", () => {
        isReset = socket.remoteAddress === undefined;
        queueMicrotask(() => isReset = false);
      });
      callback(null, socket);
    });
  };
}
