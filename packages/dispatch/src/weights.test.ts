import assert from "node:assert/strict";
import { test } from "node:test";
import { type Clock, createManualClock } from "@peridotvalve/clock";
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

// Guards against VERSION: a daemon that stood still for 20 s learns of a version
// that was named meanwhile, and lets requests start below it as if it were new.
test("a version that was named during a standstill gets no time anew", async () => {
  const clock = createManualClock();
  await clock.advance(60_000);
  const weights = createWeightTargets({
    ...{ clock, patience: () => PATIENCE },
    unheardSince: () => clock.monotonic() - 20_000,
  });
  weights.name("m", 2);
  assert(!weights.mayStart("m", 1));
  expect(weights.age("m")).toEqual(20_000);
  // It may have been named just now, when others still start requests below it.
  expect(weights.target("m", 5_000)).toEqual(0);
  await clock.advance(5_000);
  expect(weights.target("m", 5_000)).toEqual(2);
});

// Guards against VERSION: the grace period of a version does not pass while the
// VM is suspended, as the monotonic clock stops then.
test("the grace period passes during a suspension of the VM", () => {
  const clock = createManualClock();
  let suspended = 0;
  const suspendAwareClock: Clock = {
    now: () => clock.now() + suspended,
    monotonic: () => clock.monotonic() + suspended,
    sleep: (...wait) => clock.sleep(...wait),
  };
  const weights = createWeightTargets({
    ...{ clock, suspendAwareClock, patience: () => PATIENCE },
  });
  weights.name("m", 2);
  assert(weights.mayStart("m", 1));
  suspended = PATIENCE;
  assert(!weights.mayStart("m", 1));
});
