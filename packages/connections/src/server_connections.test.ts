import { expect } from "earl";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import {
  type ConnectionLimit,
  trackServerConnections,
} from "./server_connections.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: shop.example\r\n\r\n";

/** A server that keeps its responses open, and a way to connect to it. */
async function setUp(t: TestContext, limit?: ConnectionLimit) {
  const responses: ServerResponse[] = [];
  const server = createServer(({ socket }, response) => {
    connections.begin(socket, response);
    responses.push(response);
    server.emit("received");
  });
  const connections = trackServerConnections(server, limit);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const open = async (): Promise<Socket> => {
    const accepted = once(server, "connection");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    t.after(() => socket.destroy());
    await accepted;
    return socket;
  };
  const send = async (socket: Socket, count: number) => {
    for (let sent = 0; sent < count; sent += 1) {
      const received = once(server, "received");
      socket.write(REQUEST);
      await received;
    }
  };
  return { server, connections, responses, open, send };
}

// Guards against a connection that a shutdown leaves open because no request was
// sent on it, and on which one is taken later.
test("a connection without a request is closed as idle", async (t) => {
  const { connections, open, send } = await setUp(t);
  const [unused, busy] = [await open(), await open()];
  await send(busy, 1);
  const closed = once(unused.resume(), "close");
  connections.closeIdle();
  await closed;
  expect(busy.destroyed).toEqual(false);
  expect(connections.inFlight()).toEqual(1);
});

// Guards against a count that never returns to zero, for which a shutdown waits,
// because a response behind another one does not close.
test("a closed connection ends all its requests", async (t) => {
  const { server, connections, open, send } = await setUp(t);
  const accepted = once(server, "connection");
  const socket = await open();
  const [peer] = await accepted as [Socket];
  await send(socket, 2);
  expect(connections.inFlight()).toEqual(2);
  const closed = once(peer, "close");
  socket.destroy();
  await closed;
  expect(connections.inFlight()).toEqual(0);
});

// Guards against a close that is announced while another request was read.
test("only the last response ends its connection", async (t) => {
  const { server, connections, responses, open, send } = await setUp(t);
  const accepted = once(server, "connection");
  const socket = await open();
  const [peer] = await accepted as [Socket];
  await send(socket, 2);
  expect(connections.endAfterResponse(peer)).toEqual(false);
  expect(connections.isEnding(peer)).toEqual(false);
  const closed = once(responses[0] as ServerResponse, "close");
  responses[0]?.end();
  await closed;
  expect(connections.endAfterResponse(peer)).toEqual(true);
  expect(connections.isEnding(peer)).toEqual(true);
});

// Guards against descriptors that run out, and against a limit that breaks off
// requests in progress or the connections used last.
test("beyond the limit, the longest idle connection closes", async (t) => {
  const closed: string[] = [];
  const { connections, open, send } = await setUp(t, {
    ...{ max: 3, onClosed: (reason) => closed.push(reason) },
  });
  const busy = await open();
  await send(busy, 1);
  const idle = await open();
  const recent = await open();
  const isClosed = once(idle, "close");
  const next = await open();
  await isClosed;
  await send(recent, 1);
  await send(next, 1);
  const refused = await open();
  await once(refused, "close");
  expect(closed).toEqual(["idle", "all busy"]);
  expect(connections.open()).toEqual(3);
  expect([busy, recent, next].map(({ destroyed }) => destroyed))
    .toEqual([false, false, false]);
});
