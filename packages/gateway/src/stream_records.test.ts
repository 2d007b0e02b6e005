import { createManualClock, type ManualClock } from "@peridotvalve/clock";
import { EventLogger } from "@peridotvalve/events";
import type { Json, Platform } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok } from "ts-results-es";
import { createStreamRecords, type StreamRecords } from "./stream_records.ts";

const SERVICE = "llm";
const unavailable = { kind: "unavailable", reason: "away" } as const;

const silentLogger = new (class extends EventLogger {
  override log(): void {}
})();

type Store = Pick<Platform, "readRow" | "readRows" | "transact">;

/** A store in memory that can be away. */
function createStore() {
  const rows = new Map<string, { value: Json; version: number }>();
  let version = 0;
  let isAway = false;
  const calls = { reads: 0, writes: 0 };
  const nameOf = (row: { table: string; key: string }) =>
    `${row.table}/${row.key}`;
  const store: Store = {
    readRow({ table, key }) {
      calls.reads += 1;
      if (isAway) return Promise.resolve(Err(unavailable));
      const row = rows.get(`${table}/${key}`);
      return Promise.resolve(
        Ok(row === undefined ? undefined : { table, key, ...row }),
      );
    },
    readRows({ table }) {
      if (isAway) return Promise.resolve(Err(unavailable));
      const found = [...rows].flatMap(([name, row]) => {
        const [rowTable, key = ""] = name.split("/");
        return rowTable === table ? [{ table, key, ...row }] : [];
      });
      return Promise.resolve(Ok({ rows: found, more: false }));
    },
    transact({ checks, writes }) {
      calls.writes += 1;
      if (isAway) {
        return Promise.resolve({ kind: "unknown", reason: "no answer" });
      }
      const holds = checks.every((check) =>
        (rows.get(nameOf(check))?.version ?? 0) === check.version
      );
      if (!holds) {
        const reason = { kind: "conflict", rows: [] } as const;
        return Promise.resolve({ kind: "not done", reason });
      }
      version += 1;
      for (const write of writes) {
        if (write.value === null) rows.delete(nameOf(write));
        else rows.set(nameOf(write), { value: write.value, version });
      }
      return Promise.resolve({ kind: "done", value: { versions: [] } });
    },
  };
  const countOf = (table: string) =>
    [...rows.keys()].filter((name) => name.startsWith(`${table}/`)).length;
  return {
    ...{ store, calls, countOf },
    setAway: (next: boolean) => isAway = next,
  };
}

/** Starts a daemon that sees replicas of the versions. */
function startDaemon(
  clock: ManualClock,
  store: Store,
  versions: readonly string[],
  collector?: StreamRecords,
) {
  const present = new Set(versions);
  const stop = new AbortController();
  const records = createStreamRecords({
    ...{ clock, logger: silentLogger, store, name: "front" },
    services: () => [SERVICE],
    versionsOf: () => present,
    writers: () => 6,
    collector: () => collector === undefined ? undefined : "10.0.0.1:8000",
    send(_collector, sent) {
      collector?.collect(sent);
      return Promise.resolve(true);
    },
    rank: () => 0,
  });
  void records.run(stop.signal);
  return { records, end: () => stop.abort() };
}

async function advance(clock: ManualClock, milliseconds: number) {
  for (let step = 0; step < milliseconds; step += 50) await clock.advance(50);
}

/** Resolves a lookup whose pauses the manual clock has to pass. */
async function find(
  clock: ManualClock,
  { records }: ReturnType<typeof startDaemon>,
  id: string,
) {
  const found = records.find(id, SERVICE);
  await advance(clock, 500);
  const origin = await found;
  return typeof origin === "object" ? origin.software : origin;
}

test("a service with one version costs no calls but the first", async () => {
  const clock = createManualClock();
  const { store, calls } = createStore();
  const daemon = startDaemon(clock, store, ["v1"]);
  await advance(clock, 2_000);
  expect([calls.reads, calls.writes]).toEqual([1, 1]);
  daemon.records.record("a", { service: SERVICE, software: "v1" });
  await advance(clock, 10_000);
  expect([calls.reads, calls.writes]).toEqual([1, 1]);
  expect(await find(clock, daemon, "b")).toEqual("v1");
  daemon.end();
});

// Guards against ORDER: another daemon, or the next run of all of them, does not
// know at which of several versions a stream began.
test("a daemon that has just started knows where streams began", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  const first = startDaemon(clock, store, ["v1", "v2"]);
  await advance(clock, 1_000);
  first.records.record("a", { service: SERVICE, software: "v1" });
  first.records.record("b", { service: SERVICE, software: "v2" });
  await advance(clock, 400);
  first.end();
  const next = startDaemon(clock, store, ["v2"]);
  expect(await find(clock, next, "a")).toEqual("v1");
  expect(await find(clock, next, "b")).toEqual("v2");
  expect(await find(clock, next, "c")).toEqual("unknown");
  next.end();
});

// Guards against streams of a large fleet that are not known after a power loss.
test("a collector saves and removes the records of its neighbors", async () => {
  const clock = createManualClock();
  const { store, countOf } = createStore();
  const collector = startDaemon(clock, store, ["v1", "v2"]);
  const other = startDaemon(clock, store, ["v1", "v2"], collector.records);
  await advance(clock, 1_000);
  other.records.record("a", { service: SERVICE, software: "v1" });
  await advance(clock, 400);
  other.end();
  expect(countOf("streams")).toEqual(1);
  const next = startDaemon(clock, store, ["v2"]);
  expect(await find(clock, next, "a")).toEqual("v1");
  await advance(clock, 31_000);
  expect(countOf("streams")).toEqual(0);
  for (const { end } of [collector, next]) end();
});

// Guards against ORDER while the store is away: the only listed version is taken
// for that of a stream whose version has left.
test("nothing is assumed while the recorded versions cannot be read", async () => {
  const clock = createManualClock();
  const { store, setAway } = createStore();
  setAway(true);
  const daemon = startDaemon(clock, store, ["v2"]);
  await advance(clock, 1_000);
  expect(await find(clock, daemon, "a")).toEqual("unread");
  daemon.records.record("b", { service: SERVICE, software: "v2" });
  expect(await find(clock, daemon, "b")).toEqual("v2");
  setAway(false);
  await advance(clock, 1_000);
  expect(await find(clock, daemon, "a")).toEqual("v2");
  daemon.end();
});

// Guards against rows that stay in the store after their daemon has ended.
test("records of daemons that have ended are removed", async () => {
  const clock = createManualClock();
  const { store, countOf } = createStore();
  const first = startDaemon(clock, store, ["v1", "v2"]);
  await advance(clock, 1_000);
  first.records.record("a", { service: SERVICE, software: "v1" });
  await advance(clock, 1_000);
  first.end();
  expect(countOf("streams")).toEqual(1);
  const next = startDaemon(clock, store, ["v2"]);
  await advance(clock, 125_000);
  expect(countOf("streams")).toEqual(0);
  next.end();
});
