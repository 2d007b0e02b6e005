import { expect } from "earl";
import { test } from "node:test";
import type { FeedRow } from "@peridotvalve/tables";
import { createFollowedRows, type FollowedRows } from "./followed_rows.ts";

/** Rows whose first character matters and whose rest is a heartbeat. */
function createRows(): FollowedRows {
  return createFollowedRows(({ value }) => String(value).slice(0, 1));
}

function row(key: string, value: string, version: number): FeedRow {
  return { key, value, version };
}

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
  other.adopt(reader.changesSince(other.contentVersion()));
  expect(keys(other)).toEqual(["a", "b"]);
  reader.applyChanges({
    rows: [row("c", "r", 8)],
    removed: ["a"],
    version: 9,
  });
  const update = reader.changesSince(other.contentVersion());
  expect([update.isWhole, update.rows.length, update.removed.length])
    .toEqual([false, 1, 1]);
  other.adopt(update);
  expect(keys(other)).toEqual(["b", "c"]);
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
  expect(rows.changesSince(1_100).isWhole).toEqual(true);
  expect(rows.changesSince(2_500).isWhole).toEqual(false);
});
