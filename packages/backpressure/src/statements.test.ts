import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createStatements, STATEMENT_EXPIRY } from "./statements.ts";

const REPLICA = { id: "a", born: 1 };

// Guards against a limit that outlives the replica's word: it must end with the
// first answer without it, with a new incarnation, and when nothing is heard.
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
  await clock.advance(STATEMENT_EXPIRY - 1);
  expect(limitOf()).toEqual(0);
  await clock.advance(1);
  expect(limitOf()).toEqual(undefined);
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
  await clock.advance(10 * STATEMENT_EXPIRY);
  statements.compose(200);
  expect([isLeaving(), isLeaving(peer)]).toEqual([true, true]);
  expect(statements.find(REPLICA, "leaving")?.since).toEqual(
    clock.monotonic() - 10 * STATEMENT_EXPIRY - 100,
  );
  expect(isLeaving(statements, { id: "a", born: 2 })).toEqual(false);
});
