import { createManualClock, type ManualClock } from "@peridotvalve/clock";
import type { Route } from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import {
  counterOf,
  type Json,
  type Platform,
  toVersion,
} from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok } from "ts-results-es";
import { createSoftwareRecords } from "./software_record.ts";
import {
  createStreamRecords,
  STREAM_LIFETIME,
  type StreamRecords,
} from "./stream_records.ts";
import {
  createStreamRoutes,
  type StreamRoute,
  type StreamRoutes,
} from "./stream_routes.ts";

const SERVICE = "llm";
const ROUTE: StreamRoute = {
  ...{ host: "models.test", prefix: "/" },
  targets: [{ service: SERVICE, weight: 1 }],
};
const unavailable = { kind: "unavailable", reason: "away" } as const;

const silentLogger = new (class extends EventLogger {
  override log(): void {}
})();

type Store = Pick<Platform, "readRow" | "readRows" | "transact">;

/** A store in memory that can be away, and return from a copy. */
function createStore() {
  let rows = new Map<string, { value: Json; version: number }>();
  let era = 0;
  let counter = 0;
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
      counter += 1;
      const version = toVersion(era, counter);
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
    put(table: string, key: string, value: Json) {
      counter += 1;
      rows.set(`${table}/${key}`, { value, version: toVersion(era, counter) });
    },
    /** Returns a function that brings the store back to the present state. */
    copy() {
      const copied = new Map(rows);
      return () => {
        era += 1;
        // The store gives out what it has under its present era.
        rows = new Map(
          [...copied].map(([name, { value, version }]) => {
            const restored = toVersion(era, counterOf(version));
            return [name, { value, version: restored }];
          }),
        );
        return era;
      };
    },
  };
}

/** A path to the store that can be cut, or hold back writes. */
function createPath(store: Store) {
  const state = { isCut: false, holdsWrites: false };
  const held: (() => void)[] = [];
  const path: Store = {
    readRow: (...call) =>
      state.isCut ? Promise.resolve(Err(unavailable)) : store.readRow(...call),
    readRows: (...call) =>
      state.isCut ? Promise.resolve(Err(unavailable)) : store.readRows(...call),
    async transact(...call) {
      if (state.isCut) return { kind: "unknown", reason: "no answer" };
      if (!state.holdsWrites) return await store.transact(...call);
      return await new Promise((resolve) =>
        held.push(() => resolve(store.transact(...call)))
      );
    },
  };
  const release = () => held.splice(0).forEach((write) => write());
  return { path, state, release };
}

interface DaemonOptions {
  /** Software versions of the replicas that the daemon lists at first. */
  readonly listed: readonly string[];
  readonly collector?: StreamRecords;
  /** Saves the records while the store cannot be reached. */
  readonly neighbor?: () => StreamRecords | undefined;
  /** Name of the daemon; the first one removes versions. */
  readonly name?: string;
  /** The monotonic clock; by default it does not stop in suspensions. */
  readonly stoppingClock?: ManualClock;
}

/** Starts a daemon with a list of replicas of its own. */
function startDaemon(
  clock: ManualClock,
  store: Store,
  { listed, collector, neighbor, name = "front", stoppingClock = clock }:
    DaemonOptions,
) {
  let present = new Set(listed);
  let era = 0;
  const lifetime = STREAM_LIFETIME;
  const stop = new AbortController();
  const common = { clock: stoppingClock, logger: silentLogger, store, name };
  const software = createSoftwareRecords({
    ...{ ...common, suspendAwareClock: clock, lifetime: STREAM_LIFETIME },
    storeEra: { current: () => era },
    random: () => 0,
    services: () => [SERVICE],
    versionsOf: () => present,
    isRemover: () => name === "front",
  });
  const records = createStreamRecords({
    ...{ ...common, software, routes: createStreamRoutes({ clock, lifetime }) },
    writers: () => 6,
    collector: () => collector === undefined ? undefined : "10.0.0.1:8000",
    neighbor: () => neighbor?.() === undefined ? undefined : "10.0.0.2:8000",
    send(_address, sent) {
      (collector ?? neighbor?.())?.collect(sent);
      return Promise.resolve(true);
    },
    rank: () => 0,
  });
  void software.run(stop.signal);
  void records.run(stop.signal);
  return {
    ...{ records, software },
    /** Begins a stream if one may begin at the version now. */
    begin(id: string, version: string): boolean {
      const mayBegin = software.stateOf(SERVICE, version) === "recorded";
      const origin = { service: SERVICE, software: version };
      if (mayBegin) records.record(id, origin);
      return mayBegin;
    },
    list: (...versions: readonly string[]) => present = new Set(versions),
    hearReturn(next: number) {
      era = next;
      software.renew();
      records.renew();
    },
    end: () => stop.abort(),
  };
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
  const found = records.find(id, ROUTE);
  await advance(clock, 500);
  const origin = await found;
  return typeof origin === "object" ? origin.software : origin;
}

// The record is read each ten seconds, and twice before it is written: at first,
// and when it is complete.
test("a service with one version costs few calls", async () => {
  const clock = createManualClock();
  const { store, calls } = createStore();
  const daemon = startDaemon(clock, store, { listed: ["v1"] });
  await advance(clock, 2_000);
  expect([calls.reads, calls.writes]).toEqual([2, 1]);
  await advance(clock, 10_000);
  expect([calls.reads, calls.writes]).toEqual([4, 2]);
  expect(daemon.begin("a", "v1")).toEqual(true);
  await advance(clock, 10_000);
  expect([calls.reads, calls.writes]).toEqual([5, 2]);
  expect(await find(clock, daemon, "b")).toEqual("v1");
  daemon.end();
});

// Guards against ORDER: another daemon, or the next run of all of them, does not
// know at which of several versions a stream began.
test("a daemon that has just started knows where streams began", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  const first = startDaemon(clock, store, { listed: ["v1", "v2"] });
  await advance(clock, 1_000);
  expect(first.begin("a", "v1")).toEqual(true);
  expect(first.begin("b", "v2")).toEqual(true);
  await advance(clock, 400);
  first.end();
  const next = startDaemon(clock, store, { listed: ["v2"] });
  expect(await find(clock, next, "a")).toEqual("v1");
  expect(await find(clock, next, "b")).toEqual("v2");
  expect(await find(clock, next, "c")).toEqual("unknown");
  next.end();
});

// Guards against streams of a large fleet that are not known after a power loss.
test("a collector saves and removes the records of its neighbors", async () => {
  const clock = createManualClock();
  const { store, countOf } = createStore();
  const listed = ["v1", "v2"];
  const collector = startDaemon(clock, store, { listed });
  const other = startDaemon(clock, store, {
    ...{ listed, collector: collector.records },
  });
  await advance(clock, 1_000);
  expect(other.begin("a", "v1")).toEqual(true);
  await advance(clock, 400);
  other.end();
  expect(countOf("streams")).toEqual(1);
  const next = startDaemon(clock, store, { listed: ["v2"] });
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
  const daemon = startDaemon(clock, store, { listed: ["v2"] });
  await advance(clock, 1_000);
  expect(await find(clock, daemon, "a")).toEqual("unread");
  expect(daemon.begin("b", "v2")).toEqual(false);
  expect(daemon.software.isBarred(SERVICE)).toEqual(true);
  setAway(false);
  await advance(clock, 8_000);
  expect(daemon.begin("b", "v2")).toEqual(true);
  expect(await find(clock, daemon, "a")).toEqual("v2");
  setAway(true);
  expect(await find(clock, daemon, "b")).toEqual("v2");
  expect(await find(clock, daemon, "a")).toEqual("unread");
  daemon.end();
});

// Guards against rows that stay in the store after their daemon has ended.
test("records of daemons that have ended are removed", async () => {
  const clock = createManualClock();
  const { store, countOf } = createStore();
  const first = startDaemon(clock, store, { listed: ["v1", "v2"] });
  await advance(clock, 1_000);
  expect(first.begin("a", "v1")).toEqual(true);
  await advance(clock, 1_000);
  first.end();
  expect(countOf("streams")).toEqual(1);
  const next = startDaemon(clock, store, { listed: ["v2"] });
  await advance(clock, 125_000);
  expect(countOf("streams")).toEqual(0);
  next.end();
});

// Guards against LOST: streams that began at a daemon without the store are not
// known at the others, where their callers take them up.
test("a neighbor saves the records of a daemon without the store", async () => {
  const clock = createManualClock();
  const { store, countOf } = createStore();
  const listed = ["v1", "v2"];
  const neighbor = startDaemon(clock, store, { listed });
  const { path, state } = createPath(store);
  const cut = startDaemon(clock, path, {
    ...{ listed, name: "front-1", neighbor: () => neighbor.records },
  });
  await advance(clock, 1_000);
  state.isCut = true;
  expect(cut.begin("a", "v1")).toEqual(true);
  await advance(clock, 400);
  expect(countOf("streams")).toEqual(1);
  const other = startDaemon(clock, store, { listed, name: "front-2" });
  expect(await find(clock, other, "a")).toEqual("v1");
  for (const { end } of [neighbor, cut, other]) end();
});

/** Two daemons that list one version, with a complete record of it. */
async function startPair() {
  const clock = createManualClock();
  const storeAccess = createStore();
  const paths = [createPath(storeAccess.store), createPath(storeAccess.store)];
  const [first, second] = paths.map(({ path }, index) =>
    startDaemon(clock, path, {
      listed: ["v1"],
      name: index === 0 ? "front" : `front-${index}`,
    })
  );
  await advance(clock, 17_000);
  if (first === undefined || second === undefined) throw new Error("no pair");
  return { ...storeAccess, clock, paths, first, second };
}

// Guards against ORDER: a daemon that is cut off takes the only version it knew
// before for that of a stream that began at a newer one.
test("a daemon without the store does not assume a version", async () => {
  const { clock, paths, first, second } = await startPair();
  if (paths[1] !== undefined) paths[1].state.isCut = true;
  first.list("v1", "v2");
  await advance(clock, 1_000);
  expect(first.begin("a", "v2")).toEqual(true);
  expect(await find(clock, second, "a")).toEqual("unread");
  expect(second.begin("b", "v1")).toEqual(true);
  // Streams still begin at the version that was recorded before the cut.
  await advance(clock, 60_000);
  expect(second.begin("c", "v1")).toEqual(true);
  for (const { end } of [first, second]) end();
});

// Guards against ORDER: a stream has begun at a version before the record names
// it, and another daemon reads the record in between.
test("no stream begins at a version before the record names it", async () => {
  const { clock, paths, first, second } = await startPair();
  if (paths[0] !== undefined) paths[0].state.holdsWrites = true;
  first.list("v1", "v2");
  await advance(clock, 1_000);
  expect(first.begin("a", "v2")).toEqual(false);
  expect(first.begin("b", "v1")).toEqual(true);
  expect(await find(clock, second, "a")).toEqual("v1");
  paths[0]?.release();
  await advance(clock, 100);
  expect(first.begin("a", "v2")).toEqual(true);
  expect(await find(clock, second, "c")).toEqual("unknown");
  for (const { end } of [first, second]) end();
});

// Guards against ORDER: a daemon leaves out, or removes, a version that it has not
// listed for long, although another daemon begins streams at it again.
test("a version that comes back counts at once", async () => {
  const { clock, first, second } = await startPair();
  for (const { list } of [first, second]) list("v1", "v2");
  await advance(clock, 1_000);
  for (const { list } of [first, second]) list("v1");
  await advance(clock, 185_000);
  expect(await find(clock, first, "a")).toEqual("v1");
  // The list of the daemon that removes versions is behind for long.
  second.list("v1", "v2");
  await advance(clock, 1_000);
  for (let at = 0; at < 150; at += 1) {
    expect(second.begin(`b${at}`, "v2")).toEqual(true);
    expect(await find(clock, first, `c${at}`)).toEqual("unknown");
    await advance(clock, 1_000);
  }
  for (const { end } of [first, second]) end();
});

// Guards against ORDER: what was read before a suspension of the VM is taken for
// the present, as the monotonic clock has stood still.
test("a suspended daemon relies on nothing from before", async () => {
  const { clock, store, first, second } = await startPair();
  const stoppingClock = createManualClock();
  const suspended = startDaemon(clock, store, {
    ...{ listed: ["v1", "v3"], name: "front-2", stoppingClock },
  });
  for (let step = 0; step < 40; step += 1) {
    await advance(clock, 50);
    await advance(stoppingClock, 50);
  }
  expect(suspended.begin("a", "v3")).toEqual(true);
  first.list("v1", "v2");
  await advance(clock, 60_000);
  expect(suspended.begin("b", "v3")).toEqual(false);
  const found = suspended.records.find("c", ROUTE);
  await advance(stoppingClock, 500);
  expect(await found).toEqual("unknown");
  for (const { end } of [first, second, suspended]) end();
});

// Guards against ORDER: a record from before the return of the store lacks a
// version that had been recorded.
test("a record from a copy is not taken for complete", async () => {
  const { clock, copy, first, second, store } = await startPair();
  const returnFromCopy = copy();
  first.list("v1", "v2");
  await advance(clock, 1_000);
  expect(first.begin("a", "v2")).toEqual(true);
  const era = returnFromCopy();
  first.end();
  second.hearReturn(era);
  expect(await find(clock, second, "a")).toEqual("unknown");
  await advance(clock, 1_000);
  expect(second.begin("b", "v1")).toEqual(true);
  expect(await find(clock, second, "a")).toEqual("unknown");
  // A daemon that starts now has not seen the return.
  const next = startDaemon(clock, store, { listed: ["v1"], name: "front-2" });
  next.hearReturn(era);
  expect(await find(clock, next, "a")).toEqual("unknown");
  // The replicas of the version are listed again.
  second.list("v1", "v2");
  await advance(clock, 15_000);
  expect(await find(clock, next, "a")).toEqual("unknown");
  for (const { end } of [second, next]) end();
});

// Guards against ORDER: a row that cannot be read counts as one without versions.
test("an unreadable record is not taken for complete", async () => {
  const { clock, put, first, second } = await startPair();
  put("software", SERVICE, { other: true });
  expect(await find(clock, second, "a")).toEqual("unknown");
  for (const { end } of [first, second]) end();
});

// Guards against ORDER: the return of the store removes a version from the record
// whose replicas have ended since its last streams began.
test("a returned store keeps versions whose streams may go on", async () => {
  const { clock, copy, first, second } = await startPair();
  const returnFromCopy = copy();
  for (const { list } of [first, second]) list("v1", "v2");
  await advance(clock, 1_000);
  expect(first.begin("a", "v2")).toEqual(true);
  await advance(clock, 500);
  for (const { list } of [first, second]) list("v1");
  await advance(clock, 500);
  const era = returnFromCopy();
  for (const { hearReturn } of [first, second]) hearReturn(era);
  await advance(clock, 8_000);
  expect(await find(clock, second, "a")).not.toEqual("v1");
  for (const { end } of [first, second]) end();
});

// Guards against ORDER: during a long cut streams begin at a version that another
// daemon has removed from the record meanwhile.
test("a long cut from the store ends the use of a version", async () => {
  const { clock, paths, first, second } = await startPair();
  for (const { list } of [first, second]) list("v1", "v2");
  await advance(clock, 1_000);
  expect(second.begin("a", "v2")).toEqual(true);
  if (paths[1] !== undefined) paths[1].state.isCut = true;
  first.list("v1");
  await advance(clock, 185_000);
  const hasBegun = second.begin("b", "v2");
  const found = await find(clock, first, "b");
  expect({ hasBegun, found }).not.toEqual({ hasBegun: true, found: "v1" });
  for (const { end } of [first, second]) end();
});

// Guards against ORDER: one failed read after a suspension makes what was known
// before it usable again, whatever its age.
test("a failed read after a suspension renews no knowledge", async () => {
  const { clock, store, first, second } = await startPair();
  const stoppingClock = createManualClock();
  const { path, state } = createPath(store);
  const suspended = startDaemon(clock, path, {
    ...{ listed: ["v1", "v3"], name: "front-2", stoppingClock },
  });
  for (let step = 0; step < 40; step += 1) {
    await advance(clock, 50);
    await advance(stoppingClock, 50);
  }
  expect(suspended.begin("a", "v3")).toEqual(true);
  await advance(clock, 185_000);
  expect(await find(clock, first, "b")).toEqual("v1");
  expect(suspended.begin("b", "v3")).toEqual(false);
  state.isCut = true;
  await advance(stoppingClock, 200);
  expect(suspended.begin("c", "v3")).toEqual(false);
  for (const { end } of [first, second, suspended]) end();
});

// Guards against ORDER: a daemon that cannot write sees the mark of a version for
// its whole delay, and begins streams at it until it is removed.
test("no streams begin at a version whose mark cannot be taken off", async () => {
  const { clock, store, first, second } = await startPair();
  const readOnly: Store = {
    ...store,
    transact: () =>
      Promise.resolve({
        kind: "not done",
        reason: { kind: "refused", reason: "status 503" },
      }),
  };
  second.list("v1", "v2");
  await advance(clock, 1_000);
  second.end();
  const third = startDaemon(clock, readOnly, {
    ...{ listed: ["v1", "v2"], name: "front-2" },
  });
  await advance(clock, 1_000);
  let last = 0;
  let id = "";
  for (let at = 0; at < 370; at += 1) {
    if (third.begin(`a${at}`, "v2")) [last, id] = [at, `a${at}`];
    const found = await find(clock, first, id);
    expect({ last, found }).not.toEqual({ last, found: "v1" });
    await advance(clock, 500);
    // No stream is taken up so long after its begin.
    if (at - last > STREAM_LIFETIME / 1_000) break;
  }
  for (const { end } of [first, third]) end();
});

// Guards against ORDER: an answer that the store gave before its return arrives
// after a peer has told of the return, and counts as what the store holds now.
test("an answer from before the return is not used after it", async () => {
  const { clock, copy, store, first, second } = await startPair();
  const returnFromCopy = copy();
  for (const { list } of [first, second]) list("v1", "v2");
  await advance(clock, 1_000);
  let isHeld = false;
  const held: (() => void)[] = [];
  const slowStore: Store = {
    ...store,
    async readRow(...call) {
      const answer = await store.readRow(...call);
      if (isHeld) await new Promise<void>((resolve) => held.push(resolve));
      return answer;
    },
  };
  isHeld = true;
  const third = startDaemon(clock, slowStore, {
    ...{ listed: ["v1", "v2"], name: "front-2" },
  });
  await advance(clock, 100);
  for (const { end } of [first, second]) end();
  returnFromCopy();
  // A peer has told of the return; the era of the answers is not known yet.
  third.software.renew();
  // A new stream arrives, and waits until it is known where it may begin.
  void third.software.settled(SERVICE);
  isHeld = false;
  for (const release of held.splice(0)) release();
  // It has asked nothing since.
  await clock.advance(20);
  expect(third.begin("a", "v2")).toEqual(false);
  third.end();
});

// Guards against ORDER while daemons of two releases run: the earlier release
// writes its list after the first streams of a version have begun.
test("a list of an earlier release is not taken for complete", async () => {
  const { clock, put, first, second } = await startPair();
  put("software", SERVICE, ["v1"]);
  expect(await find(clock, second, "a")).toEqual("unknown");
  for (const { end } of [first, second]) end();
});

// Guards against daemons that keep a store at its limit of calls: each daemon
// repeats the read of each service in each look.
test("failed reads of the record are repeated less and less often", async () => {
  const clock = createManualClock();
  const { store, calls, setAway } = createStore();
  setAway(true);
  const daemon = startDaemon(clock, store, { listed: ["v1"] });
  await advance(clock, 10_000);
  daemon.end();
  expect(calls.reads <= 20 ? "few" : `${calls.reads} reads`).toEqual("few");
});

// Guards against LOST: the streams of a replica that breaks off come back at once
// and share one read, so none needs to be refused.
test("streams that come back together share the read of the record", async () => {
  const { clock, calls, first, second } = await startPair();
  const reads = calls.reads;
  const found = Array.from(
    { length: 100 },
    (_, at) => second.records.find(`a${at}`, ROUTE),
  );
  await advance(clock, 500);
  const unread = (await Promise.all(found)).filter((each) => each === "unread");
  expect([unread.length, calls.reads - reads <= 3]).toEqual([0, true]);
  for (const { end } of [first, second]) end();
});

// Guards against requests that wait for ever: one rejected call ends the task that
// keeps the records, and nothing wakes the streams that wait to begin.
test("a call that throws does not end the upkeep of the records", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  let hasThrown = false;
  const failing: Store = {
    ...store,
    readRow(...call) {
      if (hasThrown) return store.readRow(...call);
      hasThrown = true;
      return Promise.reject(new Error("no memory"));
    },
  };
  const stop = new AbortController();
  const software = createSoftwareRecords({
    ...{
      clock,
      suspendAwareClock: clock,
      logger: silentLogger,
      store: failing,
    },
    ...{ name: "front", lifetime: STREAM_LIFETIME },
    storeEra: { current: () => 0 },
    services: () => [SERVICE],
    versionsOf: () => new Set(["v1"]),
    isRemover: () => false,
  });
  const run = software.run(stop.signal).catch(() => {});
  let isSettled = false;
  void software.settled(SERVICE).then(() => isSettled = true);
  await advance(clock, 60_000);
  stop.abort();
  await run;
  expect(isSettled).toEqual(true);
});

// Guards against requests that are not refused at the end of the daemon: nothing
// wakes the streams that wait to begin.
test("no stream waits to begin after the daemon has ended", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  const { path, state, release } = createPath(store);
  state.holdsWrites = true;
  const daemon = startDaemon(clock, path, { listed: ["v1"] });
  let isSettled = false;
  void daemon.software.settled(SERVICE).then(() => isSettled = true);
  await advance(clock, 5_000);
  daemon.end();
  await advance(clock, 5_000);
  const before = isSettled;
  release();
  expect(before).toEqual(true);
});

/** Two daemons with a route that may have led to either of two services. */
async function startSplitPair() {
  const clock = createManualClock();
  const { store, calls } = createStore();
  const services = ["llm-a", "llm-b"];
  const targets = services.map((service) => ({ service, weight: 1 }));
  const [first, second] = ["front", "front-1"].map((name) => {
    const common = { clock, logger: silentLogger, store, name };
    const software = createSoftwareRecords({
      ...{ ...common, suspendAwareClock: clock, lifetime: STREAM_LIFETIME },
      storeEra: { current: () => 0 },
      services: () => services,
      versionsOf: () => new Set(["v1"]),
      isRemover: () => name === "front",
    });
    const records = createStreamRecords({
      ...{ ...common, software, writers: () => 1, rank: () => 0 },
      routes: { servicesOf: () => services, isAmbiguous: () => true },
      ...{ collector: () => undefined, neighbor: () => undefined },
      send: () => Promise.resolve(true),
    });
    const stop = new AbortController();
    void software.run(stop.signal);
    void records.run(stop.signal);
    return { records, end: () => stop.abort() };
  });
  if (first === undefined || second === undefined) throw new Error("no pair");
  await advance(clock, 17_000);
  return { clock, calls, route: { ...ROUTE, targets }, first, second };
}

// Guards against streams of two services in one: a stream goes on at the service
// that was drawn when it was taken up, as that has one version.
test("a stream does not go on at another service of its route", async () => {
  const { clock, route, first, second } = await startSplitPair();
  first.records.record("a", { service: "llm-a", software: "v1" });
  await advance(clock, 1_000);
  const found = second.records.find("a", route);
  await advance(clock, 1_000);
  const origin = await found;
  const service = typeof origin === "object" ? origin.service : origin;
  expect(service).toEqual("llm-a");
  for (const { end } of [first, second]) end();
});

// Guards against streams of two services in one: the one version of one of the
// services is taken for the origin of a stream that was not saved.
test("a route to several services has no sole version", async () => {
  const { clock, route, first, second } = await startSplitPair();
  const found = second.records.find("a", route);
  await advance(clock, 1_000);
  expect(await found).toEqual("unknown");
  for (const { end } of [first, second]) end();
});

// Guards against streams that wait without a sign of the cause in the log.
test("a record that cannot be written is logged", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  const logged: string[] = [];
  const logger = new (class extends EventLogger {
    override log(event: string): void {
      logged.push(event);
    }
  })();
  const software = createSoftwareRecords({
    ...{ clock, suspendAwareClock: clock, logger, name: "front" },
    store: {
      ...store,
      transact: () =>
        Promise.resolve({
          kind: "not done",
          reason: { kind: "refused", reason: "status 429" },
        }),
    },
    ...{ lifetime: STREAM_LIFETIME, storeEra: { current: () => 0 } },
    services: () => [SERVICE],
    versionsOf: () => new Set(["v1"]),
    isRemover: () => true,
  });
  const stop = new AbortController();
  void software.run(stop.signal);
  await advance(clock, 5_000);
  stop.abort();
  expect(logged.length > 0).toEqual(true);
});

// Guards against requests that wait for ever: a new state leads no route to the
// service of a request that has just arrived, so its record is not read any more.
test("no stream waits for the record of a service without routes", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  const software = createSoftwareRecords({
    ...{
      clock,
      suspendAwareClock: clock,
      logger: silentLogger,
      store,
      name: "front",
    },
    ...{ lifetime: STREAM_LIFETIME, storeEra: { current: () => 0 } },
    services: () => [],
    versionsOf: () => new Set(["v1"]),
    isRemover: () => true,
  });
  const stop = new AbortController();
  void software.run(stop.signal);
  let isSettled = false;
  void software.settled(SERVICE).then(() => isSettled = true);
  await advance(clock, 60_000);
  stop.abort();
  expect(isSettled).toEqual(true);
});

// Guards against LOST: streams of the earlier version are refused elsewhere, as
// their daemon learns of a second one only after a slow read of the record.
test("origins are saved as soon as a second version is listed", async () => {
  const { clock, store, countOf, first, second } = await startPair();
  let isReading = false;
  const slowStore: Store = {
    ...store,
    async readRow(...call) {
      isReading = true;
      await clock.sleep(800);
      isReading = false;
      return await store.readRow(...call);
    },
  };
  const third = startDaemon(clock, slowStore, {
    ...{ listed: ["v1"], name: "front-2" },
  });
  await advance(clock, 5_000);
  expect(third.begin("a", "v1")).toEqual(true);
  while (!isReading) await advance(clock, 50);
  expect(countOf("streams")).toEqual(0);
  third.list("v1", "v2");
  await advance(clock, 300);
  expect(countOf("streams")).toEqual(1);
  for (const { end } of [first, second, third]) end();
});

// Guards against LOST after an outage of the store: daemons give their origins to
// each other, and each counts what comes back as saved.
test("origins outlast an outage of the store for all daemons", async () => {
  const clock = createManualClock();
  const { store, countOf, setAway } = createStore();
  const neighbors: StreamRecords[] = [];
  const daemons = ["front", "front-1", "front-2"].map((name, index) =>
    startDaemon(clock, store, {
      ...{ listed: ["v1", "v2"], name },
      neighbor: () => neighbors[(index + 1) % 3],
    })
  );
  neighbors.push(...daemons.map(({ records }) => records));
  await advance(clock, 6_000);
  setAway(true);
  for (const [index, daemon] of daemons.entries()) {
    expect(daemon.begin(`a${index}`, "v1")).toEqual(true);
  }
  await advance(clock, 5_000);
  setAway(false);
  await advance(clock, 3_000);
  expect(countOf("streams")).toEqual(3);
  await advance(clock, 35_000);
  expect(countOf("streams")).toEqual(0);
  for (const { end } of daemons) end();
});

// Guards against LOST: a neighbor has not learnt of the second version yet, and
// keeps the origins that it has been given to itself.
test("a neighbor saves origins of versions that it does not list", async () => {
  const { clock, paths, countOf, first, second, store } = await startPair();
  const { path, state } = createPath(store);
  const cut = startDaemon(clock, path, {
    ...{ listed: ["v1"], name: "front-2", neighbor: () => second.records },
  });
  await advance(clock, 1_000);
  // The first daemon alone learns of the new version from the list.
  cut.list("v1", "v2");
  await advance(clock, 1_000);
  state.isCut = true;
  expect(cut.begin("a", "v1")).toEqual(true);
  await advance(clock, 400);
  expect([countOf("streams"), paths.length]).toEqual([1, 2]);
  for (const { end } of [first, second, cut]) end();
});

// Guards against LOST: a daemon that is cut from the store tries it again each two
// seconds, and keeps the origins to itself until that has failed.
test("a cut from the store delays no origins", async () => {
  const { clock, countOf, first, second, store } = await startPair();
  const { path, state } = createPath(store);
  const silent: Store = {
    ...path,
    async transact(...call) {
      if (state.isCut) await clock.sleep(900);
      return await path.transact(...call);
    },
  };
  for (const { list } of [first, second]) list("v1", "v2");
  const cut = startDaemon(clock, silent, {
    ...{ listed: ["v1", "v2"], name: "front-2" },
    neighbor: () => second.records,
  });
  await advance(clock, 1_000);
  state.isCut = true;
  const late: number[] = [];
  for (let at = 0; at < 24; at += 1) {
    expect(cut.begin(`a${at}`, "v1")).toEqual(true);
    await advance(clock, 400);
    if (countOf("streams") <= at) late.push(at);
  }
  expect(late).toEqual([]);
  for (const { end } of [first, second, cut]) end();
});

// Guards against LOST: one rejected read of a record is kept, and all later
// take-ups of the service fail with it.
test("a rejected read of the record is not kept", async () => {
  const { clock, store, first, second } = await startPair();
  let rejects = false;
  const failing: Store = {
    ...store,
    async readRow(...call) {
      await clock.sleep(20);
      if (rejects) throw new Error("no memory");
      return await store.readRow(...call);
    },
  };
  const third = startDaemon(clock, failing, {
    ...{ listed: ["v1"], name: "front-2" },
  });
  await advance(clock, 1_000);
  rejects = true;
  // The second one waits for a read that begins after the first one.
  const failed = Promise.allSettled(
    ["a", "b"].map((id) => third.records.find(id, ROUTE)),
  );
  await advance(clock, 100);
  await failed;
  rejects = false;
  expect(await find(clock, third, "c")).toEqual("v1");
  for (const { end } of [first, second, third]) end();
});

// Guards against LOST: a stream is refused, as its daemon or the store is busy and
// its origin is saved some hundred milliseconds late.
test("an origin that is saved late is found", async () => {
  const { clock, paths, first, second } = await startPair();
  for (const { list } of [first, second]) list("v1", "v2");
  await advance(clock, 1_000);
  if (paths[0] !== undefined) paths[0].state.holdsWrites = true;
  expect(first.begin("a", "v1")).toEqual(true);
  await advance(clock, 100);
  const found = second.records.find("a", ROUTE);
  await advance(clock, 300);
  paths[0]?.release();
  await advance(clock, 200);
  const origin = await found;
  expect(typeof origin === "object" ? origin.software : origin).toEqual("v1");
  for (const { end } of [first, second]) end();
});

// Guards against streams of two services in one: a daemon that has started after a
// change of the shares of a route does not know where its streams began before,
// though their origins are in the store.
test("a daemon that started after a new split reads the origins", async () => {
  const clock = createManualClock();
  const { store } = createStore();
  const split = (...weights: readonly [number, number]): StreamRoute => ({
    ...ROUTE,
    targets: ["llm-a", "llm-b"].map((service, at) => ({
      ...{ service, weight: weights[at] ?? 0 },
    })),
  });
  const adopt = (...routes: readonly StreamRoute[]) => {
    const known = createStreamRoutes({ clock, lifetime: STREAM_LIFETIME });
    for (const route of routes) {
      known.adopt({ routes: [{ ...route, isResumable: true } as Route] });
    }
    return known;
  };
  const start = (routes: StreamRoutes) => {
    const stop = new AbortController();
    const records = createStreamRecords({
      ...{ clock, logger: silentLogger, store, name: "front", routes },
      software: {
        isMixed: () => false,
        readSole: () => Promise.resolve({ software: "v1", age: 0 }),
      },
      ...{ writers: () => 1, collector: () => undefined, rank: () => 0 },
      ...{ neighbor: () => undefined, send: () => Promise.resolve(false) },
    });
    void records.run(stop.signal);
    return { records, stop: () => stop.abort() };
  };
  const before = split(19, 1);
  const after = split(1, 19);
  const [id = ""] = Array.from({ length: 100 }, (_, at) => `request-${at}`)
    .filter((each) => {
      const [first, ...others] = adopt(before).servicesOf(before, each);
      const [second] = adopt(after).servicesOf(after, each);
      return first === "llm-a" && others.length === 0 && second === "llm-b";
    });
  const known = start(adopt(before, after));
  known.records.record(id, { service: "llm-a", software: "v1" });
  await advance(clock, 500);
  const fresh = start(adopt(after));
  const found = fresh.records.find(id, after);
  await advance(clock, 500);
  const origin = await found;
  known.stop();
  fresh.stop();
  expect(typeof origin === "object" ? origin.service : origin)
    .toEqual("llm-a");
});
