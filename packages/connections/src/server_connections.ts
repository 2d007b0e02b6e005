/**
 * The open connections of a server and the responses that they still owe.
 *
 * Node.js does not count a connection on which no request was sent as idle, so
 * `closeIdleConnections` leaves it open. It emits no "close" for a response that
 * waits behind another one when the connection closes.
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface ServerConnections {
  /** Records a request until its response or its connection has closed. */
  begin(socket: Socket, response: ServerResponse): void;
  /** Number of requests of a connection whose responses are not complete. */
  owed(socket: Socket): number;
  /** Number of open connections. */
  open(): number;
  sockets(): Iterable<Socket>;
  /** Returns true while the connection owes a response. */
  isBusy(socket: Socket): boolean;
  /** Number of requests whose responses are not complete. */
  inFlight(): number;
  /**
   * Returns true when a response may be the last one of its connection, because
   * no other request was read behind it. No request is to be served that is read
   * on the connection afterwards.
   */
  endAfterResponse(socket: Socket): boolean;
  /** Returns true after `endAfterResponse` has returned true. */
  isEnding(socket: Socket): boolean;
  /** Closes the connections that carry no request. */
  closeIdle(): void;
}

export interface ConnectionLimit {
  /** Maximum number of open connections. */
  readonly max: number;
  /** Called with the reason when a connection is closed for the limit. */
  readonly onClosed: (reason: "idle" | "all busy") => void;
}

/**
 * Beyond the limit, the connection that has owed no response for the longest
 * time is closed. When all are busy, the new one is closed.
 */
export function trackServerConnections(
  server: Server,
  limit?: ConnectionLimit,
): ServerConnections {
  /** Number of open exchanges by connection. */
  const exchanges = new Map<Socket, number>();
  /** Connections that owe no response, the longest idle one first. */
  const idle = new Set<Socket>();
  const ending = new WeakSet<Socket>();
  let inFlight = 0;

  server.on("connection", (socket: Socket) => {
    if (limit !== undefined && exchanges.size >= limit.max) {
      const [oldest] = idle;
      limit.onClosed(oldest === undefined ? "all busy" : "idle");
      if (oldest === undefined) {
        socket.destroy();
        return;
      }
      // The event of the close comes later.
      forget(oldest);
      oldest.destroy();
    }
    exchanges.set(socket, 0);
    idle.add(socket);
    socket.once("close", () => forget(socket));
  });

  function forget(socket: Socket): void {
    inFlight -= exchanges.get(socket) ?? 0;
    exchanges.delete(socket);
    idle.delete(socket);
  }

  return {
    begin(socket, response) {
      if (!exchanges.has(socket)) return;
      inFlight += 1;
      exchanges.set(socket, (exchanges.get(socket) ?? 0) + 1);
      idle.delete(socket);
      response.once("close", () => {
        const open = exchanges.get(socket);
        if (open === undefined) return;
        inFlight -= 1;
        exchanges.set(socket, open - 1);
        if (open === 1) idle.add(socket);
      });
    },
    owed: (socket) => exchanges.get(socket) ?? 0,
    open: () => exchanges.size,
    sockets: () => exchanges.keys(),
    isBusy: (socket) => (exchanges.get(socket) ?? 0) > 0,
    inFlight: () => inFlight,
    endAfterResponse(socket) {
      if ((exchanges.get(socket) ?? 0) > 1) return false;
      ending.add(socket);
      return true;
    },
    isEnding: (socket) => ending.has(socket),
    closeIdle() {
      server.closeIdleConnections();
      for (const socket of exchanges.keys()) {
        if (socket.bytesRead === 0) socket.destroy();
      }
    },
  };
}
