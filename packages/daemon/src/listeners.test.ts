import { readProcessSettings } from "@peridotvalve/settings";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { createDaemon } from "./daemon.ts";

const SETTINGS = "examples/koiratakki/settings/espoo-1.yaml";

// Guards against a daemon that hangs without a log line when one of its
// addresses is in use.
test("startup fails with a message when the operators address is in use", async () => {
  const other = createServer().listen(0, "127.0.0.1");
  await once(other, "listening");
  const { port } = other.address() as AddressInfo;
  const settings = (await readProcessSettings(SETTINGS)).unwrap();
  const used = `127.0.0.1:${port}`;
  const free = "127.0.0.1:0";
  const created = await createDaemon({
    ...settings,
    listeners: { callers: free, peers: free, operators: used },
  }, { write: () => {} });
  other.close();
  expect(created.isErr()).toEqual(true);
  expect(String(created.isErr() && created.error)).toInclude(
    "the operators listener cannot be opened",
  );
});
