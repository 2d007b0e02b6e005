import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import parsePrometheus from "parse-prometheus-text-format";
import { classifyReason, createMeters, type Readings } from "./meters.ts";

const READINGS: Readings = {
  inFlight: 3,
  peers: 7,
  stateVersion: 12,
  stateAge: 900,
  listAge: Infinity,
  waiting: 2,
  replicas: [
    { service: "llm", state: "ready", weights: "m@1" },
    { service: "llm", state: "ready", weights: "m@1" },
    { service: "llm", state: "leaving", weights: "m@2" },
  ],
  retriesLeft: new Map([["llm", 4]]),
};

function setUp() {
  const clock = createManualClock();
  let readings = READINGS;
  const meters = createMeters(clock, () => readings);
  const read = (name: string) =>
    parsePrometheus(meters.render()).find((family) => family.name === name)
      ?.metrics.map(({ labels = {}, value }) =>
        [...Object.values(labels), value] as readonly unknown[]
      ) ?? [];
  const change = (next: Partial<Readings>) =>
    readings = { ...readings, ...next };
  return { clock, meters, read, change };
}

// Guards against a page that a collector cannot parse, and against metrics that
// are documented for operators but never set.
test("a collector reads requests, attempts and retries", () => {
  const { meters, read } = setUp();
  meters.recordRequest({
    route: 'advice "large"',
    outcome: "answered",
    reason: "200",
    firstEvent: 120,
    maxEventGap: 40,
  });
  meters.recordRequest({
    route: "orders",
    outcome: "lost",
    reason: "connect ECONNREFUSED 10.1.2.3:8080",
  });
  meters.recordAttempt("llm", "answered");
  meters.recordRetry("llm");
  meters.recordStoreCall("feed", "200");
  meters.recordWait("advice", 15);
  meters.recordStages("advice", { body: 120, failed: 0 });
  expect(read("peridotvalve_requests_total")).toEqual([
    ['advice "large"', "answered", "200", "1"],
    ["orders", "lost", "connection", "1"],
  ]);
  expect(read("peridotvalve_attempts_total")).toEqual([
    ["llm", "answered", "1"],
  ]);
  expect(read("peridotvalve_retries_total")).toEqual([["llm", "1"]]);
  expect(read("peridotvalve_retries_left")).toEqual([["llm", "4"]]);
  expect(read("peridotvalve_store_calls_total")).toEqual([[
    "feed",
    "200",
    "1",
  ]]);
  const page = meters.render();
  const summaries = parsePrometheus(page)
    .filter(({ type }) => type === "SUMMARY")
    .map(({ name, metrics }) => [name, metrics[0]?.quantiles?.["0.5"]]);
  expect(summaries).toEqual([
    ["peridotvalve_first_event_ms", "120"],
    ["peridotvalve_longest_pause_ms", "40"],
    ["peridotvalve_queue_wait_ms", "15"],
    ["peridotvalve_stage_seconds", "0.12"],
    ["peridotvalve_event_loop_delay_ms", undefined],
  ]);
  // The parser reads the counts of summaries without labels only.
  expect(page).toInclude(
    'peridotvalve_queue_wait_ms_count{route="advice"} 1\n',
  );
  expect(page).toInclude('_seconds_sum{route="advice",stage="body"} 0.12\n');
  expect(page).not.toInclude('stage="failed"');
});

// Guards against stale series of replicas that have left.
test("replicas are rendered in their present state", () => {
  const { read, change } = setUp();
  expect(read("peridotvalve_replicas")).toEqual([
    ["llm", "ready", "m@1", "2"],
    ["llm", "leaving", "m@2", "1"],
  ]);
  change({ replicas: READINGS.replicas.slice(2), stateAge: 1_500 });
  expect(read("peridotvalve_replicas")).toEqual([
    ["llm", "leaving", "m@2", "1"],
  ]);
  expect(read("peridotvalve_state_age_ms")).toEqual([["1500"]]);
  // A list that was never read has the maximum age instead of none.
  expect(read("peridotvalve_list_age_ms")).toEqual([["1000000000"]]);
});

// Guards against an unbounded number of series, because reasons contain
// addresses.
test("reasons map to few labels", () => {
  expect([
    "",
    "200",
    "silent, no retries left",
    "replica refused with 503, too many wait",
    "replica refused with 421",
    "replica answered 500",
    "other side closed",
    "connect ETIMEDOUT 10.0.0.1:80",
  ].map(classifyReason)).toEqual([
    "",
    "200",
    "retry budget",
    "too many wait",
    "replica refused",
    "replica failed",
    "connection",
    "connection",
  ]);
});

test("timers that run late are sampled", async () => {
  const { clock, meters } = setUp();
  const controller = new AbortController();
  const watching = meters.watchEventLoop(controller.signal);
  await clock.advance(500);
  await clock.advance(2_000);
  controller.abort();
  await watching;
  const page = parsePrometheus(meters.render());
  const delay = page.find(({ name }) =>
    name === "peridotvalve_event_loop_delay_ms"
  );
  expect(Number(delay?.metrics[0]?.count)).toBeGreaterThanOrEqual(2);
});

// Guards against series of a feature that is off.
test("forecasts are rendered once prompts are placed by time", () => {
  const { meters } = setUp();
  expect(meters.render().includes("prefill_ahead")).toEqual(false);
  const forecast = { firstEvent: 900, isInTarget: false, cost: 1_000 };
  meters.recordForecast("advice", { ...forecast, ahead: 120 });
  const page = meters.render();
  expect(page).toInclude(
    'peridotvalve_prompts_placed_total{route="advice",expected="late"} 1\n',
  );
  expect(page).toInclude(
    'peridotvalve_prefill_ahead_ms_count{route="advice"} 1\n',
  );
});
