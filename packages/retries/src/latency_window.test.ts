import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createLatencyWindow } from "./latency_window.ts";

// Guards against quantiles of values that have left the window, or that lack
// those of the period before.
test("quantiles cover the present period and the one before", async () => {
  const clock = createManualClock();
  const window = createLatencyWindow({ clock, rotationPeriod: 1_000 });
  const record = (latency: number) => {
    for (let count = 0; count < 20; count += 1) window.record(latency);
  };
  expect(window.quantile(0.5)).toEqual(undefined);
  record(10);
  expect(window.quantile(1)).toEqual(10);
  await clock.advance(1_000);
  record(20);
  expect([window.quantile(0.5), window.quantile(1)]).toEqual([10, 20]);
  await clock.advance(1_000);
  record(30);
  expect([window.quantile(0.5), window.quantile(1)]).toEqual([20, 30]);
  await clock.advance(2_000);
  expect(window.quantile(0.5)).toEqual(undefined);
  record(5);
  expect(window.quantile(1)).toEqual(5);
});
