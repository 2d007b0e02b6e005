import { expect } from "earl";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { test } from "node:test";
import { refusesConnections } from "./refusal.ts";

// Guards against a replica that lives and is taken for one that has ended.
test("an address refuses connections once nothing listens there", async () => {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  expect(await refusesConnections(`127.0.0.1:${port}`)).toEqual(false);
  server.close();
  await once(server, "close");
  expect(await refusesConnections(`127.0.0.1:${port}`)).toEqual(true);
});
