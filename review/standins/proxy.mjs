// A TCP proxy that can be cut: while it is, no byte passes in either direction.
import { connect, createServer } from "node:net";
import { once } from "node:events";
import { takeHost } from "./net.mjs";

export async function startProxy(target) {
  const [host, port] = target.split(":");
  const links = new Set();
  const held = new Set();
  let isCut = false;

  /** Passes on what one side sends; holds it back during a cut. */
  function pump(from, to, link) {
    from.on("data", (chunk) => {
      if (isCut) link.pending.push([to, chunk]);
      else to.write(chunk);
    });
    from.on("error", () => {});
    from.on("close", () => {
      link.isClosed = true;
      links.delete(link);
      to.destroy();
    });
  }

  function open(socket) {
    socket.on("error", () => {});
    if (isCut) {
      held.add(socket);
      socket.pause();
      socket.once("close", () => held.delete(socket));
      return;
    }
    const upstream = connect(Number(port), host);
    const link = { pending: [], isClosed: false };
    links.add(link);
    pump(socket, upstream, link);
    pump(upstream, socket, link);
    socket.resume();
  }

  const server = createServer(open);
  const own = takeHost();
  server.listen(0, own);
  await once(server, "listening");

  return {
    address: `${own}:${server.address().port}`,
    cut() {
      isCut = true;
    },
    heal() {
      isCut = false;
      for (const link of links) {
        for (const [to, chunk] of link.pending.splice(0)) to.write(chunk);
      }
      for (const socket of [...held]) {
        held.delete(socket);
        if (!socket.destroyed) open(socket);
      }
    },
    close() {
      server.close();
    },
  };
}
