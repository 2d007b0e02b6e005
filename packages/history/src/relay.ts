/**
 * A TCP relay that simulates network faults: it closes open connections and
 * resets new ones, or stops forwarding on open connections while new ones work.
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export interface Relay {
  readonly address: string;
  /** Sets the `host:port` to which new connections are forwarded. */
  setTarget(address: string): void;
  /** While dropped, open connections are closed and new ones are reset. */
  setDropped(isDropped: boolean): void;
  /** Permanently stops forwarding on the connections that are open now. */
  freeze(): void;
  close(): Promise<void>;
}

export async function startRelay(): Promise<Relay> {
  const pairs = new Set<readonly [Socket, Socket]>();
  let target = "";
  let isDropped = false;

  const server = createServer((incoming) => {
    incoming.on("error", () => {});
    if (isDropped) return void incoming.resetAndDestroy();
    const [host = "", port] = target.split(":");
    const outgoing = connect(Number(port), host);
    const pair = [incoming, outgoing] as const;
    pairs.add(pair);
    outgoing.on("error", () => incoming.destroy());
    for (const socket of pair) {
      socket.setNoDelay(true);
      socket.on("close", () => {
        pairs.delete(pair);
        for (const one of pair) one.destroy();
      });
    }
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;

  function destroyAll(): void {
    for (const [incoming, outgoing] of pairs) {
      incoming.destroy();
      outgoing.destroy();
    }
  }

  return {
    address: `127.0.0.1:${port}`,
    setTarget(address) {
      target = address;
    },
    setDropped(dropped) {
      isDropped = dropped;
      if (dropped) destroyAll();
    },
    freeze() {
      for (const [incoming, outgoing] of pairs) {
        incoming.unpipe(outgoing);
        outgoing.unpipe(incoming);
        // Reads and discards bytes, so that neither side sees a close.
        incoming.resume();
        outgoing.resume();
      }
    },
    async close() {
      destroyAll();
      server.close();
      await once(server, "close");
    },
  };
}
