import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { createWindowBudget } from "./window_budget.ts";

const RATIO = 0.2;
const WINDOW = 10_000;

function createBudget(clock = createManualClock(), allowance = 2) {
  const budget = createWindowBudget({
    clock,
    ratio: () => RATIO,
    window: WINDOW,
    allowance: () => allowance,
  });
  const takeAll = () => {
    let taken = 0;
    while (budget.tryTake("s")) taken += 1;
    return taken;
  };
  return { clock, budget, takeAll };
}

// Guards against retries that multiply the load of a service during its outage.
test("retries stay within a share of the requests", () => {
  const { budget, takeAll } = createBudget();
  for (let count = 0; count < 1_000; count += 1) budget.recordFirstAttempt("s");
  const taken = takeAll();
  expect(taken <= 1_000 * RATIO + 2).toEqual(true);
  expect(taken > 100).toEqual(true);
});

test("the limit holds in every sliding window", async () => {
  const { clock, budget, takeAll } = createBudget();
  let inWindow: readonly (readonly [at: number, taken: number])[] = [];
  for (let second = 0; second < 40; second += 1) {
    for (let count = 0; count < 20; count += 1) budget.recordFirstAttempt("s");
    const entry = [second, takeAll()] as const;
    inWindow = [...inWindow, entry].filter(([at]) => second - at < 10);
    const sum = inWindow.reduce((total, [, taken]) => total + taken, 0);
    expect(sum <= 20 * 10 * RATIO + 2).toEqual(true);
    await clock.advance(1_000);
  }
});

test("each service has its own budget", () => {
  const { budget, takeAll } = createBudget();
  takeAll();
  expect(budget.left("s")).toEqual(0);
  expect(budget.tryTake("other")).toEqual(true);
});
