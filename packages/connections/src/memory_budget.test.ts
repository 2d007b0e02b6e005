import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createMemoryBudget } from "./memory_budget.ts";

const LENGTH = 1_000_000;

/** Gives back a buffer to which nothing refers when this returns. */
function drop(budget: ReturnType<typeof createMemoryBudget>): void {
  budget.giveBackCollected(Buffer.allocUnsafeSlow(LENGTH), LENGTH);
}

// Guards against a budget that counts memory as free while V8 still holds it, and
// that refuses for good what only a collection would make room for.
test("a dropped buffer counts until the budget has collected it", async () => {
  const budget = createMemoryBudget({
    ...{ clock: createManualClock(), limit: 1.5 * LENGTH },
  });
  budget.tryTake(LENGTH);
  drop(budget);
  expect(budget.taken()).toEqual(LENGTH);
  const freed = new Promise<void>((resolve) => budget.onRoom(resolve));
  // The present call may keep the buffer alive.
  await sleep(1);
  expect(budget.tryTake(LENGTH)).toEqual(false);
  // The timer of the budget does not keep the process alive.
  const alive = setInterval(() => {}, 1_000);
  await freed;
  clearInterval(alive);
  expect(budget.tryTake(LENGTH)).toEqual(true);
});

// Guards against pieces of uploads that fill the memory between two collections
// of V8, and against a collection for each of them.
test("pieces are collected after half of the limit", () => {
  let collections = 0;
  const budget = createMemoryBudget({
    clock: createManualClock(),
    limit: 10 * LENGTH,
    collect: () => collections += 1,
  });
  for (let at = 0; at < 11; at += 1) budget.recordPiece(LENGTH);
  expect(collections).toEqual(2);
});
