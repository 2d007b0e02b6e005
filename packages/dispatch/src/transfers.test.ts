import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { createCacheView } from "./cache_view.ts";
import type { StoreTraits } from "./desired_state.ts";
import type { Replica } from "./replica.ts";
import { createTransferPlanner } from "./transfers.ts";

const REGIONS = new Map([
  ["espoo", "uusimaa"],
  ["vantaa", "uusimaa"],
  ["vaasa", "pohjanmaa"],
]);
const SALT = "m@1";
const SHARED = [{ id: "guide", tokens: 500 }, { id: "session", tokens: 8_000 }];

function replica(id: string, zone: string): Replica {
  const weights = new Map([["m", 1]]);
  return {
    entry: {
      id,
      service: "llm",
      address: `${id}:80`,
      zone,
      slots: 8,
      state: "ready",
      weights,
    },
    avoidedUntil: 0,
    failures: 0,
    weights,
  };
}

function store(address: string, zone: string, capacity = 100_000): StoreTraits {
  return { address, zone, capacity, tokensPerMillisecond: 600, startDelay: 1 };
}

function createPlanner(stores: readonly StoreTraits[]) {
  const clock = createManualClock();
  const cache = createCacheView();
  const planner = createTransferPlanner({
    clock,
    cache,
    stores: () => stores,
    regions: REGIONS,
    prefillRate: () => 100,
  });
  const plan = (target: Replica, peers: readonly Replica[] = []) =>
    planner.plan({
      replica: target,
      salt: SALT,
      shared: SHARED,
      peers: [target, ...peers],
      mayUseStores: true,
    });
  const addParts = (holder: string) => {
    for (const { id: part, tokens } of SHARED) {
      cache.apply(holder, { salt: SALT, part, tokens });
    }
  };
  return { clock, cache, planner, plan, addParts };
}

const here = replica("a", "espoo");

test("parts that are cached nowhere are computed and saved in the region", () => {
  const { plan } = createPlanner([
    store("near", "vantaa"),
    store("far", "vaasa"),
  ]);
  const { parts, fetched, recomputed } = plan(here);
  expect(parts).toEqual([{ saveTo: "near" }, { saveTo: "near" }]);
  expect([fetched, recomputed]).toEqual([0, 0]);
});

test("parts in a store are fetched from there", () => {
  const { plan, addParts } = createPlanner([store("near", "vantaa")]);
  addParts("near");
  const { parts, fetched } = plan(here);
  expect(parts).toEqual([{ fetchFrom: "near" }, { fetchFrom: "near" }]);
  expect(fetched).toEqual(8_500);
});

test("parts are fetched from a replica in the region when no store has them", () => {
  const { plan, addParts } = createPlanner([]);
  addParts("b");
  const { parts } = plan(here, [replica("b", "vantaa")]);
  expect(parts).toEqual([{ fetchFrom: "b:80" }, { fetchFrom: "b:80" }]);
});

// Guards against recomputing long shared parts that only the other region has
// cached; these were a fifth of the prefilled tokens (koiratakki quiet-1).
test("a long part is fetched also from the other region", () => {
  const { plan, cache } = createPlanner([store("far", "vaasa")]);
  const [guide, session] = SHARED;
  cache.apply("a", { salt: SALT, part: guide!.id, tokens: guide!.tokens });
  cache.apply("far", { salt: SALT, part: session!.id, tokens: 8_000 });
  expect(plan(here).parts).toEqual([{}, { fetchFrom: "far" }]);
});

// Guards against fetching a part that is still being written.
test("an incomplete part is not fetched", () => {
  const { plan, cache } = createPlanner([store("near", "espoo")]);
  cache.apply("near", { salt: SALT, part: "guide", tokens: 500 });
  cache.apply("near", { salt: SALT, part: "session", tokens: 4_000 });
  expect(plan(here).fetched).toEqual(500);
});

test("a part after a missing one is not fetched", () => {
  const { plan, cache } = createPlanner([store("near", "espoo")]);
  cache.apply("near", { salt: SALT, part: "session", tokens: 8_000 });
  const { fetched, recomputed } = plan(here);
  expect([fetched, recomputed]).toEqual([0, 8_000]);
});

test("the same part is not saved again while its save is under way", async () => {
  const { clock, planner, plan } = createPlanner([store("near", "espoo")]);
  planner.recordSent(SALT, SHARED, plan(here).parts ?? []);
  expect(plan(here).parts).toEqual(undefined);
  await clock.advance(5_000);
  expect(plan(here).parts?.length).toEqual(2);
});

test("a full store gets no saves", () => {
  const { plan } = createPlanner([store("small", "espoo", 600)]);
  expect(plan(here).parts).toEqual([{ saveTo: "small" }, {}]);
});
