import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createStreamOrigins } from "./stream_origins.ts";

const LIFETIME = 30_000;
const ORIGIN = { service: "llm", software: "v1" };

function setUp() {
  const clock = createManualClock();
  const several = new Set<string>();
  const origins = createStreamOrigins({
    clock,
    lifetime: LIFETIME,
    needsSaving: (service) => several.has(service),
  });
  return { clock, several, origins };
}

const keysOf = (
  { saves, removals }: ReturnType<
    ReturnType<typeof createStreamOrigins>["takeBatch"]
  >,
) => [saves.map(([key]) => key), [...removals]];

// Guards against calls to the store for streams of a service with one version.
test("origins are saved once their service has several versions", () => {
  const { several, origins } = setUp();
  origins.record("a", ORIGIN);
  origins.record("b", ORIGIN);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], []]);
  several.add("llm");
  expect(keysOf(origins.takeBatch(1))).toEqual([["a"], []]);
  expect(keysOf(origins.takeBatch(10))).toEqual([["b"], []]);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], []]);
});

// Guards against rows of the store that nobody removes.
test("saved origins are removed when they expire", async () => {
  const { clock, several, origins } = setUp();
  several.add("llm");
  origins.record("a", ORIGIN);
  origins.takeBatch(10);
  origins.remember("b", ORIGIN);
  await clock.advance(LIFETIME);
  expect(origins.find("a")).toEqual(undefined);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], ["a"]]);
});

// Guards against a call to the store for each origin that expires.
test("origins that expire one after the other are removed together", async () => {
  const { clock, several, origins } = setUp();
  several.add("llm");
  for (const key of ["a", "b", "c"]) {
    origins.record(key, ORIGIN);
    origins.takeBatch(10);
    await clock.advance(1_000);
  }
  await clock.advance(LIFETIME - 3_000);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], ["a"]]);
  await clock.advance(2_000);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], []]);
  expect(keysOf(origins.takeBatch(2))).toEqual([[], ["b", "c"]]);
  origins.record("d", ORIGIN);
  origins.takeBatch(10);
  await clock.advance(LIFETIME);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], ["d"]]);
});

test("what could not be saved is tried again", async () => {
  const { clock, several, origins } = setUp();
  several.add("llm");
  origins.record("a", ORIGIN);
  const batch = origins.takeBatch(10);
  origins.giveBack(batch);
  expect(keysOf(origins.takeBatch(10))).toEqual([["a"], []]);
  await clock.advance(LIFETIME);
  origins.giveBack(origins.takeBatch(10));
  expect(keysOf(origins.takeBatch(10))).toEqual([[], ["a"]]);
});

// Guards against records that are gone after the store returned from a copy.
test("own origins are saved anew after the store may have lost them", () => {
  const { several, origins } = setUp();
  several.add("llm");
  origins.record("a", ORIGIN);
  origins.remember("b", ORIGIN);
  origins.takeBatch(10);
  origins.renew();
  expect(keysOf(origins.takeBatch(10))).toEqual([["a"], []]);
});

// Guards against memory that grows with the ids that callers choose.
test("the number of origins is bounded", () => {
  const { origins } = setUp();
  for (let id = 0; id < 30_000; id += 1) origins.record(String(id), ORIGIN);
  expect(origins.find("0")).toEqual(undefined);
  expect(origins.find("9999")).toEqual(undefined);
  expect(origins.find("10000")).toEqual(ORIGIN);
});

// Guards against LOST: a daemon drops what another one has given to it.
test("collected origins are saved, also after they were given away", () => {
  const { origins } = setUp();
  origins.collect("a", ORIGIN);
  expect(origins.hasReturned("a")).toEqual(false);
  expect(keysOf(origins.takeBatch(10))).toEqual([["a"], []]);
  origins.collect("a", ORIGIN);
  expect(origins.hasReturned("a")).toEqual(true);
  expect(keysOf(origins.takeBatch(10))).toEqual([["a"], []]);
  expect(keysOf(origins.takeBatch(10))).toEqual([[], []]);
});
