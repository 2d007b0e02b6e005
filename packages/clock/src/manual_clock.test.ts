import { expect } from "earl";
import { test } from "node:test";
import { createManualClock } from "./manual_clock.ts";

test("sleeps end in the order of their due times", async () => {
  const clock = createManualClock(1_000);
  const woken: number[] = [];
  for (const duration of [30, 10, 20]) {
    clock.sleep(duration).then(() => woken.push(clock.now()));
  }
  await clock.advance(25);
  expect(woken).toEqual([1_010, 1_020]);
  await clock.advance(5);
  expect(woken).toEqual([1_010, 1_020, 1_030]);
});

test("an aborted sleep ends at once", async () => {
  const clock = createManualClock();
  const controller = new AbortController();
  const sleep = clock.sleep(1_000, controller.signal);
  controller.abort();
  await sleep;
  expect(clock.monotonic()).toEqual(0);
});
