import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createPushback } from "./pushback.ts";

const A = { id: "a" };
const B = { id: "b" };

// Guards against requests to a replica within the time that it asked for.
test("a replica wants nothing until its time has passed", async () => {
  const clock = createManualClock();
  const pushback = createPushback({ clock, random: () => 0 });
  pushback.record(A, 1_500);
  expect(pushback.isActive(A)).toEqual(true);
  expect(pushback.isActive(B)).toEqual(false);
  expect(pushback.isAnyActive()).toEqual(true);
  await clock.advance(1_499);
  expect(pushback.isActive(A)).toEqual(true);
  await clock.advance(1);
  expect(pushback.isActive(A)).toEqual(false);
  expect(pushback.isAnyActive()).toEqual(false);
});

// Guards against a shorter time of a later refusal that ends an earlier one, and
// against one log line for each refusal.
test("the latest end counts, and a pushback begins once", async () => {
  const clock = createManualClock();
  const begun: number[] = [];
  const pushback = createPushback({
    clock,
    random: () => 0,
    onBegin: (_, delay) => begun.push(delay),
  });
  pushback.record(A, 2_000);
  pushback.record(A, 500);
  pushback.record(A, 3_000);
  pushback.record(B, 0);
  await clock.advance(2_500);
  expect(pushback.isActive(A)).toEqual(true);
  expect(begun).toEqual([2_000]);
  await clock.advance(500);
  pushback.record(A, 100);
  expect(begun).toEqual([2_000, 100]);
});

test("requests wait for the replica that returns first", async () => {
  const clock = createManualClock();
  const pushback = createPushback({ clock, random: () => 0 });
  expect(pushback.estimateWait([A, B])).toEqual(0);
  pushback.record(A, 2_000);
  expect(pushback.estimateWait([A, B])).toEqual(0);
  expect(pushback.estimateWait([])).toEqual(0);
  pushback.record(B, 800);
  expect(pushback.estimateWait([A, B])).toEqual(800);
  await clock.advance(300);
  expect(pushback.estimateWait([A, B])).toEqual(500);
  expect(pushback.estimateWait([A])).toEqual(1_700);
});

// Guards against daemons that return to a replica in the same instant, and
// against a spread that costs service.
test("daemons return one after another, and none early", () => {
  const clock = createManualClock();
  const waits = [0, 0.5, 0.999].map((draw) => {
    const pushback = createPushback({ clock, random: () => draw });
    pushback.record(A, 2_000);
    return Math.round(pushback.estimateWait([A]));
  });
  expect(waits).toEqual([2_000, 2_100, 2_200]);
  const last = createPushback({ clock, random: () => 1 });
  last.record(A, 60_000);
  expect(last.estimateWait([A])).toEqual(60_500);
});

// Guards against a replica that starts again and is bound by the run before.
test("a new incarnation is not bound", () => {
  const pushback = createPushback({ clock: createManualClock() });
  pushback.record({ id: "a", born: 1 }, 60_000);
  expect(pushback.isActive({ id: "a", born: 1 })).toEqual(true);
  expect(pushback.isActive({ id: "a", born: 2 })).toEqual(false);
});

test("the number of replicas is bounded", () => {
  const pushback = createPushback({ clock: createManualClock() });
  const replicas = Array.from({ length: 2_001 }, (_, index) => ({
    id: `replica-${index}`,
  }));
  for (const replica of replicas) pushback.record(replica, 1_000);
  expect(replicas.filter((one) => pushback.isActive(one)).length)
    .toEqual(2_000);
});
