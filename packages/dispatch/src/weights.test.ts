import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import type { Replica } from "./replica.ts";
import { createWeightTargets, planWeightLoads } from "./weights.ts";

const PATIENCE = 10_000;

function replica(id: string, version: number): Replica {
  const weights = new Map([["m", version]]);
  return {
    entry: {
      id,
      service: "llm",
      address: "10.0.0.1:80",
      zone: "espoo",
      slots: 8,
      state: "ready",
      weights,
    },
    avoidedUntil: 0,
    failures: 0,
    weights,
  };
}

const choose = (replicas: readonly Replica[], loading: readonly string[]) =>
  planWeightLoads(replicas, {
    model: "m",
    target: 3,
    loading: new Set(loading),
    age: 0,
    patience: PATIENCE,
  });

// Guards against restarted daemons that treat a version named 17 s earlier as
// new and let requests start on older weights (albuquerque trouble-2, VERSION).
test("no request starts below a version that existed at the start", () => {
  const weights = createWeightTargets({
    clock: createManualClock(),
    patience: () => PATIENCE,
  });
  weights.name("m", 3, { isOld: true });
  assert(!weights.mayStart("m", 2));
  assert(weights.mayStart("m", 3));
});

test("requests may start on the previous version during the grace period", async () => {
  const clock = createManualClock();
  const weights = createWeightTargets({ clock, patience: () => PATIENCE });
  weights.name("m", 2);
  assert(weights.mayStart("m", 1));
  await clock.advance(PATIENCE);
  assert(!weights.mayStart("m", 1));
  // A newer version does not extend the grace period of an earlier one.
  weights.name("m", 3);
  assert(!weights.mayStart("m", 1));
  assert(weights.mayStart("m", 2));
});

// Guards against ordering replicas that already have the first of two quickly
// named versions to load before those that have neither.
test("replicas with the oldest weights load first", () => {
  const replicas = [replica("a", 2), replica("b", 1), replica("c", 2)];
  const { replicas: chosen } = choose([...replicas, replica("d", 1)], []);
  expect(chosen.map(({ entry }) => entry.id)).toEqual(["b", "d"]);
});

test("at most two of eight replicas load at the same time", () => {
  const replicas = ["a", "b", "c", "d", "e", "f", "g", "h"].map((id) =>
    replica(id, 1)
  );
  expect(choose(replicas, []).replicas.length).toEqual(2);
  expect(choose(replicas, ["a"]).replicas.length).toEqual(1);
  expect(choose(replicas, ["a", "b"]).replicas.length).toEqual(0);
});
