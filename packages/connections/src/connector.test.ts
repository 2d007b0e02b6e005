import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Client } from "undici";
import { closeByReset, createConnector, isEndedByReset } from "./connector.ts";

const RESPONSE = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody";

/** How the response ends: "complete", "reset", or the name of the error. */
async function observeEnd(
  context: TestContext,
  finish: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(RESPONSE, () => finish(socket)));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = new Client(`http://127.0.0.1:${port}`, {
    connect: createConnector({ timeout: 1_000, keepAliveDelay: 1_000 }),
  });
  context.after(async () => {
    await client.destroy();
    server.close();
  });
  return await new Promise((resolve) => {
    client.dispatch({ method: "GET", path: "/" }, {
      onRequestStart() {},
      onResponseStart() {},
      onResponseData() {},
      onResponseEnd: () => resolve(isEndedByReset() ? "reset" : "complete"),
      onResponseError: (_, error) => resolve(error.name),
    });
  });
}

// Guards against truncated responses that are taken as complete, and against
// complete ones that are taken as truncated.
test("a reset is detected with the last bytes and after them", async (t) => {
  expect(await observeEnd(t, (socket) => socket.end())).toEqual("complete");
  const ends = await Promise.all([
    observeEnd(t, (socket) => socket.resetAndDestroy()),
    observeEnd(t, (socket) => setTimeout(() => socket.resetAndDestroy(), 30)),
  ]);
  for (const end of ends) expect(end).not.toEqual("complete");
  expect(isEndedByReset()).toEqual(false);
});

// Guards against GONE: a replica that was silent for a while begins requests
// whose callers have left, as it reads them before the end of the connection;
// and against data on a connection that undici has aborted, which ends a process.
test("an aborted request resets its connection", async (t) => {
  const errors: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      errors.push(code ?? "");
    });
    socket.once("data", () => server.emit("received"));
    socket.on("close", () => server.emit("ended"));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  const connect = createConnector({ timeout: 1_000, keepAliveDelay: 1_000 });
  const client = new Client(`http://127.0.0.1:${port}`, {
    connect: (options, callback) =>
      connect(options, (...[error, socket]) => {
        if (error !== null) return callback(error, null);
        sockets.push(socket);
        callback(null, socket);
      }),
  });
  t.after(async () => {
    await client.destroy();
    server.close();
  });
  for (const count of [1, 2]) {
    let abort = (_: Error) => {};
    const failed = new Promise<void>((resolve) => {
      client.dispatch({ method: "GET", path: "/" }, {
        onRequestStart: (controller) =>
          abort = controller.abort.bind(controller),
        onResponseError: () => resolve(),
      });
    });
    await once(server, "received");
    const ended = once(server, "ended");
    closeByReset(() => abort(new Error("caller left")));
    expect(sockets.at(-1)?.destroyed).toEqual(true);
    await Promise.all([failed, ended]);
    expect(errors).toEqual(Array.from({ length: count }, () => "ECONNRESET"));
  }
});
