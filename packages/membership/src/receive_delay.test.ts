import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createReceiveDelay } from "./receive_delay.ts";

function setUp() {
  const clock = createManualClock();
  let turns = 0;
  const delay = createReceiveDelay({ clock, countTurns: () => turns });
  /** A tick after a time, in which the loop turned so often. */
  const tick = async (elapsed: number, count: number) => {
    await clock.advance(elapsed);
    turns += count;
    delay.tick();
  };
  return { delay, tick };
}

// Guards against datagrams of before a standstill that count as new, in the turn
// after it and in the following ones until the buffer has been empty.
test("what is read after a standstill may be as old as the standstill", async () => {
  const { delay, tick } = setUp();
  await tick(100, 5);
  expect(delay.record()).toEqual(0);
  await tick(100, 5);
  await tick(4_000, 1);
  expect(delay.record()).toEqual(4_000);
  for (let count = 1; count < 64; count += 1) delay.record();
  // Two turns read two whole batches, so there may be more.
  await tick(100, 2);
  expect(delay.record()).toEqual(4_100);
  await tick(100, 2);
  expect(delay.record()).toEqual(0);
});

// Guards against ages that grow where much is received or the process is busy.
test("a busy process without a standstill adds nothing", async () => {
  const { delay, tick } = setUp();
  for (let round = 0; round < 100; round += 1) {
    for (let count = 0; count < 60; count += 1) {
      expect(delay.record()).toEqual(0);
    }
    await tick(200, 2);
  }
});
