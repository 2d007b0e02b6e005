import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createPauseDetector } from "./pause_watch.ts";

// Guards against a pause that is seen only by a timer that runs too late.
test("a pause is noticed by whoever asks first", async () => {
  const clock = createManualClock();
  const watch = createPauseDetector(clock);
  const controller = new AbortController();
  const running = watch.run(controller.signal);
  for (let step = 0; step < 20; step += 1) await clock.advance(250);
  expect(watch.resumedAt()).toEqual(-Infinity);
  controller.abort();
  await running;
  await clock.advance(5_000);
  expect(watch.resumedAt()).toEqual(clock.monotonic());
});
