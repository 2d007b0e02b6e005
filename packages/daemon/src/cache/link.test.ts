import { createManualClock } from "@peridotvalve/clock";
import { createLinkBudget } from "@peridotvalve/routing";
import { expect } from "earl";
import { test } from "node:test";
import { recordLinkUse } from "./link.ts";

const RATE = 100_000;

function setUp(used: number) {
  const recorded: number[] = [];
  const refused: number[] = [];
  const budget = createLinkBudget({
    clock: createManualClock(),
    bytesPerSecond: () => RATE,
    liveDaemons: () => 1,
    shareOf: () => 1,
  });
  const link = recordLinkUse(budget, {
    record: (_customer, bytes) => recorded.push(bytes),
    onRefused: (_customer, bytes) => refused.push(bytes),
    used: () => used,
  });
  return { link, recorded, refused };
}

test("only granted bytes are recorded as used", () => {
  const { link, recorded, refused } = setUp(0);
  expect(link.reserve("kennel", 60_000)).toEqual(true);
  expect(link.reserve("kennel", 60_000)).toEqual(false);
  expect(recorded).toEqual([60_000]);
  expect(refused).toEqual([60_000]);
});

test("estimates use the rate left by other availability zones", () => {
  // With the full rate, transfers over a busy link would appear cheap.
  expect(setUp(0).link.bytesPerSecond("kennel")).toEqual(RATE);
  expect(setUp(0.7 * RATE).link.bytesPerSecond("kennel")).toEqual(0.3 * RATE);
  expect(setUp(2 * RATE).link.bytesPerSecond("kennel")).toEqual(0.1 * RATE);
});
