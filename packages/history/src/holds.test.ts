/**
 * The guarantees on real processes with all mechanisms in place: the directed
 * scenarios, and a seeded schedule of faults under load.
 */
import { expect } from "earl";
import { test } from "node:test";
import { checkHistory } from "./checks/mod.ts";
import type { History } from "./history.ts";
import { runScenario, runSchedule } from "./run.ts";
import { type Scenario, type ScenarioName, SCENARIOS } from "./table.ts";

const SCHEDULE_SEED = 48;
const SCHEDULE_MILLISECONDS = 8_000;
const CALLERS = 6;

/** A run in which hardly anything happened would prove nothing. */
const LEAST_SUCCESSES = 50;

async function findViolations(name: ScenarioName) {
  const scenario: Scenario = SCENARIOS[name];
  const options = { seed: 1, ...scenario.options };
  return describe(await runScenario(options, scenario.run));
}

/** One line for each broken rule, which the report of a failure shows. */
function describe(history: History): readonly string[] {
  return checkHistory(history)
    .map(({ rule, message }) => `${rule}: ${message}`);
}

function countSuccesses({ calls }: History): number {
  return calls.filter(({ outcome }) =>
    outcome?.type === "answered" && outcome.status < 300
  ).length;
}

test("the directed scenarios of orders and streams break no rule", async () => {
  const history = await runScenario({ seed: 1 }, async (world) => {
    await SCENARIOS["repeated orders"].run(world);
    await SCENARIOS["forged orders"].run(world);
    await SCENARIOS["lost service answers"].run(world);
    await SCENARIOS["crossed streams"].run(world);
  });
  expect(describe(history)).toEqual([]);
});

test("a leaving engine of another zone gets no late work", async () => {
  const violations = await findViolations("leaving engine of another zone");
  expect(violations).toEqual([]);
});

test("the directed scenarios of operators break no rule", async () => {
  const history = await runScenario({ seed: 1 }, async (world) => {
    await SCENARIOS["raced changes"].run(world);
    await SCENARIOS["restart in an outage"].run(world);
  });
  expect(describe(history)).toEqual([]);
});

// Its daemons are paused while no engine leaves; the test below has both.
test("faults of every process under load break no rule", async () => {
  const history = await runSchedule({
    seed: SCHEDULE_SEED,
    length: SCHEDULE_MILLISECONDS,
    callers: CALLERS,
  });
  expect(describe(history)).toEqual([]);
  expect(countSuccesses(history)).toBeGreaterThan(LEAST_SUCCESSES);
});

test("a daemon that resumes sends no work to an engine that left", async () => {
  const violations = await findViolations("leaving engine during a pause");
  expect(violations).toEqual([]);
});
