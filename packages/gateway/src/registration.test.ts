import { createManualClock } from "@peridotvalve/clock";
import { EventLogger } from "@peridotvalve/events";
import { createMemoryPlatform } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { createRegistration } from "./registration.ts";

const TABLE = "daemons";
const SELF = {
  name: "front-1",
  zone: "espoo",
  host: "10.0.0.1",
  datagrams: "10.0.0.1:7700",
  calls: "10.0.0.1:8000",
};

const silentLogger = new (class extends EventLogger {
  override log(): void {}
})();

// Guards against a daemon that is missing from the table for good, as the store
// lost its row when it returned from a copy.
test("a daemon writes its row again when it is told to", async (t) => {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  const registration = createRegistration({
    clock,
    logger: silentLogger,
    store: platform,
    table: TABLE,
    self: SELF,
    seeds: [],
  });
  const stop = new AbortController();
  t.after(() => stop.abort());
  const key = { table: TABLE, key: SELF.name };
  const isListed = async () =>
    (await platform.readRow(key, 1_000)).unwrap() !== undefined;
  const lose = () =>
    platform.transact({
      id: "lost",
      checks: [],
      writes: [{ ...key, value: null }],
    }, 1_000);
  void registration.run(stop.signal);
  await clock.advance(100);
  for (let round = 0; round < 2; round += 1) {
    expect(await isListed()).toEqual(true);
    await lose();
    await clock.advance(5_000);
    expect(await isListed()).toEqual(false);
    registration.renew();
    await clock.advance(2_000);
  }
  expect(await isListed()).toEqual(true);
});
