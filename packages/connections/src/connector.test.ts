import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Client } from "undici";
import { createConnector, isEndedByReset } from "./connector.ts";

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
