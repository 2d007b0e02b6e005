import { createSystemClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { createEventLogger, createHybridClock } from "@peridotvalve/events";
import { createIntake } from "./intake.ts";
import { createPeerClient, createPeerServer } from "./peer_calls.ts";
import type { OriginRecord } from "./stream_records.ts";

const RECORD: OriginRecord = [
  "0123456789abcdef0123456789abcdef",
  { service: "llm", software: "v1" },
];

async function setUp(t: TestContext) {
  const collected: OriginRecord[] = [];
  const clock = createSystemClock();
  const logger = createEventLogger({
    process: { name: "test", incarnation: "1" },
    clock: createHybridClock(clock),
    write: () => true,
  });
  const server = createPeerServer({
    tables: new Map(),
    intake: createIntake({ clock, logger }),
    dumpStore: () => undefined,
    collect: (records) => collected.push(...records),
    onError: (error) => t.diagnostic(String(error)),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const client = createPeerClient(clock);
  t.after(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { client, collected, address: `127.0.0.1:${port}` };
}

test("a collector takes records of streams", async (t) => {
  const { client, collected, address } = await setUp(t);
  expect(await client.sendStreams(address, [RECORD])).toEqual(true);
  expect(collected).toEqual([RECORD]);
});

// Guards against records that a daemon takes for saved although the collector
// could not read them.
test("records that cannot be read are not taken", async (t) => {
  const { client, collected, address } = await setUp(t);
  const wrong: OriginRecord = ["caller's own name", RECORD[1]];
  expect(await client.sendStreams(address, [RECORD, wrong])).toEqual(false);
  expect(collected).toEqual([]);
});
