import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createAnswerTimes } from "./answer_times.ts";
import type { DispatchRequest } from "./dispatch_request.ts";

const ROUTE: DispatchRequest["route"] = {
  name: "advice",
  host: "shop.example",
  prefix: "/advice/",
  kind: "stream",
  isResumable: true,
  isPublic: false,
  targets: [{ service: "llm", weight: 1 }],
  timeout: 15_000,
  latencyTarget: 500,
  eventGapTarget: 250,
  priority: 1,
  maxExecutions: 2,
};

const CALL: DispatchRequest = {
  id: "r",
  route: ROUTE,
  service: "shop",
  arrivedAt: 0,
  deadline: 15_000,
};

function promptOf(outputTokens: number): DispatchRequest {
  const prompt = { model: "m", promptTokens: 900, outputTokens, parts: [] };
  return { ...CALL, service: "llm", prompt };
}

// Guards against an estimate that ignores the size of the answer or how slow
// the engines are, so that a shutdown takes streams that it has to cut.
test("an answer is estimated from its tokens and the slowest samples", () => {
  const times = createAnswerTimes(createManualClock());
  expect(times.estimate(promptOf(101))).toEqual(6_000);
  for (let sample = 0; sample < 90; sample += 1) {
    times.record(promptOf(51), 1_000);
  }
  for (let sample = 0; sample < 10; sample += 1) {
    times.record(promptOf(51), 5_000);
  }
  expect(times.estimate(promptOf(101))).toEqual(10_000);
  expect(times.estimate(promptOf(1))).toEqual(100);
});

// Guards against times of model answers that count for plain services.
test("a plain call is estimated from calls of its service", () => {
  const times = createAnswerTimes(createManualClock());
  expect(times.estimate(CALL)).toEqual(2_000);
  for (let sample = 0; sample < 30; sample += 1) times.record(CALL, 40);
  expect(times.estimate(CALL)).toEqual(40);
});
