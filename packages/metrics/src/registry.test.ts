import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createRegistry } from "./registry.ts";

test("quantiles are accurate to two digits, and old values expire", async () => {
  const clock = createManualClock();
  const registry = createRegistry(clock, { window: 60_000 });
  const waits = registry.histogram("wait_ms", { help: "Wait." });
  for (let value = 1; value <= 1_000; value += 1) waits.record(value);
  const summary = waits.summarize();
  expect(Math.abs(summary.p50 - 500) <= 5).toEqual(true);
  expect(Math.abs(summary.p95 - 950) <= 10).toEqual(true);
  expect(Math.abs(summary.p99 - 990) <= 10).toEqual(true);
  expect([summary.count, summary.sum]).toEqual([1_000, 500_500]);
  await clock.advance(50_000);
  waits.record(2);
  expect(waits.summarize().max > 900).toEqual(true);
  await clock.advance(20_000);
  expect(waits.summarize().max).toEqual(2);
  await clock.advance(60_000);
  expect(waits.summarize().p99).toEqual(0);
  expect(waits.summarize().count).toEqual(1_001);
});

test("the number of series stays within the limit for many label values", () => {
  const registry = createRegistry(createManualClock(), { maxSeries: 10 });
  const calls = registry.counter("calls_total", {
    help: "Calls.",
    labels: ["customer"],
  });
  for (let id = 0; id < 100; id += 1) calls.add(1, { customer: `c${id}` });
  const samples = registry.render().split("\n").filter((line) =>
    line.startsWith("calls_total{")
  );
  expect(samples.length).toEqual(10);
  expect(calls.value({ customer: "c0" })).toEqual(1);
  expect(calls.value({ customer: "other" })).toEqual(91);
});

test("the text format escapes labels and has type, quantiles and sum", () => {
  const registry = createRegistry(createManualClock());
  registry.gauge("queue", { help: "a\nb", labels: ["route"] })
    .set(2, { route: 'x"\\\n' });
  registry.histogram("wait_ms", { help: "Wait." }).record(0.25);
  const text = registry.render();
  expect(text.includes("# HELP queue a\\nb\n# TYPE queue gauge\n")).toEqual(
    true,
  );
  expect(text.includes('queue{route="x\\"\\\\\\n"} 2\n')).toEqual(true);
  expect(text.includes('wait_ms{quantile="0.95"} 0.25\n')).toEqual(true);
  expect(text.includes("wait_ms_sum 0.25\nwait_ms_count 1\n")).toEqual(true);
});

// Guards against short times that a page in seconds shows as 0.
test("values recorded in ms are shown in seconds", () => {
  const registry = createRegistry(createManualClock());
  const waits = registry.histogram("wait_s", { help: "Wait.", unit: 1_000 });
  for (const value of [0.25, 0.25, 1.5]) waits.record(value);
  const text = registry.render();
  expect(text).toInclude('wait_s{quantile="0.5"} 0.00025\n');
  expect(text).toInclude("wait_s_sum 0.002\nwait_s_count 3\n");
  expect(text).toInclude("wait_s_max 0.0015\n");
});

test("counters and histograms ignore invalid values", () => {
  const registry = createRegistry(createManualClock());
  const calls = registry.counter("calls_total", { help: "Calls." });
  calls.add(-1);
  calls.add(Number.NaN);
  expect(calls.value()).toEqual(0);
  const waits = registry.histogram("wait_ms", { help: "Wait." });
  for (const value of [-1, Number.NaN, Infinity]) waits.record(value);
  expect(waits.summarize().count).toEqual(0);
  // The histogram library throws on values above its range.
  waits.record(1e300);
  expect(waits.summarize().count).toEqual(1);
  expect(() => registry.gauge("wait_ms", { help: "" })).toThrow();
});
