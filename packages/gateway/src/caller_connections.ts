/**
 * The open connections of callers. Node.js does not count a connection on which
 * no request was sent as idle, so `closeIdleConnections` leaves it open.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

export interface CallerConnections {
  /** Closes the connections that carry no request. */
  closeIdle(): void;
}

export function trackCallerConnections(server: Server): CallerConnections {
  const sockets = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });

  return {
    closeIdle() {
      server.closeIdleConnections();
      for (const socket of sockets) {
        if (socket.bytesRead === 0) socket.destroy();
      }
    },
  };
}
