import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { SECOND } from "@peridotvalve/types";
import { expect } from "earl";
import { type ColdEntry, createColdReplicas } from "./cold_replicas.ts";
import { createStatements } from "./statements.ts";

const START = 1_790_000_000_000;
const DURATION = 20 * SECOND;
const TRAITS = { duration: DURATION, rate: 4 };
const LONG_AGO = START - 10 * DURATION;

function compose(fields: Partial<ColdEntry> = {}): ColdEntry {
  return { id: "a", service: "llm", zone: "espoo", born: LONG_AGO, ...fields };
}

function createDaemons(count: number) {
  const clock = createManualClock(START);
  const daemons = Array.from({ length: count }, () => {
    const statements = createStatements({ clock });
    const cold = createColdReplicas({
      ...{ clock, statements },
      traitsOf: (service) => service === "llm" ? TRAITS : undefined,
    });
    const isCold = (entry: ColdEntry) => cold.find(entry) !== undefined;
    return { statements, cold, isCold };
  });
  const gossip = () => {
    for (const from of daemons) {
      const news = from.statements.compose(200);
      for (const to of daemons) {
        if (news !== undefined && to !== from) to.statements.apply(news);
      }
    }
  };
  return { clock, daemons, gossip };
}

// Guards against a deployment that is slowed down at its start, or a replica
// that has just started and gets everything, by what the first entry says.
test("the first entry decides whether a replica is cold", async () => {
  const { clock, daemons: [daemon] } = createDaemons(1);
  const { cold, isCold } = daemon!;
  const cases: (readonly [Partial<ColdEntry>, boolean])[] = [
    [{ id: "warm", coldRemaining: 0 }, false],
    [{ id: "said to be warm", born: START, coldRemaining: 0 }, false],
    [{ id: "old" }, false],
    [{ id: "cold", coldRemaining: 5 * SECOND }, true],
    [{ id: "young", born: START - DURATION + 5 * SECOND }, true],
    [{ id: "young", service: "shop", coldRemaining: 5 * SECOND }, false],
  ];
  const entries = cases.map(([fields]) => compose(fields));
  for (const entry of entries) cold.recordEntry(entry);
  expect(entries.map(isCold)).toEqual(cases.map(([, expected]) => expected));
  await clock.advance(5 * SECOND);
  // A row that is read again, as with a snapshot, does not prolong the time.
  for (const entry of entries) cold.recordEntry(entry);
  expect(entries.map(isCold)).toEqual(cases.map(() => false));
  cold.recordEntry(compose({ id: "warm", coldRemaining: 9 * SECOND }));
  expect(isCold(entries[0]!)).toEqual(true);
});

// Guards against a replica of which nothing is known that counts as warm, or
// that stays cold for good.
test("an unknown state ends some time after the first data", async () => {
  const { clock, daemons: [daemon] } = createDaemons(1);
  const { cold, isCold } = daemon!;
  const { born: _, ...entry } = compose();
  cold.recordEntry(entry);
  await clock.advance(3 * DURATION);
  expect(isCold(entry)).toEqual(true);
  cold.recordReceived("a", clock.monotonic());
  await clock.advance(DURATION - 1);
  expect(isCold(entry)).toEqual(true);
  await clock.advance(1);
  expect(isCold(entry)).toEqual(false);
});

// Guards against a replica that restarts under its entry and gets everything at
// once, from the daemon that met the reset or from one of its peers; against an
// entry from before the reset that is taken for a report; and against a warm
// replica that all daemons hold back although its entry was written again.
test("a reset makes a replica cold until a later report", async () => {
  const { clock, daemons, gossip } = createDaemons(3);
  const entry = compose({ coldRemaining: 0 });
  for (const { cold } of daemons) cold.recordEntry(entry);
  const [first, reader, other] = daemons;
  const areCold = () => daemons.map(({ isCold }) => isCold(entry));
  await clock.advance(SECOND);
  const before = clock.monotonic() - 300;
  first!.cold.suspect(entry);
  await clock.advance(100);
  gossip();
  expect(areCold()).toEqual([true, true, true]);
  expect(reader!.cold.isAwaited(entry)).toEqual(true);
  reader!.cold.recordEntry(entry, before);
  expect(areCold()).toEqual([true, true, true]);
  await clock.advance(2 * SECOND);
  // The new incarnation answers, which does not say that it is warm.
  other!.cold.recordReceived("a", clock.monotonic() - 50);
  expect(other!.isCold(entry)).toEqual(true);
  reader!.cold.recordEntry(entry, clock.monotonic() - SECOND);
  expect(areCold()).toEqual([true, false, true]);
  gossip();
  expect(areCold()).toEqual([false, false, false]);
  // A health answer of an incarnation that is cold after all.
  other!.cold.recordHealth(entry, 3 * SECOND, clock.monotonic() - 10);
  gossip();
  expect(areCold()).toEqual([true, true, true]);
  await clock.advance(3 * SECOND);
  expect(areCold()).toEqual([false, false, false]);
});

// Guards against one daemon that is cut off from a replica and slows it down for
// all others, although they have data of attempts from before the cut.
test("data across a suspicion shows that the replica goes on", async () => {
  const { clock, daemons, gossip } = createDaemons(2);
  const entry = compose({ coldRemaining: 0 });
  for (const { cold } of daemons) cold.recordEntry(entry);
  const [cut, served] = daemons;
  const streamBegin = clock.monotonic();
  await clock.advance(2 * SECOND);
  served!.cold.recordReceived("a", streamBegin);
  cut!.cold.suspect(entry);
  await clock.advance(300);
  gossip();
  // The stream may have ended with the replica.
  expect(served!.isCold(entry)).toEqual(true);
  served!.cold.recordReceived("a", streamBegin);
  expect(served!.isCold(entry)).toEqual(false);
  expect(cut!.isCold(entry)).toEqual(true);
  cut!.cold.suspect(entry, 900);
  gossip();
  expect(served!.isCold(entry)).toEqual(false);
  // An attempt that began afterwards proves nothing.
  served!.cold.suspect(entry);
  await clock.advance(2 * SECOND);
  served!.cold.recordReceived("a", clock.monotonic() - SECOND);
  expect(served!.isCold(entry)).toEqual(true);
});
