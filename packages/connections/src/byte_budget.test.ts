import { expect } from "earl";
import { test } from "node:test";
import { createByteBudget } from "./byte_budget.ts";

test("a budget refuses what exceeds it, until bytes are given back", () => {
  const budget = createByteBudget(10);
  expect(budget.tryTake(6)).toEqual(true);
  expect(budget.tryTake(5)).toEqual(false);
  expect(budget.tryTake(4)).toEqual(true);
  expect(budget.tryTake(1)).toEqual(false);
  budget.giveBack(6);
  expect(budget.tryTake(6)).toEqual(true);
});
