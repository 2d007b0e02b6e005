import { createManualClock, type ManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createCacheJournal, createStoreCopies } from "./cache_journal.ts";
import { createCacheView } from "./cache_view.ts";

const STORE = "10.1.0.1:80";
const SALT = "m@1";
const event = (part: string, tokens = 100) => ({ salt: SALT, part, tokens });

function createFollower(clock: ManualClock) {
  const cache = createCacheView();
  const journal = createCacheJournal({ clock, cache });
  const read = (epoch: number, ...events: ReturnType<typeof event>[]) => {
    for (const one of events) cache.apply(STORE, one);
    journal.record(STORE, epoch, events);
  };
  return { journal, read };
}

function createReceiver(clock: ManualClock) {
  const cache = createCacheView();
  const copies = createStoreCopies({ clock, cache });
  const parts = () => cache.list(STORE).map(({ part }) => part);
  return { cache, copies, parts };
}

test("a receiver has the parts that the follower has read", () => {
  const clock = createManualClock();
  const { journal, read } = createFollower(clock);
  const { copies, parts } = createReceiver(clock);
  read(7, event("a"), event("b"));
  for (const page of journal.compose(500)) copies.apply("front-1", page);
  read(7, event("a", 0));
  for (const page of journal.compose(500)) copies.apply("front-1", page);
  expect(parts()).toEqual(["b"]);
  expect(copies.epochOf(STORE)).toEqual(7);
});

test("a lost page leads to a request for the whole contents", () => {
  const clock = createManualClock();
  const { journal, read } = createFollower(clock);
  const { copies, parts } = createReceiver(clock);
  read(7, event("a"));
  journal.compose(500);
  read(7, event("b"));
  const [page] = journal.compose(500);
  expect(copies.apply("front-1", page!)).toEqual(true);
  copies.replace("front-1", STORE, journal.dump(STORE)!);
  expect(parts()).toEqual(["a", "b"]);
  read(7, event("c"));
  expect(copies.apply("front-1", journal.compose(500)[0]!)).toEqual(false);
  expect(parts()).toEqual(["a", "b", "c"]);
});

// Guards against a fetch from a part that is being written again after its
// store restarted (MIXED).
test("a new epoch drops all parts and is not written to at once", async () => {
  const clock = createManualClock();
  const { journal, read } = createFollower(clock);
  const { copies, parts } = createReceiver(clock);
  read(7, event("a"));
  copies.apply("front-1", journal.compose(500)[0]!);
  await clock.advance(4_000);
  expect(copies.isSettled(STORE)).toEqual(true);
  read(8);
  copies.apply("front-1", journal.compose(500)[0]!);
  expect(parts()).toEqual([]);
  expect(copies.isSettled(STORE)).toEqual(false);
  await clock.advance(4_000);
  expect(copies.isSettled(STORE)).toEqual(true);
});

test("a store of which no recent read is known is not used", async () => {
  const clock = createManualClock();
  const { journal, read } = createFollower(clock);
  const { copies } = createReceiver(clock);
  read(7, event("a"));
  await clock.advance(1_500);
  copies.apply("front-1", journal.compose(500)[0]!);
  expect(copies.epochOf(STORE)).toEqual(7);
  await clock.advance(600);
  expect(copies.epochOf(STORE)).toEqual(undefined);
});

// Guards against two followers that overwrite each other's contents in turn.
test("a receiver changes its follower only when that one is silent", async () => {
  const clock = createManualClock();
  const [first, second] = [createFollower(clock), createFollower(clock)];
  const { copies, parts } = createReceiver(clock);
  first.read(7, event("a"));
  copies.apply("front-1", first.journal.compose(500)[0]!);
  second.read(7, event("b"));
  expect(copies.apply("front-2", second.journal.compose(500)[0]!))
    .toEqual(false);
  expect(parts()).toEqual(["a"]);
  await clock.advance(2_500);
  second.read(7, event("c"));
  expect(copies.apply("front-2", second.journal.compose(500)[0]!))
    .toEqual(true);
  copies.replace("front-2", STORE, second.journal.dump(STORE)!);
  expect(parts()).toEqual(["b", "c"]);
});

test("pages keep to the limit, and the rest follows in order", () => {
  const clock = createManualClock();
  const { journal, read } = createFollower(clock);
  const { copies, parts } = createReceiver(clock);
  const all = Array.from({ length: 50 }, (_, index) => event(`part-${index}`));
  read(7, ...all);
  let pages = 0;
  while (parts().length < all.length && pages < 50) {
    pages += 1;
    for (const page of journal.compose(200)) copies.apply("front-1", page);
  }
  expect(parts().length).toEqual(50);
  expect(pages).toBeGreaterThan(3);
});
