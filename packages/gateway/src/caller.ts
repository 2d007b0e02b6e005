/**
 * The response side of a caller's request. A successful response is either sent
 * completely or visibly broken off. A refusal with status 503 is sent only when
 * the request has not run.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Reason of requests that the daemon does not take because it shuts down. */
export const SHUTTING_DOWN = "shutting down";

/** Delay after which a caller may retry on another daemon. */
export const SHUTDOWN_RETRY_AFTER: Milliseconds = 100;

export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /**
   * Delay after which the caller may retry; set only for requests that have not
   * run.
   */
  readonly retryAfter?: Milliseconds;
}

export abstract class Caller {
  /**
   * Returns true when the caller disconnected before the end of its response.
   */
  abstract hasDisconnected(): boolean;
  abstract onDisconnect(listener: () => void): void;
  /** Starts to forward a replica's response. */
  abstract writeHead(status: number, headers: readonly string[]): void;
  abstract hasStarted(): boolean;
  /** Resolves when the caller can take more data or has disconnected. */
  abstract write(bytes: Uint8Array): Promise<void>;
  abstract finish(): void;
  /**
   * Destroys the connection, so that the caller sees an incomplete response.
   */
  abstract destroy(): void;
  /**
   * Sends a refusal. With `unread`, the rest of the request's body, the
   * connection is closed when that resolves: closed at once, it would be reset,
   * and a caller that is still writing might not read the refusal.
   */
  abstract refuse(refusal: Refusal, unread?: Promise<void>): void;
}

export interface CallerOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: { readonly name: string; readonly value: string };
  /** Returns true when the connection is to be closed after the response. */
  readonly shouldCloseConnection: () => boolean;
}

export function createCaller(options: CallerOptions): Caller {
  const { request, response, requestId, shouldCloseConnection } = options;
  const listeners: (() => void)[] = [];
  let isDisconnected = false;
  function recordDisconnect(): void {
    if (isDisconnected || response.writableFinished) return;
    isDisconnected = true;
    for (const listener of listeners) listener();
  }
  // The end of the socket is read some turns of the event loop before the
  // response closes, and a response that waits behind another one never closes.
  const { socket } = request;
  socket.once("end", recordDisconnect);
  socket.once("close", recordDisconnect);
  response.once("close", () => {
    socket.off("end", recordDisconnect);
    socket.off("close", recordDisconnect);
    recordDisconnect();
  });
  // A connection reset is also followed by "close", which handles it.
  response.on("error", () => {});

  return new (class extends Caller {
    override hasDisconnected(): boolean {
      return isDisconnected;
    }

    override onDisconnect(listener: () => void): void {
      if (isDisconnected) listener();
      else listeners.push(listener);
    }

    override writeHead(status: number, headers: readonly string[]): void {
      if (shouldCloseConnection()) response.shouldKeepAlive = false;
      response.writeHead(status, [...filterHopByHopHeaders(headers)]);
    }

    override hasStarted(): boolean {
      return response.headersSent;
    }

    override async write(bytes: Uint8Array): Promise<void> {
      if (isDisconnected || response.write(bytes)) return;
      await new Promise<void>((resolve) => {
        const done = () => {
          response.off("drain", done);
          response.off("close", done);
          resolve();
        };
        response.once("drain", done);
        response.once("close", done);
      });
    }

    override finish(): void {
      response.end();
    }

    override destroy(): void {
      // Without chunks, a regular end would complete the response.
      if (request.httpVersion === "1.0") socket.resetAndDestroy();
      response.destroy();
    }

    override refuse(
      { status, reason, retryAfter }: Refusal,
      unread?: Promise<void>,
    ): void {
      if (isDisconnected || response.headersSent) return;
      const mustClose = unread !== undefined;
      if (shouldCloseConnection() || mustClose) {
        response.shouldKeepAlive = false;
      }
      const body = Buffer.from(JSON.stringify({ error: reason }));
      const headers = [
        "content-type",
        "application/json",
        "content-length",
        String(body.length),
        requestId.name,
        requestId.value,
      ];
      if (retryAfter !== undefined) {
        headers.push("retry-after", (retryAfter / 1_000).toFixed(2));
      }
      response.writeHead(status, headers);
      if (unread === undefined) {
        response.end(body);
        return;
      }
      response.write(body);
      void unread.then(() => response.end());
    }
  })();
}

/** Yields the end-to-end headers of a flat list of names and values. */
export function* filterHopByHopHeaders(
  headers: readonly string[],
): Generator<string> {
  const connectionOptions = new Set<string>();
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() !== "connection") continue;
    for (const name of headers[at + 1]?.split(",") ?? []) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const [name = "", value = ""] = [headers[at], headers[at + 1]];
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || connectionOptions.has(lower)) continue;
    yield name;
    yield value;
  }
}
