import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { counterOf, createStoreEra, eraOf, toVersion } from "./store_era.ts";

// Guards against CONFIG: a row of a store that has returned from a copy looks
// older than one that the copy lacks.
test("a version of a later era is newer, whatever its counter", () => {
  const [before, after] = [toVersion(1, 5_000_000), toVersion(2, 3)];
  expect(after > before).toEqual(true);
  expect([eraOf(before), counterOf(before)]).toEqual([1, 5_000_000]);
  expect([eraOf(after), counterOf(after)]).toEqual([2, 3]);
});

test("a store without eras keeps its versions", () => {
  expect([toVersion(0, 7), eraOf(7), counterOf(7)]).toEqual([7, 0, 7]);
});

test("the era only rises, and each rise is told", async () => {
  const clock = createManualClock();
  const era = createStoreEra(clock);
  const returns: number[] = [];
  era.onReturn((next) => returns.push(next));
  expect([era.age(), era.record(3)]).toEqual([0, true]);
  await clock.advance(500);
  expect([era.record(3), era.age(), returns.length]).toEqual([true, 500, 0]);
  expect([era.record(4), era.age()]).toEqual([true, 0]);
  expect([era.record(3), era.current(), returns]).toEqual([false, 4, [4]]);
});

// Guards against a daemon that starts while it cannot reach the store, takes the
// rows of its neighbors, and drops live replicas and rows of daemons at once when
// the store returns without them.
test("a rise before the first own answer is told", () => {
  const era = createStoreEra(createManualClock());
  const returns: number[] = [];
  era.onReturn((next) => returns.push(next));
  era.hear(4);
  // A neighbor that has not heard of the era yet.
  era.hear(3);
  expect([era.current(), returns]).toEqual([0, []]);
  era.hear(5);
  era.hear(5);
  expect([era.current(), returns]).toEqual([0, [5]]);
  era.record(5);
  expect([era.current(), returns]).toEqual([5, [5]]);
  era.record(6);
  expect(returns).toEqual([5, 6]);
});

test("the first own answer tells of a return that no neighbor told", () => {
  const era = createStoreEra(createManualClock());
  const returns: number[] = [];
  era.onReturn((next) => returns.push(next));
  era.hear(4);
  era.record(5);
  expect([era.current(), returns]).toEqual([5, [5]]);
});

// Guards against DRAIN: a daemon that does not read the store itself learns of
// its return only with the next change, and gives missing replicas more time.
test("another process tells of a return once, before the store does", () => {
  const era = createStoreEra(createManualClock());
  const returns: number[] = [];
  era.onReturn((next) => returns.push(next));
  era.hear(5);
  era.record(4);
  expect(returns).toEqual([]);
  era.hear(5);
  era.hear(5);
  expect([era.current(), returns]).toEqual([4, [5]]);
  era.record(5);
  expect([era.current(), returns]).toEqual([5, [5]]);
});
