import { createManualClock } from "@peridotvalve/clock";
import { createPrefixIndex } from "@peridotvalve/routing";
import type { CacheEvents } from "@peridotvalve/upstreams";
import { expect } from "earl";
import { test } from "node:test";
import { Ok } from "ts-results-es";
import type { Fleet } from "../fleet/fleet.ts";
import type { Replica } from "../fleet/replica.ts";
import { followCacheEvents } from "./events.ts";

const BLOCKS = ["00000001000000a1", "00000002000000a2"];

function setUp(isReader = () => true) {
  const clock = createManualClock();
  const prefixIndex = createPrefixIndex({ clock, capacity: 64 });
  const requestedAfter: number[] = [];
  const logged: string[] = [];
  let answer: CacheEvents = { incarnation: "i1", first: 1, events: [] };
  const replica = {
    name: "r1",
    settings: { availabilityZone: "espoo" },
    weights: () => "w1",
    engine: {
      readCacheEvents(after: number) {
        requestedAfter.push(after);
        return Promise.resolve(Ok(answer));
      },
    },
  } as unknown as Replica;
  const fleet = { list: () => [replica], find: () => replica };
  const stopped = new AbortController();
  void followCacheEvents({
    clock,
    prefixIndex,
    fleet: fleet as unknown as Fleet,
    log: (name) => void logged.push(name),
    availabilityZone: "espoo",
    isReader,
  }, stopped.signal);
  return {
    requestedAfter,
    logged,
    stop: () => stopped.abort(),
    find: () => prefixIndex.find(BLOCKS, "w1").get("r1"),
    async answerNext(next: CacheEvents) {
      answer = next;
      await clock.advance(1_000);
    },
  };
}

function stored(first: number, sequences: readonly number[]): CacheEvents {
  const events = sequences.map((sequence) => ({
    sequence,
    kind: "stored" as const,
    block: BLOCKS[sequence - 1] ?? "00000009000000a9",
  }));
  return { incarnation: "i1", first, events };
}

test("events are recorded and polling continues after the last one", async () => {
  const testbed = setUp();
  await testbed.answerNext(stored(1, [1, 2]));
  expect(testbed.find()?.blocks).toEqual(2);
  await testbed.answerNext({ incarnation: "i1", first: 1, events: [] });
  expect(testbed.requestedAfter.at(-1)).toEqual(2);
  testbed.stop();
});

test("a gap lowers the confidence in earlier entries", async () => {
  const testbed = setUp();
  await testbed.answerNext(stored(1, [1, 2]));
  const before = testbed.find()?.confidence ?? 0;
  await testbed.answerNext(stored(9, [9]));
  expect(testbed.logged).toEqual(["cache_event_gap"]);
  expect(testbed.find()?.confidence ?? 1).toBeLessThan(before * 0.6);
  testbed.stop();
});

test("a new incarnation is read from its start", async () => {
  // Its sequence numbers restart, so the old cursor would skip its events.
  const testbed = setUp();
  await testbed.answerNext(stored(1, [1, 2]));
  await testbed.answerNext({ incarnation: "i2", first: 1, events: [] });
  await testbed.answerNext({ ...stored(1, [1]), incarnation: "i2" });
  expect(testbed.requestedAfter.at(-1)).toEqual(0);
  expect(testbed.find()?.blocks).toEqual(1);
  testbed.stop();
});

test("a daemon that is not a reader polls no replica", async () => {
  const testbed = setUp(() => false);
  await testbed.answerNext(stored(1, [1, 2]));
  expect(testbed.requestedAfter).toEqual([]);
  testbed.stop();
});
