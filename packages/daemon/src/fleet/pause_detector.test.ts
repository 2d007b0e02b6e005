import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createPauseDetector } from "./pause_detector.ts";

// After a pause, other code may run before the timer that checks for pauses.
test("resumedAt detects a pause before the timer runs", async () => {
  const clock = createManualClock();
  const watch = createPauseDetector(clock);
  const startedAt = clock.monotonic();
  const controller = new AbortController();
  const running = watch.run(controller.signal);
  for (let step = 0; step < 20; step += 1) await clock.advance(250);
  expect(watch.resumedAt()).toEqual(startedAt);
  controller.abort();
  await running;
  await clock.advance(5_000);
  expect(watch.resumedAt()).toEqual(clock.monotonic());
});
