import { test } from "node:test";
import { createManualClock, createSystemClock } from "@peridotvalve/clock";
import {
  type ChangeQuery,
  type Changes,
  type HistoryLost,
  type Snapshot,
  TableFeed,
  type Unavailable,
} from "@peridotvalve/tables";
import { EventLogger, type EventName } from "@peridotvalve/events";
import { expect } from "earl";
import { Err, Ok, type Result } from "ts-results-es";
import { createTableFollower } from "./table_follower.ts";

type Answer = Result<Changes, Unavailable | HistoryLost>;

/** Returns the answers in order, then never resolves. */
function createFeed(snapshots: Snapshot[], answers: Answer[]) {
  const queries: ChangeQuery[] = [];
  const timeouts: number[] = [];
  const feed = new (class extends TableFeed {
    override snapshot(
      _table: string,
      timeout: number,
    ): Promise<Result<Snapshot, Unavailable>> {
      timeouts.push(timeout);
      const next = snapshots.shift();
      return Promise.resolve(
        next === undefined
          ? Err({ kind: "unavailable" as const, reason: "away" })
          : Ok(next),
      );
    }

    override changes(query: ChangeQuery): Promise<Answer> {
      queries.push(query);
      const next = answers.shift();
      return next === undefined ? new Promise(() => {}) : Promise.resolve(next);
    }
  })();
  return { feed, queries, timeouts };
}

const row = (key: string, version: number) => ({ key, value: key, version });

function follow(
  snapshots: Snapshot[],
  answers: Answer[],
  mayRead: (age: number) => boolean = () => true,
) {
  const { feed, queries, timeouts } = createFeed(snapshots, answers);
  const taken: string[] = [];
  const names: EventName[] = [];
  const logger = new (class extends EventLogger {
    override log(name: EventName): void {
      names.push(name);
    }
  })();
  const follower = createTableFollower({
    clock: createSystemClock(),
    logger,
    feed,
    table: "t",
    wait: 0,
    pause: 0,
    mayRead,
    onSnapshot: (rows) => taken.push(`all ${rows.map(({ key }) => key)}`),
    onChange: (rows, removed) =>
      taken.push(`${rows.map(({ key }) => key)} -${removed}`),
  });
  const stop = new AbortController();
  follower.run(stop.signal);
  return { follower, queries, timeouts, taken, names, stop };
}

const settle = () => new Promise((resolve) => setTimeout(resolve, 20));

test("changes follow a snapshot from its version", async () => {
  const { taken, queries, follower, stop } = follow(
    [{ rows: [row("a", 3)], version: 5 }],
    [Ok({ rows: [row("b", 6)], removed: ["a"], version: 7 })],
  );
  await settle();
  stop.abort();
  expect(taken).toEqual(["all a", "b -a"]);
  expect(queries.map(({ after }) => after)).toEqual([5, 7]);
  expect(follower.rows().map(({ key }) => key)).toEqual(["b"]);
  // The removal of "a" is a change as of the newest version.
  expect(follower.contentVersion()).toEqual(7);
});

// Guards against missing changes made while the store dropped its history.
test("a lost history leads to a new snapshot", async () => {
  const { taken, stop } = follow(
    [{ rows: [row("a", 3)], version: 5 }, { rows: [row("b", 8)], version: 9 }],
    [Err({ kind: "history lost" })],
  );
  await settle();
  stop.abort();
  expect(taken).toEqual(["all a", "all b"]);
});

// Guards against replacing newer rows by those of a peer that lags behind.
test("rows are adopted from a peer only when they are newer", async () => {
  const { follower, taken, stop } = follow(
    [{ rows: [row("a", 3)], version: 5 }],
    [],
  );
  await settle();
  const whole = { isWhole: true, removed: [] };
  expect(follower.adopt({ ...whole, rows: [row("old", 2)], version: 4 }))
    .toEqual(false);
  expect(follower.adopt({ ...whole, rows: [row("new", 8)], version: 9 }))
    .toEqual(true);
  stop.abort();
  expect(taken).toEqual(["all a", "all new"]);
});

test("an unavailable store is logged once", async () => {
  const { names, stop } = follow([], []);
  await new Promise((resolve) => setTimeout(resolve, 400));
  stop.abort();
  expect(names).toEqual(["table_lost"]);
});

// Guards against a daemon that starts while the store is silent and waits 1.2 s
// for that call although the store has returned meanwhile (five of eight
// daemons in incident inc-15fb).
test("the first calls have short timeouts, later ones the full one", async () => {
  const { timeouts, stop } = follow([], []);
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  stop.abort();
  expect(timeouts.slice(0, 4)).toEqual([300, 600, 1_200, 1_200]);
});

// Guards against N copies of each read: a daemon whose peers read the table
// does not call the store until it has to.
test("a daemon reads only while it has to", async () => {
  let isDue = false;
  const { follower, timeouts, stop } = follow(
    [{ rows: [row("a", 3)], version: 5 }],
    [],
    () => isDue,
  );
  await settle();
  expect([timeouts.length, follower.isReading()]).toEqual([0, false]);
  isDue = true;
  await new Promise((resolve) => setTimeout(resolve, 400));
  stop.abort();
  expect([timeouts.length, follower.isReading()]).toEqual([1, true]);
  expect(follower.rows().length).toEqual(1);
});

test("a read of a peer counts as contact, but not as an own read", () => {
  const { follower, stop } = follow([], [], () => false);
  stop.abort();
  expect(follower.lastContact()).toEqual(-Infinity);
  follower.recordPeerRead(100);
  expect(follower.lastContact() > -Infinity).toEqual(true);
  expect(follower.lastOwnRead()).toEqual(-Infinity);
});

// Guards against a reader whose own calls fail and that takes nothing from its
// neighbors either, because it hears of their reads (further-grown trouble-1,
// CONFIG: a daemon kept version 4 for the whole day).
test("a reader whose reads fail takes rows from peers", async () => {
  const { follower, stop } = follow([], []);
  await settle();
  follower.recordPeerRead(0);
  expect(follower.isReading()).toEqual(true);
  expect(follower.needsPeers()).toEqual(true);
  stop.abort();
});

test("a reader whose reads succeed takes nothing from peers", async () => {
  const { follower, stop } = follow([{ rows: [row("a", 3)], version: 5 }], []);
  await settle();
  expect(follower.needsPeers()).toEqual(false);
  stop.abort();
});

// Guards against an entry from before a replica's end that counts as a later
// report on it, and against heartbeats that are withheld as they change nothing.
test("read rows come with a time after which they were written", async () => {
  const page = (version: number) =>
    Ok({ rows: [row("a", version)], removed: [], version });
  const { feed } = createFeed([{ rows: [row("a", 1)], version: 1 }], [
    page(2),
    page(3),
  ]);
  const clock = createManualClock();
  const reads: (readonly [number, number])[] = [];
  const changes: string[] = [];
  const follower = createTableFollower({
    ...{ clock, feed, table: "t", wait: 0, pause: 1_000 },
    logger: new (class extends EventLogger {
      override log(): void {}
    })(),
    fingerprintOf: ({ key }) => key,
    onSnapshot: () => {},
    onChange: () => changes.push("changed"),
    onRead: ([first], writtenAfter) =>
      reads.push([first?.version ?? 0, writtenAfter]),
  });
  const stop = new AbortController();
  void follower.run(stop.signal);
  await clock.advance(1_000);
  await clock.advance(1_000);
  stop.abort();
  // The second row may have been written as soon as the snapshot was taken.
  expect(reads).toEqual([[2, 0], [3, 1_000]]);
  expect(changes).toEqual([]);
});

// Guards against an answer that lay unread while the process stood still and that
// counts as the state of the table after that.
test("a table is known until the begin of a read", async () => {
  const answers: ((answer: Answer) => void)[] = [];
  const feed = new (class extends TableFeed {
    override snapshot = () => Promise.resolve(Ok({ rows: [], version: 1 }));
    override changes = () =>
      new Promise<Answer>((resolve) => answers.push(resolve));
  })();
  const clock = createManualClock();
  const follower = createTableFollower({
    ...{ clock, feed, table: "t", wait: 800, pause: 0 },
    logger: new (class extends EventLogger {
      override log(): void {}
    })(),
    onSnapshot: () => {},
    onChange: () => {},
  });
  expect(follower.knownUntil()).toEqual(-Infinity);
  const stop = new AbortController();
  void follower.run(stop.signal);
  await clock.advance(40_000);
  expect(follower.knownUntil()).toEqual(0);
  answers[0]?.(Ok({ rows: [], removed: [], version: 2 }));
  await clock.advance(1_000);
  expect(follower.knownUntil()).toEqual(0);
  // The answer of a peer's read may have come as long after its begin.
  follower.recordPeerRead(500);
  expect(follower.knownUntil()).toEqual(41_000 - 500 - 800 - 1_200);
  stop.abort();
});
