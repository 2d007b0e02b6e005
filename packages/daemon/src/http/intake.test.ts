import { createSystemClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createIntake } from "./intake.ts";

/** An intake with the least memory, 32 MB. */
function setUp(t: TestContext) {
  const intake = createIntake({
    clock: createSystemClock(),
    log: () => {},
    vm: { memory: 1e8, descriptors: 300 },
  });
  t.after(() => intake.close());
  return intake;
}

// Guards against a request that is refused in calm because bodies of earlier
// requests are not collected yet.
test("work waits for memory that is given back soon", async (t) => {
  const { memory, takeForWork } = setUp(t);
  memory.tryTake(30_000_000);
  const work = takeForWork(20_000_000);
  await sleep(50);
  memory.giveBack(30_000_000);
  const taken = (await work).unwrap();
  expect(memory.taken()).toEqual(20_000_000);
  taken.release();
  expect(memory.taken()).toEqual(0);
});

// Guards against refusals that do not promise that nothing has run.
test("work without memory is refused and says when to repeat", async (t) => {
  const { memory, takeForWork } = setUp(t);
  memory.tryTake(30_000_000);
  const { code, ran, retryAfter = 0 } = (await takeForWork(20_000_000))
    .unwrapErr();
  expect({ code, ran }).toEqual({ code: "daemon_busy", ran: "no" });
  expect(retryAfter >= 1_000 && retryAfter <= 2_000).toEqual(true);
  expect(memory.taken()).toEqual(30_000_000);
});

// Guards against long work that keeps out short requests.
test("long work leaves a part of the memory to short work", async (t) => {
  const { memory, takeForWork } = setUp(t);
  memory.tryTake(10_000_000);
  expect((await takeForWork(20_000_000)).isErr()).toEqual(true);
  expect((await takeForWork(20_000)).isOk()).toEqual(true);
});
