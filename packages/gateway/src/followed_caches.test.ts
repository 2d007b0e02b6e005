import { createManualClock } from "@peridotvalve/clock";
import { createReplicaTable } from "@peridotvalve/dispatch";
import { expect } from "earl";
import { test } from "node:test";
import { createFollowedCaches } from "./followed_caches.ts";

function createFollowed(
  fleet: { daemons: number; groups: number; rank: number },
) {
  const clock = createManualClock();
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.put({
    ...{ id: "a", service: "llm", address: "a:80", zone: "espoo", slots: 8 },
    state: "ready",
    weights: new Map([["m", 1]]),
  });
  const store = {
    ...{ address: "s:80", zone: "espoo", capacity: 1_000 },
    ...{ tokensPerMillisecond: 600, startDelay: 1 },
  };
  return createFollowedCaches({
    replicas,
    stores: () => [store],
    daemons: () => fleet.daemons,
    groups: () => fleet.groups,
    rank: () => fleet.rank,
    knowsDaemons: () => true,
    knowsNeighbors: () => true,
  }).list().map(({ id }) => id);
}

test("every daemon of a small fleet follows all caches", () => {
  expect(createFollowed({ daemons: 8, groups: 1, rank: 7 }))
    .toEqual(["a", "s:80"]);
});

// Guards against 195 daemons that call a store that accepts 12 calls, and
// against a large fleet in which nobody follows it.
test("each group of a large fleet has its share of a store's followers", () => {
  const large = { daemons: 195, groups: 6 };
  expect(createFollowed({ ...large, rank: 0 })).toEqual(["s:80"]);
  expect(createFollowed({ ...large, rank: 1 })).toEqual([]);
  const single = { daemons: 16, groups: 1 };
  expect(createFollowed({ ...single, rank: 9 })).toEqual(["s:80"]);
  expect(createFollowed({ ...single, rank: 10 })).toEqual([]);
});
