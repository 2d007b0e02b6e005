import { createManualClock } from "@peridotvalve/clock";
import { applyConfiguration } from "@peridotvalve/configuration";
import { createMemoryPlatform } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { waitUntilCurrent } from "./wait_until_current.ts";

async function setUp(
  { outage = false, version = 0, isMalformed = false } = {},
) {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  const change = { change: "a", content: {}, author: "test" };
  await applyConfiguration(change, { platform, clock });
  if (isMalformed) {
    const head = { table: "config", key: "head", value: { release: 9 } };
    await platform.transact({ id: "b", checks: [], writes: [head] }, 1_000);
  }
  platform.setFaults({ outage });
  const state = { version, outcome: undefined as boolean | undefined };
  const controller = new AbortController();
  const options = { clock, platform, version: () => state.version };
  const waiting = waitUntilCurrent(options, controller.signal);
  waiting.then((outcome) => state.outcome = outcome);
  return { clock, state, controller };
}

// A daemon with an outdated configuration would otherwise roll out a version
// that an accepted change has replaced.
test("a daemon behind the head waits until it is up to date", async () => {
  const { clock, state } = await setUp();
  await clock.advance(10_000);
  expect(state.outcome).toEqual(undefined);
  state.version = 1;
  await clock.advance(1_000);
  expect(state.outcome).toEqual(true);
});

test("an unreadable head is not taken as the current version", async () => {
  const behind = { outage: true, version: 1 };
  const { clock, state, controller } = await setUp(behind);
  await clock.advance(10_000);
  expect(state.outcome).toEqual(undefined);
  controller.abort();
  await clock.advance(1_000);
  expect(state.outcome).toEqual(false);
});

// Guards against orders from an older configuration, because the head was
// written by a later release and counted as none.
test("a head that cannot be parsed is not taken as none", async () => {
  const { clock, state, controller } = await setUp({ isMalformed: true });
  await clock.advance(10_000);
  expect(state.outcome).toEqual(undefined);
  controller.abort();
  await clock.advance(1_000);
});
