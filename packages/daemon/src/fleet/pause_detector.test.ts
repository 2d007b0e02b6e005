import { type Clock, createManualClock } from "@peridotvalve/clock";
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

// Guards against work for a replica that began to leave during a suspension of
// the VM: the monotonic clock stops then, and nothing looked like a pause.
test("a suspension of the VM is a pause", async () => {
  const manual = createManualClock(1_000_000);
  let suspended = 0;
  const clock: Clock = {
    now: () => manual.now() + suspended,
    monotonic: () => manual.monotonic(),
    sleep: (...wait) => manual.sleep(...wait),
  };
  const watch = createPauseDetector(clock);
  await manual.advance(500);
  expect(watch.resumedAt()).toEqual(0);
  suspended = 5_000;
  await manual.advance(10);
  expect(watch.resumedAt()).toEqual(clock.monotonic());
  await manual.advance(900);
  expect(watch.resumedAt()).toEqual(510);
});
