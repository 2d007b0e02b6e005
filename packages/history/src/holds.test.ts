/**
 * Checks the guarantees on real processes with all mechanisms in place, in the
 * directed scenarios and in a seeded schedule of faults under load.
 */
import { expect } from "earl";
import { test } from "node:test";
import { checkHistory } from "./checks/mod.ts";
import type { History } from "./history.ts";
import { runScenario, runSchedule } from "./run.ts";
import {
  type Scenario,
  type ScenarioName,
  SCENARIOS,
} from "./scenario_table.ts";

const SCHEDULE_SEED = 48;
const SCHEDULE_MILLISECONDS = 8_000;
const CALLERS = 6;

/** Guards against a run without violations because almost every call failed. */
const MIN_SUCCESSES = 50;

async function findViolations(name: ScenarioName) {
  const scenario: Scenario = SCENARIOS[name];
  const options = { seed: 1, ...scenario.options };
  return describeViolations(await runScenario(options, scenario.run));
}

/** Formats violations as lines that a failed assertion shows. */
function describeViolations(history: History): readonly string[] {
  return checkHistory(history)
    .map(({ rule, message }) => `${rule}: ${message}`);
}

function countSuccesses({ calls }: History): number {
  return calls.filter(({ outcome }) =>
    outcome?.type === "answered" && outcome.status < 300
  ).length;
}

test("the directed scenarios of orders and streams break no rule", async () => {
  const history = await runScenario({ seed: 1 }, async (context) => {
    await SCENARIOS["repeated orders"].run(context);
    await SCENARIOS["forged orders"].run(context);
    await SCENARIOS["lost service answers"].run(context);
    await SCENARIOS["crossed streams"].run(context);
  });
  expect(describeViolations(history)).toEqual([]);
});

test("a leaving engine of another zone gets no late work", async () => {
  const violations = await findViolations("leaving engine of another zone");
  expect(violations).toEqual([]);
});

test("the directed scenarios of operators break no rule", async () => {
  const history = await runScenario({ seed: 1 }, async (context) => {
    await SCENARIOS["raced changes"].run(context);
    await SCENARIOS["restart in an outage"].run(context);
  });
  expect(describeViolations(history)).toEqual([]);
});

// This schedule pauses daemons only while no engine is leaving; the test below
// covers both at once.
test("faults of every process under load break no rule", async () => {
  const history = await runSchedule({
    seed: SCHEDULE_SEED,
    length: SCHEDULE_MILLISECONDS,
    callers: CALLERS,
  });
  expect(describeViolations(history)).toEqual([]);
  expect(countSuccesses(history)).toBeGreaterThan(MIN_SUCCESSES);
});

test("a daemon that resumes sends no work to an engine that left", async () => {
  const violations = await findViolations("leaving engine during a pause");
  expect(violations).toEqual([]);
});
