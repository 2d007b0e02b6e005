import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Client } from "undici";
import { createConnector, isEndedByReset } from "./connector.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody";

/** How an answer ends: "whole", "reset", or the error that was seen. */
async function readEnd(
  context: TestContext,
  finish: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(ANSWER, () => finish(socket)));
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
      onResponseEnd: () => resolve(isEndedByReset() ? "reset" : "whole"),
      onResponseError: (_, error) => resolve(error.name),
    });
  });
}

// Guards against cut answers that pass as whole ones, and the other way round.
test("a reset is seen at once, with the last bytes and later", async (t) => {
  expect(await readEnd(t, (socket) => socket.end())).toEqual("whole");
  const ends = await Promise.all([
    readEnd(t, (socket) => socket.resetAndDestroy()),
    readEnd(t, (socket) => setTimeout(() => socket.resetAndDestroy(), 30)),
  ]);
  for (const end of ends) expect(end).not.toEqual("whole");
  expect(isEndedByReset()).toEqual(false);
});
