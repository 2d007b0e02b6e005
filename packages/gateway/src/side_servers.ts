/**
 * Bounds of the servers beside the one for callers: their connections, and the
 * bodies of requests that need none.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Intake, ListenerName } from "./intake.ts";

/** Tracks the connections of a server whose handler does not do so itself. */
export function trackRequests(
  intake: Intake,
  server: Server,
  listener: ListenerName,
): void {
  const connections = intake.track(server, listener);
  // Runs before the handler, which may end the response at once.
  server.prependListener("request", ({ socket }, response) => {
    connections.begin(socket, response);
    if (!socket.destroyed) intake.closePipelined(socket, listener);
  });
}

/**
 * Closes the connection after the response to a request with a body. Node.js
 * would read and discard the body to its end otherwise.
 */
export function closeUnread(
  { isLimited }: Intake,
  { headers }: IncomingMessage,
  response: ServerResponse,
): void {
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  if (isLimited && hasBody) response.shouldKeepAlive = false;
}
