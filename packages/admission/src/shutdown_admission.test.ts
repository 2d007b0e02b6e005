import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createShutdownAdmission } from "./shutdown_admission.ts";

// Guards against a request that is taken during a shutdown and cut by the exit
// of the process, and against refusing one that would have been complete.
test("only requests that end before the exit are admitted", async () => {
  const clock = createManualClock();
  const shutdown = createShutdownAdmission(clock);
  const now = clock.monotonic();
  const long = { duration: 5_000, deadline: now + 60_000 };
  expect(shutdown.admits(long)).toEqual(true);
  shutdown.begin(now + 4_000);
  expect(shutdown.admits(long)).toEqual(false);
  expect(shutdown.admits({ ...long, duration: 4_000 })).toEqual(true);
  await clock.advance(1);
  expect(shutdown.admits({ ...long, duration: 4_000 })).toEqual(false);
});

// A request whose deadline passes before the exit is answered in any case.
test("a request with a near deadline is admitted, however long", () => {
  const clock = createManualClock();
  const shutdown = createShutdownAdmission(clock);
  const now = clock.monotonic();
  shutdown.begin(now + 4_000);
  const work = { duration: 9_000, deadline: now + 4_000 };
  expect(shutdown.admits(work)).toEqual(true);
});
