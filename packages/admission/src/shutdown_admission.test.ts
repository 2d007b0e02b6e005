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
  const long = {
    duration: 5_000,
    deadline: now + 60_000,
    isRepeatable: true,
  };
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
  const work = {
    duration: 9_000,
    deadline: now + 4_000,
    isRepeatable: false,
  };
  expect(shutdown.admits(work)).toEqual(true);
});

// Guards against LOST: an order that takes longer than those before it is cut by
// the exit of the process and may not be sent again.
test("a request that cannot be repeated must end before the exit", () => {
  const clock = createManualClock();
  const shutdown = createShutdownAdmission(clock);
  const now = clock.monotonic();
  const order = { duration: 20, deadline: now + 4_001, isRepeatable: false };
  expect(shutdown.admits(order)).toEqual(true);
  shutdown.begin(now + 4_000);
  expect(shutdown.admits(order)).toEqual(false);
  expect(shutdown.admits({ ...order, isRepeatable: true })).toEqual(true);
  expect(shutdown.admits({ ...order, deadline: now + 4_000 })).toEqual(true);
});
