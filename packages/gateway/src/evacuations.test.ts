import { createManualClock } from "@peridotvalve/clock";
import { EventLogger, type EventName } from "@peridotvalve/events";
import { type FeedRow, toVersion } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { createEvacuations } from "./evacuations.ts";
import { createFollowedRows } from "./followed_rows.ts";

const REGIONS = new Map([["espoo", "uusimaa"], ["vaasa", "pohjanmaa"]]);
const PREFIX = "evacuate/";
const readEvacuation = (key: string) =>
  key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined;

const before = (counter: number) => toVersion(1, counter);
const after = (counter: number) => toVersion(2, counter);
const state = (version: number): FeedRow => ({
  key: "config",
  value: 1,
  version,
});
const evacuation = (zone: string, version: number): FeedRow => ({
  ...{ key: `${PREFIX}${zone}`, value: {}, version },
});

/** A daemon that has read a table with the evacuation of espoo. */
function setUp() {
  const clock = createManualClock();
  const rows = createFollowedRows({
    fingerprintOf: ({ version }) => String(version),
    keepsMissing: true,
    isHeld: (key) => readEvacuation(key) !== undefined,
  });
  const names: EventName[] = [];
  let knownUntil = -Infinity;
  const evacuations = createEvacuations({
    clock,
    logger: new (class extends EventLogger {
      override log(name: EventName): void {
        names.push(name);
      }
    })(),
    codec: { readEvacuation },
    regions: REGIONS,
    table: () => ({
      ...{ ...rows, rows: rows.list, knownUntil: () => knownUntil },
    }),
  });
  /** Takes the whole table as the store has it. */
  const read = (version: number, ...present: FeedRow[]) => {
    rows.replaceAll(present, version);
    knownUntil = clock.monotonic();
    evacuations.refresh();
  };
  const change = (version: number, put: FeedRow[], removed: string[] = []) => {
    rows.applyChanges({ rows: put, removed, version });
    knownUntil = clock.monotonic();
    evacuations.refresh();
  };
  const zones = () => [...evacuations.zones()].sort();
  read(before(9), state(before(3)), evacuation("espoo", before(8)));
  return { clock, rows, names, read, change, zones };
}

test("the keys of the rows name the zones, whatever the values are", () => {
  const { zones, change, names } = setUp();
  expect(zones()).toEqual(["espoo"]);
  const odd = { key: `${PREFIX}vaasa`, value: undefined, version: before(10) };
  change(before(11), [odd, evacuation("atlantis", before(11))]);
  expect(zones()).toEqual(["espoo", "vaasa"]);
  change(before(12), [], [`${PREFIX}espoo`, `${PREFIX}atlantis`]);
  expect(zones()).toEqual(["vaasa"]);
  expect(names).toEqual([
    ...["zone_evacuated", "zone_evacuated", "evacuation_unknown"] as const,
    ...["evacuation_ended", "evacuation_ended"] as const,
  ]);
});

// Guards against requests into a zone because the store came back from a copy
// that was made before its evacuation.
test("an evacuation that a returned store lacks is kept for 30 s", async () => {
  const { clock, zones, read, rows, names } = setUp();
  read(after(4), state(after(3)));
  await clock.advance(20_000);
  // The history is lost and the table is read as a whole again.
  read(after(6), state(after(3)));
  await clock.advance(9_000);
  expect([zones(), names.at(-1)]).toEqual([["espoo"], "evacuation_kept"]);
  await clock.advance(1_500);
  read(after(6), state(after(3)));
  expect(zones()).toEqual([]);
  expect(names.includes("evacuation_expired")).toEqual(true);
  // A peer that still keeps the row does not bring it back, and drops it too.
  const peer = setUp();
  peer.read(after(6), state(after(3)));
  rows.adopt(peer.rows.changesSince({ content: 0, version: 0 }));
  expect(zones()).toEqual([]);
  const position = { content: after(5), version: after(6) };
  peer.rows.adopt(rows.changesSince(position));
  expect(peer.rows.list().map(({ key }) => key)).toEqual(["config"]);
});

// Guards against requests into an evacuated zone because its row was not found for
// 30 s in which nothing was read.
test("an evacuation is kept until a read has not found it", async () => {
  const { clock, zones, read, change } = setUp();
  read(after(4), state(after(3)));
  await clock.advance(90_000);
  expect(zones()).toEqual(["espoo"]);
  change(after(5), [evacuation("espoo", after(5))]);
  expect(zones()).toEqual(["espoo"]);
  await clock.advance(90_000);
  expect(zones()).toEqual(["espoo"]);
});

test("the operator's next write or removal decides after a return", async () => {
  const written = setUp();
  written.read(after(4), state(after(3)));
  written.change(after(5), [evacuation("espoo", after(5))]);
  await written.clock.advance(60_000);
  expect(written.zones()).toEqual(["espoo"]);
  const removed = setUp();
  removed.read(after(4), state(after(3)));
  removed.change(after(5), [], [`${PREFIX}espoo`]);
  expect(removed.zones()).toEqual([]);
  // The copy has the row: the evacuation has no end.
  const copied = setUp();
  copied.read(after(9), state(after(3)), evacuation("espoo", after(8)));
  await copied.clock.advance(60_000);
  expect(copied.zones()).toEqual(["espoo"]);
});

// Guards against an evacuation without an end: a daemon that does not read the
// store learns of the new era from a peer whose rows are otherwise the same.
test("the time begins when a peer tells of the new era", async () => {
  const { clock, rows, zones, change } = setUp();
  rows.adopt({ version: after(4), isWhole: false, rows: [], removed: [] });
  expect(zones()).toEqual(["espoo"]);
  await clock.advance(31_000);
  // Without requests, the next read of the table drops the row.
  change(after(5), []);
  expect(rows.list().map(({ key }) => key)).toEqual(["config"]);
  expect(zones()).toEqual([]);
});
