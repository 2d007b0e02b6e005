import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import {
  createReplicaTable,
  type ReplicaChange,
  type ReplicaEntry,
} from "./replica.ts";

function entry(id: string, options: Partial<ReplicaEntry> = {}): ReplicaEntry {
  return {
    id,
    service: "llm",
    address: `10.0.0.1:${8_000 + id.charCodeAt(0)}`,
    zone: "espoo",
    slots: 8,
    state: "ready",
    weights: new Map([["m", 1]]),
    ...options,
  };
}

function createTable() {
  const clock = createManualClock();
  const changes: (readonly [ReplicaChange, string])[] = [];
  const table = createReplicaTable({
    clock,
    onChange: (change, { entry: { id } }) => changes.push([change, id]),
  });
  const usable = () => table.usable("llm").map((replica) => replica.entry.id);
  return { clock, changes, table, usable };
}

test("a leaving replica takes no requests", () => {
  const { table, usable, changes } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  table.put(entry("a", { state: "leaving" }));
  expect(usable()).toEqual(["b"]);
  expect(changes.at(-1)).toEqual(["leaving", "a"]);
});

test("a removed entry is dropped at once", () => {
  const { table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  table.remove("a");
  expect(usable()).toEqual(["b"]);
});

// Guards against dropping live replicas, with their connections and recorded
// state, when their entries expire during an outage of the store.
test("entries that expired in an outage have a grace period", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  await clock.advance(5_000);
  table.recordListRead();
  table.replaceAll([entry("b")]);
  expect(usable()).toEqual(["a", "b"]);
  await clock.advance(1_000);
  table.put(entry("a"));
  await clock.advance(5_000);
  table.recordListRead();
  expect(usable()).toEqual(["a", "b"]);
});

test("an entry that is missing after the grace period is dropped", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  await clock.advance(5_000);
  table.recordListRead();
  table.replaceAll([entry("b")]);
  for (let second = 0; second < 3; second += 1) {
    await clock.advance(1_000);
    table.recordListRead();
  }
  expect(usable()).toEqual(["b"]);
});

// Guards against DRAIN: a replica whose entry is gone is used for as long as the
// list cannot be read again.
test("a missing entry is not used after the grace period, read or not", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  await clock.advance(5_000);
  table.recordListRead();
  table.replaceAll([entry("b")]);
  expect(usable()).toEqual(["a", "b"]);
  await clock.advance(2_500);
  expect(usable()).toEqual(["b"]);
});

test("a replica that starts again under its id is another incarnation", () => {
  const { table, changes } = createTable();
  table.put(entry("a", { born: 1, weights: new Map([["m", 4]]) }));
  table.put(entry("a", { born: 2, weights: new Map([["m", 3]]) }));
  expect(changes.at(-1)).toEqual(["restarted", "a"]);
  expect(table.find("a")?.weights.get("m")).toEqual(3);
});

// Guards against sending requests that may not be retried to replicas that have
// stopped responding, until their entries expire (koiratakki scale-1, 152
// failed requests).
test("an unresponsive replica is skipped until it sends data", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  table.recordSent("a");
  expect(usable()).toEqual(["a", "b"]);
  await clock.advance(1_000);
  expect(usable()).toEqual(["b"]);
  expect(table.silent()).toEqual(["a"]);
  table.recordReceived("a");
  expect(usable()).toEqual(["a", "b"]);
});

// Guards against taking a long prefill for a failure: the prompt was sent to
// another replica and read again, and all neighbors avoided the first one
// (ghanta further-grown quiet-1, 63 requests).
test("a replica that prefills a long prompt is not unresponsive", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  table.recordSent("a");
  table.recordSent("a", 1_100);
  await clock.advance(1_900);
  expect(usable()).toEqual(["a", "b"]);
  await clock.advance(100);
  expect(usable()).toEqual(["b"]);
});

test("a silent replica is tried again when no other is left", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a")]);
  table.recordSent("a");
  await clock.advance(1_000);
  expect(usable()).toEqual(["a"]);
});

test("avoidance doubles with failures in a row and ends with success", async () => {
  const { clock, table, usable } = createTable();
  table.replaceAll([entry("a"), entry("b")]);
  table.recordFailure("a");
  table.recordFailure("a");
  expect(usable()).toEqual(["b"]);
  await clock.advance(499);
  expect(usable()).toEqual(["b"]);
  await clock.advance(2);
  expect(usable()).toEqual(["a", "b"]);
  table.recordFailure("a");
  table.recordSuccess("a");
  expect(usable()).toEqual(["a", "b"]);
});

// Guards against a replica that refuses all requests because it is recorded
// with a higher weight version than it has, and the recorded version can only
// rise.
test("a recorded weight version can be corrected downwards", () => {
  const { table } = createTable();
  table.put(entry("a"));
  table.recordWeights("a", "m", 3);
  table.recordWeights("a", "m", 2);
  expect(table.find("a")?.weights.get("m")).toEqual(3);
  table.correctWeights("a", "m", 2);
  expect(table.find("a")?.weights.get("m")).toEqual(2);
});

// Guards against requests that are sent to failing replicas, or refused, while
// others only ask for time.
test("replicas that push back are waited for", async () => {
  const clock = createManualClock();
  const pushingBack = new Set<string>();
  const table = createReplicaTable({
    clock,
    onChange: () => {},
    isPushingBack: ({ id }) => pushingBack.has(id),
  });
  const usable = () => table.usable("llm").map((replica) => replica.entry.id);
  table.replaceAll([entry("a"), entry("b"), entry("c")]);
  pushingBack.add("a");
  expect(usable()).toEqual(["a", "b", "c"]);
  table.recordFailure("b");
  table.avoid("c", 100);
  expect(usable()).toEqual(["a", "c"]);
  await clock.advance(100);
  expect(usable()).toEqual(["a", "c"]);
  table.recordFailure("c");
  expect(usable()).toEqual(["a"]);
  table.recordFailure("a");
  expect(usable()).toEqual(["a", "b", "c"]);
  await clock.advance(10_000);
  expect(usable()).toEqual(["a", "b", "c"]);
});
