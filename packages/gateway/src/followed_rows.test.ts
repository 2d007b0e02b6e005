import { expect } from "earl";
import { test } from "node:test";
import { type FeedRow, toVersion } from "@peridotvalve/tables";
import { createFollowedRows, type FollowedRows } from "./followed_rows.ts";

/** Rows whose first character matters and whose rest is a heartbeat. */
function createRows(): FollowedRows {
  return createFollowedRows({
    fingerprintOf: ({ value }) => String(value).slice(0, 1),
  });
}

function row(key: string, value: string, version: number): FeedRow {
  return { key, value, version };
}

const positionOf = (rows: FollowedRows) => ({
  content: rows.contentVersion(),
  version: rows.version(),
});

const keys = (rows: FollowedRows) => rows.list().map(({ key }) => key).sort();

test("a heartbeat of a row does not count as a change", () => {
  const rows = createRows();
  rows.replaceAll([row("a", "r1", 3)], 5);
  const { changed } = rows.applyChanges({
    rows: [row("a", "r2", 6)],
    removed: [],
    version: 6,
  });
  expect(changed).toEqual([]);
  expect([rows.contentVersion(), rows.version()]).toEqual([3, 6]);
  const leaving = rows.applyChanges({
    rows: [row("a", "l3", 7)],
    removed: [],
    version: 7,
  });
  expect(leaving.changed.length).toEqual(1);
  expect(rows.contentVersion()).toEqual(7);
});

test("a peer gets what changed since its content version", () => {
  const [reader, other] = [createRows(), createRows()];
  reader.replaceAll([row("a", "r", 3), row("b", "r", 4)], 5);
  other.adopt(reader.changesSince(positionOf(other)));
  expect(keys(other)).toEqual(["a", "b"]);
  reader.applyChanges({
    rows: [row("c", "r", 8)],
    removed: ["a"],
    version: 9,
  });
  const update = reader.changesSince(positionOf(other));
  expect([update.isWhole, update.rows.length, update.removed.length])
    .toEqual([false, 1, 1]);
  other.adopt(update);
  expect(keys(other)).toEqual(["b", "c"]);
  expect(other.contentVersion()).toEqual(reader.contentVersion());
});

// Guards against a table that is fetched again with each message of a neighbor
// that has read the same row at a later heartbeat.
test("a peer that has the newest change needs no further update", () => {
  const [reader, other] = [createRows(), createRows()];
  other.replaceAll([row("a", "r1", 3)], 3);
  reader.replaceAll([row("a", "r2", 4)], 4);
  other.adopt(reader.changesSince(positionOf(other)));
  expect(other.contentVersion()).toEqual(reader.contentVersion());
});

// Guards against a state that falls back because an update arrives late.
test("an older row or removal never wins", () => {
  const rows = createRows();
  rows.replaceAll([row("a", "new", 8)], 9);
  rows.adopt({
    version: 7,
    isWhole: false,
    rows: [row("a", "old", 6)],
    removed: [["a", 5]],
  });
  expect(rows.list().map(({ value }) => value)).toEqual(["new"]);
  rows.applyChanges({ rows: [], removed: ["a"], version: 12 });
  rows.adopt({
    version: 8,
    isWhole: false,
    rows: [row("a", "new", 8)],
    removed: [],
  });
  expect(keys(rows)).toEqual([]);
  expect(rows.version()).toEqual(12);
});

test("a peer behind the remembered removals gets the whole table", () => {
  const rows = createRows();
  const all = Array.from(
    { length: 1_100 },
    (_, index) => row(`k${index}`, "r", index + 1),
  );
  rows.replaceAll(all, 1_100);
  for (const [index, { key }] of all.entries()) {
    rows.applyChanges({ rows: [], removed: [key], version: 2_000 + index });
  }
  const isWholeAt = (version: number) =>
    rows.changesSince({ content: version, version }).isWhole;
  expect(isWholeAt(1_100)).toEqual(true);
  expect(isWholeAt(2_500)).toEqual(false);
});

// Guards against DRAIN: a daemon cut from the store takes rows from a peer that
// was started after a replica left, and keeps that replica for good.
test("a peer learns of a removal before the start of the reader", () => {
  const [cut, restarted] = [createRows(), createRows()];
  cut.replaceAll([row("a", "r", 3), row("b", "r", 4)], 5);
  // "b" is removed with version 8.
  restarted.replaceAll([row("a", "r", 9)], 10);
  cut.adopt(restarted.changesSince(positionOf(cut)));
  expect(keys(cut)).toEqual(["a"]);
  restarted.applyChanges({
    rows: [row("c", "r", 11)],
    removed: [],
    version: 11,
  });
  expect(restarted.changesSince(positionOf(cut)).isWhole).toEqual(false);
});

test("a peer learns of a removal while the reader had lost the history", () => {
  const [cut, reader] = [createRows(), createRows()];
  reader.replaceAll([row("a", "r", 3)], 4);
  cut.replaceAll([row("a", "r", 3), row("b", "r", 5)], 6);
  reader.replaceAll([row("a", "r", 9)], 10);
  reader.applyChanges({ rows: [row("c", "r", 11)], removed: [], version: 11 });
  cut.adopt(reader.changesSince(positionOf(cut)));
  expect(keys(cut)).toEqual(["a", "c"]);
});

test("a peer learns of a removal through daemons that took a whole table", () => {
  const [cut, restarted, between] = [createRows(), createRows(), createRows()];
  cut.replaceAll([row("a", "r", 3), row("b", "r", 4)], 5);
  restarted.replaceAll([row("a", "r", 9)], 10);
  between.adopt(restarted.changesSince(positionOf(between)));
  cut.adopt(between.changesSince(positionOf(cut)));
  expect(keys(cut)).toEqual(["a"]);
});

test("a peer learns of a removal of a row that the reader never knew", () => {
  const [cut, reader] = [createRows(), createRows()];
  reader.replaceAll([row("a", "r", 3)], 4);
  cut.replaceAll([row("a", "r", 3), row("b", "r", 5)], 6);
  const change = reader.applyChanges({ rows: [], removed: ["b"], version: 8 });
  expect(change.removed).toEqual([]);
  expect(reader.contentVersion() > cut.contentVersion()).toEqual(true);
  cut.adopt(reader.changesSince(positionOf(cut)));
  expect(keys(cut)).toEqual(["a"]);
});

/** Rows that state their progress: the number behind the first character. */
function createProgressRows(keepsMissing: boolean): FollowedRows {
  return createFollowedRows({
    fingerprintOf: ({ value }) => String(value),
    progressOf: ({ value }) => [Number(String(value).slice(1))],
    keepsMissing,
  });
}

const values = (rows: FollowedRows) =>
  rows.list().map(({ value }) => value).sort();

// Guards against CONFIG: after the store returned from a copy, an older state
// comes back, or the order of the copy is ignored for good.
test("a returned store brings nothing older back, and everything newer", () => {
  const rows = createProgressRows(true);
  const [before, after] = [
    (counter: number) => toVersion(1, counter),
    (counter: number) => toVersion(2, counter),
  ];
  rows.replaceAll([row("a", "s7", before(90)), row("b", "s1", before(50))], 90);
  rows.applyChanges({
    rows: [row("c", "s1", before(95))],
    removed: ["b"],
    version: before(96),
  });
  const copied = [row("a", "s4", after(40)), row("b", "s1", after(50))];
  expect(rows.replaceAll(copied, after(60))).toEqual(true);
  expect(values(rows)).toEqual(["s1", "s7"]);
  expect(keys(rows)).toEqual(["a", "c"]);
  const { changed } = rows.applyChanges({
    rows: [row("a", "s8", after(61)), row("b", "s2", after(62))],
    removed: ["c"],
    version: after(63),
  });
  expect(changed.map(({ key }) => key)).toEqual(["a", "b"]);
  expect(values(rows)).toEqual(["s2", "s8"]);
});

// Guards against a daemon that started after the return and keeps the older rows
// of the copy, although its neighbor knows newer ones.
test("a peer with the rows of the copy gets those that it lacks", () => {
  const [old, fresh] = [createProgressRows(true), createProgressRows(true)];
  old.replaceAll([row("a", "s7", toVersion(1, 90))], toVersion(1, 90));
  const copied = [row("a", "s4", toVersion(2, 40))];
  fresh.replaceAll(copied, toVersion(2, 50));
  old.replaceAll(copied, toVersion(2, 51));
  expect(old.contentVersion() > fresh.contentVersion()).toEqual(true);
  fresh.adopt(old.changesSince(positionOf(fresh)));
  expect(values(fresh)).toEqual(["s7"]);
  fresh.adopt({
    version: toVersion(2, 52),
    isWhole: false,
    rows: copied,
    removed: [],
  });
  expect(values(fresh)).toEqual(["s7"]);
});

test("rows that a returned store lacks are gone unless they are kept", () => {
  for (const keepsMissing of [true, false]) {
    const rows = createProgressRows(keepsMissing);
    rows.replaceAll([row("a", "s1", toVersion(1, 9))], toVersion(1, 9));
    rows.replaceAll([], toVersion(2, 3));
    expect(keys(rows)).toEqual(keepsMissing ? ["a"] : []);
    rows.applyChanges({ rows: [], removed: ["a"], version: toVersion(2, 4) });
    expect(keys(rows)).toEqual([]);
  }
});

// Guards against a replica that stays gone, as it writes the same entry again that
// the returned store had lost.
test("a row that the copy lacked may come back unchanged", () => {
  const rows = createProgressRows(false);
  rows.replaceAll([row("a", "s7", toVersion(1, 90))], toVersion(1, 90));
  rows.replaceAll([], toVersion(2, 50));
  expect(keys(rows)).toEqual([]);
  rows.applyChanges({
    rows: [row("a", "s7", toVersion(2, 51))],
    removed: [],
    version: toVersion(2, 51),
  });
  expect(values(rows)).toEqual(["s7"]);
});
