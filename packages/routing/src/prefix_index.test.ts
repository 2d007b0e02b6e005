import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createPrefixIndex } from "./prefix_index.ts";

const BLOCKS = ["00000001000000a1", "00000002000000a2", "00000003000000a3"];
const HOLDER = { replica: "r1", incarnation: "i1", weights: "w1" };

function setUp(capacity = 1_000) {
  const clock = createManualClock();
  const prefixIndex = createPrefixIndex({ clock, capacity, halfLife: 60_000 });
  return { clock, prefixIndex };
}

test("a prefix ends at its last known block and before a removed one", () => {
  const { prefixIndex } = setUp();
  prefixIndex.recordDispatch(HOLDER, BLOCKS.slice(0, 2));
  expect(prefixIndex.find(BLOCKS, "w1").get("r1")?.blocks).toEqual(2);
  const removed = { kind: "removed", block: BLOCKS[1]! } as const;
  prefixIndex.recordEvents(HOLDER, { events: [removed], gap: false });
  expect(prefixIndex.find(BLOCKS, "w1").get("r1")?.blocks).toEqual(1);
});

test("a prefix whose first block was removed is not found", () => {
  // Engines evict the least recently used block, which is often the first block
  // of a prompt. The remaining blocks alone save no work.
  const { prefixIndex } = setUp();
  prefixIndex.recordDispatch(HOLDER, BLOCKS);
  const removed = { kind: "removed", block: BLOCKS[0]! } as const;
  prefixIndex.recordEvents(HOLDER, { events: [removed], gap: false });
  expect(prefixIndex.find(BLOCKS, "w1").size).toEqual(0);
});

test("a new incarnation or weight version removes a replica's entries", () => {
  for (const change of [{ incarnation: "i2" }, { weights: "w2" }]) {
    const { prefixIndex } = setUp();
    prefixIndex.recordDispatch(HOLDER, BLOCKS);
    prefixIndex.recordDispatch({ ...HOLDER, replica: "r2" }, BLOCKS);
    expect(prefixIndex.find(BLOCKS, "w2").size).toEqual(0);
    prefixIndex.recordHolder({ ...HOLDER, ...change });
    expect([...prefixIndex.find(BLOCKS, "w1").keys()]).toEqual(["r2"]);
  }
});

test("the first report of an incarnation keeps the entries of own dispatches", () => {
  const { prefixIndex } = setUp();
  prefixIndex.recordDispatch({ replica: "r1", weights: "w1" }, BLOCKS);
  prefixIndex.recordHolder(HOLDER);
  expect(prefixIndex.find(BLOCKS, "w1").size).toEqual(1);
});

test("confidence halves with the half-life and with a gap", async () => {
  const { clock, prefixIndex } = setUp();
  const confidence = () =>
    prefixIndex.find(BLOCKS, "w1").get("r1")?.confidence ?? 0;
  prefixIndex.recordDispatch(HOLDER, BLOCKS);
  const fresh = confidence();
  await clock.advance(60_000);
  expect(Math.abs(confidence() / fresh - 0.5) < 0.01).toEqual(true);
  prefixIndex.recordEvents(HOLDER, { events: [], gap: true });
  expect(Math.abs(confidence() / fresh - 0.25) < 0.01).toEqual(true);
  await clock.advance(600_000);
  expect(prefixIndex.find(BLOCKS, "w1").size).toEqual(0);
});

test("the index keeps its size and its newest entries", async () => {
  const { clock, prefixIndex } = setUp(64);
  const before = prefixIndex.byteLength();
  const hash = (index: number) =>
    `${(index * 7_919).toString(16).padStart(8, "0")}${
      index.toString(16).padStart(8, "0")
    }`;
  for (let index = 0; index < 500; index += 1) {
    prefixIndex.recordDispatch(HOLDER, [hash(index)]);
    await clock.advance(100);
  }
  expect(prefixIndex.byteLength()).toEqual(before);
  expect(prefixIndex.find([hash(499)], "w1").size).toEqual(1);
  expect(prefixIndex.find([hash(0)], "w1").size).toEqual(0);
});
