/**
 * Runs scenarios against daemons without one mechanism and expects a violation.
 * Guards against checks that pass whatever the daemons do.
 */
import { expect } from "earl";
import { test } from "node:test";
import { checkHistory } from "./checks/mod.ts";
import { runScenario } from "./run.ts";
import {
  type Scenario,
  type ScenarioName,
  SCENARIOS,
} from "./scenario_table.ts";
import type { Mechanism } from "./weakened_build.ts";

const SEED = 1;

/** Returns the rules that a scenario violates without a mechanism. */
async function findBrokenRules(
  name: ScenarioName,
  without: Mechanism = SCENARIOS[name].without,
): Promise<readonly string[]> {
  const scenario: Scenario = SCENARIOS[name];
  const options = { seed: SEED, ...scenario.options, without };
  const history = await runScenario(options, scenario.run);
  return [...new Set(checkHistory(history).map(({ rule }) => rule))];
}

test("repeated orders run twice without the claim's check", async () => {
  const rules = await findBrokenRules("repeated orders");
  expect(rules).toInclude("an order runs at most once");
});

test("two operators win when the platform ignores checks", async () => {
  const rules = await findBrokenRules("raced changes");
  expect(rules).toInclude(
    "operators who raced from one version never both win",
  );
});

test("a caller gets wrong tokens without the offset checks", async () => {
  const rules = await findBrokenRules("crossed streams");
  expect(rules).toInclude(
    "a completion has the tokens of its own answer in order",
  );
});

test("a customer gets another's order without customers in claim keys", async () => {
  const rules = await findBrokenRules("forged orders");
  expect(rules).toInclude("a customer sees only its own order numbers");
});

test("a stop cuts off requests without the graceful shutdown", async () => {
  const rules = await findBrokenRules("planned stop");
  expect(rules).toInclude("a planned stop cuts off no request");
});
