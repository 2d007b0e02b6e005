import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { createReplicaTable, type ReplicaEntry } from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import { type FeedRow, TableFeed } from "@peridotvalve/tables";
import { expect } from "earl";
import { Err, Ok } from "ts-results-es";
import { createFollowedTables } from "./followed_tables.ts";
import { Registration } from "./registration.ts";

const entryOf = (id: string): ReplicaEntry => ({
  ...{ id, service: "llm", address: `${id}:80`, zone: "espoo", slots: 8 },
  state: "ready",
  weights: new Map(),
});

const row = (key: string, version: number): FeedRow => ({
  ...{ key, value: key, version },
});

const whole = (version: number, ...rows: FeedRow[]) => ({
  ...{ version, isWhole: true, rows, removed: [] },
});

const change = (
  version: number,
  rows: FeedRow[],
  removed: (readonly [key: string, at: number])[],
) => ({
  ...{ version, isWhole: false, rows, removed },
});

/** A daemon that has read the list with the replicas a and b, and no store. */
function setUp() {
  const clock = createManualClock();
  const feed = new (class extends TableFeed {
    override snapshot = () =>
      Promise.resolve(Err({ kind: "unavailable" as const, reason: "away" }));
    override changes = () =>
      Promise.resolve(Err({ kind: "unavailable" as const, reason: "away" }));
  })();
  const replicas = createReplicaTable({ clock, onChange() {} });
  const tables = createFollowedTables({
    ...{ clock, feed, replicas, rank: () => 1 },
    logger: new (class extends EventLogger {
      override log(): void {}
    })(),
    codec: {
      ...{ operatorTable: "op", replicaTable: "servers" },
      readProgress: () => undefined,
      readEvacuation: () => undefined,
      readEntry: (key: string) => Ok(entryOf(key)),
    } as unknown as Parameters<typeof createFollowedTables>[0]["codec"],
    settings: {
      ...{ configurationLimit: 2_000, evacuationLimit: 2_000 },
      drainLimit: 2_000,
    },
    coldReplicas: { isAwaited: () => false, recordEntry() {} },
    registration: new (class extends Registration {
      override renew = () => {};
      override run = () => Promise.resolve();
      override replaceAll(): void {}
      override applyChanges(): void {}
      override peers = () => [];
      override find = () => undefined;
      override hasHost = () => false;
      override onChange(): void {}
    })(),
    onOperatorRow() {},
    onOperatorRows() {},
    onReplicasKnown() {},
    onDaemonsRead() {},
  });
  const list = tables.replicas;
  list.adopt(whole(5, row("a", 3), row("b", 4)));
  list.recordPeerRead(0);
  const usable = () => replicas.usable("llm").map(({ entry }) => entry.id);
  return { clock, list, usable };
}

// Guards against a failure for lack of replicas (LOST): after an outage the entries
// of live replicas come back within two seconds, and the first list of a neighbor
// lacks them.
for (const kind of ["whole list", "changes"]) {
  test(`removed entries in a neighbor's ${kind} get a grace period after an outage`, async () => {
    const { clock, list, usable } = setUp();
    await clock.advance(4_000);
    list.adopt(
      kind === "changes" ? change(9, [], [["b", 9]]) : whole(9, row("a", 3)),
    );
    list.recordPeerRead(100);
    expect(usable()).toEqual(["a", "b"]);
    await clock.advance(1_000);
    list.recordPeerRead(100);
    await clock.advance(1_499);
    expect(usable()).toEqual(["a", "b"]);
    await clock.advance(1);
    expect(usable()).toEqual(["a"]);
  });
}

// Guards against an outage whose end is taken to be the arrival of rows that a
// neighbor had read before.
test("the list that a neighbor had read in an outage does not end it", async () => {
  const { clock, list, usable } = setUp();
  await clock.advance(4_000);
  list.adopt(change(7, [row("c", 7)], []));
  list.recordPeerRead(3_500);
  await clock.advance(2_400);
  list.adopt(change(9, [], [["b", 9]]));
  list.recordPeerRead(0);
  await clock.advance(2_000);
  expect(usable()).toEqual(["a", "b", "c"]);
  await clock.advance(500);
  expect(usable()).toEqual(["a", "c"]);
});

// Guards against DRAIN: without an outage, a removal holds at once.
test("removed entries in a neighbor's list are gone at once otherwise", async () => {
  const { clock, list, usable } = setUp();
  await clock.advance(1_000);
  list.recordPeerRead(0);
  await clock.advance(1_000);
  list.adopt(change(9, [], [["b", 9]]));
  list.recordPeerRead(0);
  expect(usable()).toEqual(["a"]);
});
