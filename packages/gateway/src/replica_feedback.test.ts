import { createManualClock } from "@peridotvalve/clock";
import {
  type Choice,
  createReplicaTable,
  createWeightTargets,
} from "@peridotvalve/dispatch";
import { expect } from "earl";
import { test } from "node:test";
import { createConnectionPools, START_PUT_OFF } from "./connection_pools.ts";
import { createReplicaFeedback } from "./replica_feedback.ts";

// Guards against a daemon short of processor time that avoids sound replicas,
// because its own connections were ready late (further-grown trouble-1, 8 of 13
// candidates left).
test("a replica is not avoided for a delay of this process", () => {
  const clock = createManualClock();
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.put({
    ...{ id: "a", service: "s", address: "a:80", zone: "espoo", slots: 8 },
    state: "ready",
    weights: new Map(),
  });
  const feedback = createReplicaFeedback({
    replicas,
    weights: createWeightTargets({ clock, patience: () => 10_000 }),
    pools: createConnectionPools(),
  });
  const replica = replicas.find("a")!;
  const choice: Choice = {
    replica,
    ...{ fetched: 0, unread: 0, memory: 0, held: 0, cost: 0, candidates: 1 },
    load: { requests: 0, unread: 0, memory: 0, recentTokens: 0 },
  };
  feedback.recordOutcome(choice, undefined, {
    kind: "unsent",
    reason: START_PUT_OFF,
  });
  expect(replicas.find("a")?.failures).toEqual(0);
  feedback.recordOutcome(choice, undefined, {
    kind: "unsent",
    reason: "connection refused",
  });
  expect(replicas.find("a")?.failures).toEqual(1);
});
