import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createStatements, UNLISTED_EXPIRY } from "./statements.ts";

const REPLICA = { id: "a", born: 1 };
const HOUR = 3_600_000;

// Guards against a limit that outlives the replica's word: it must end with the
// first answer without it and with a new incarnation. It must not end before, as
// nothing is heard of a replica to which nothing is sent.
test("a limit holds for as long as the replica says so", async () => {
  const clock = createManualClock();
  const changes: (number | undefined)[] = [];
  const statements = createStatements({
    clock,
    onChange: (_replica, _kind, value) => changes.push(value),
  });
  const limitOf = (replica = REPLICA) =>
    statements.find(replica, "limit")?.value;
  statements.record(REPLICA, {});
  expect(changes).toEqual([]);
  statements.record(REPLICA, { limit: 9.5 });
  statements.record(REPLICA, { limit: 9.5 });
  expect(limitOf()).toEqual(9.5);
  expect(limitOf({ id: "a", born: 2 })).toEqual(undefined);
  statements.record(REPLICA, { limit: 4 });
  statements.record(REPLICA, {});
  expect(limitOf()).toEqual(undefined);
  expect(changes).toEqual([9.5, 4, undefined]);
  statements.record(REPLICA, { limit: 0 });
  await clock.advance(HOUR);
  expect(limitOf()).toEqual(0);
  expect(statements.find(REPLICA, "limit")?.since).toEqual(0);
  statements.record(REPLICA, {});
  expect(limitOf()).toEqual(undefined);
});

// Guards against statements of gone replicas that pile up, and against a limit
// that is lost because the entry of its replica was missing after an outage.
test("statements are kept while their replica is listed", async () => {
  const clock = createManualClock();
  const [listed, missing, gone] = ["a", "b", "c"].map((id) => ({ id })) as [
    { readonly id: string },
    { readonly id: string },
    { readonly id: string },
  ];
  let list = [listed, missing, gone];
  const statements = createStatements({ clock, listed: () => list });
  const listLimited = () =>
    [listed, missing, gone].filter((replica) =>
      statements.find(replica, "limit") !== undefined
    );
  for (const replica of list) statements.record(replica, { limit: 2 });
  await clock.advance(HOUR);
  statements.compose(200);
  list = [listed];
  await clock.advance(UNLISTED_EXPIRY - 1);
  statements.compose(200);
  expect(listLimited()).toEqual([listed, missing, gone]);
  list = [listed, missing];
  statements.compose(200);
  await clock.advance(UNLISTED_EXPIRY - 1);
  statements.compose(200);
  expect(listLimited()).toEqual([listed, missing]);
});

// Guards against a peer that goes on to keep a limit because the datagrams that
// told its end were lost.
test("the end of a limit is told again for a time", async () => {
  const clock = createManualClock();
  const [statements, peer] = [
    createStatements({ clock }),
    createStatements({ clock }),
  ];
  const limitOf = () => peer.find(REPLICA, "limit")?.value;
  statements.record(REPLICA, { limit: 2 });
  const news = statements.compose(200) ?? {};
  expect([peer.apply(news), limitOf()]).toEqual([true, 2]);
  await clock.advance(1);
  statements.record(REPLICA, {});
  for (let lost = 0; lost < 5; lost += 1) {
    await clock.advance(2_000);
    expect(statements.compose(200)).not.toEqual(undefined);
  }
  await clock.advance(2_000);
  expect(peer.apply(statements.compose(200) ?? {})).toEqual(true);
  expect(limitOf()).toEqual(undefined);
  expect(peer.findEnd(REPLICA, "limit")).toEqual({
    heardAt: 1,
    since: clock.monotonic(),
  });
  await clock.advance(60_000);
  expect(statements.compose(200)).toEqual(undefined);
});

test("the number of replicas whose statements are kept is bounded", () => {
  const statements = createStatements({ clock: createManualClock() });
  for (let number = 0; number < 2_001; number += 1) {
    statements.record({ id: `i-${number}` }, { limit: 1 });
  }
  expect(statements.find({ id: "i-0" }, "limit")).toEqual(undefined);
  expect(statements.find({ id: "i-1" }, "limit")?.value).toEqual(1);
});

// Guards against DRAIN: nothing is sent to a replica that leaves, so nothing is
// heard of it, and it must not be used again for that.
test("a replica that leaves does so until its end", async () => {
  const clock = createManualClock();
  const [statements, peer] = [
    createStatements({ clock }),
    createStatements({ clock }),
  ];
  const isLeaving = (at = statements, replica = REPLICA) =>
    at.find(replica, "leaving") !== undefined;
  statements.record(REPLICA, { leaving: 1 });
  await clock.advance(100);
  // An answer that was composed before.
  statements.record(REPLICA, {});
  expect(isLeaving()).toEqual(true);
  const news = statements.compose(200);
  expect(peer.apply(news ?? {})).toEqual(true);
  await clock.advance(HOUR);
  statements.compose(200);
  expect([isLeaving(), isLeaving(peer)]).toEqual([true, true]);
  expect(statements.find(REPLICA, "leaving")?.since).toEqual(
    clock.monotonic() - HOUR - 100,
  );
  expect(isLeaving(statements, { id: "a", born: 2 })).toEqual(false);
});

// Guards against news that lay unread while the VM stood still and that replace
// what a replica has said since.
test("news count as old as the time that they waited to be read", async () => {
  const clock = createManualClock(0);
  const [statements, peer] = [
    createStatements({ clock }),
    createStatements({ clock }),
  ];
  await clock.advance(1_000);
  peer.record(REPLICA, { limit: 2 });
  const news = peer.compose(200) ?? {};
  await clock.advance(100);
  statements.record(REPLICA, { limit: 1 });
  await clock.advance(3_000);
  expect(statements.apply(news, 3_100)).toEqual(true);
  expect(statements.find(REPLICA, "limit")?.value).toEqual(1);
});
