/**
 * The directed scenarios by name, each with the mechanism that it exercises and
 * the rule that is violated when the mechanism is removed.
 */
import type { RunOptions } from "./run.ts";
import type { RunContext } from "./run_context.ts";
import * as scenarios from "./scenarios.ts";
import type { Mechanism } from "./weakened_build.ts";

export interface Scenario {
  readonly run: (context: RunContext) => Promise<void>;
  readonly without: Mechanism;
  readonly rule: string;
  readonly options?: Partial<RunOptions>;
}

const TWO_DAEMONS = ["north-1", "south-1"];

export const SCENARIOS = {
  "repeated orders": {
    run: scenarios.repeatOrders,
    without: "claims",
    rule: "an order runs at most once",
  },
  "forged orders": {
    run: scenarios.forgeOrders,
    without: "claim customers",
    rule: "a customer sees only its own order numbers",
  },
  "lost service answers": {
    run: scenarios.loseServiceResponses,
    without: "refusals",
    rule: 'a refusal with ran: "no" is true',
  },
  "crossed streams": {
    run: scenarios.crossStreams,
    without: "offset checks",
    rule: "a completion has the tokens of its own answer in order",
  },
  "leaving engine": {
    run: scenarios.drainEngineUnderLoad,
    without: "leaving marks",
    rule: "a leaving upstream gets no new work after 3 s",
  },
  "leaving engine of another zone": {
    run: scenarios.drainEngineOfOtherZone,
    without: "leaving marks",
    rule: "a leaving upstream gets no new work after 3 s",
  },
  "leaving engine during a pause": {
    run: scenarios.pauseDaemonDuringDrain,
    without: "leaving marks",
    rule: "a leaving upstream gets no new work after 3 s",
  },
  "planned stop": {
    run: scenarios.stopDaemon,
    without: "graceful shutdown",
    rule: "a planned stop cuts off no request",
  },
  "spread change": {
    run: scenarios.propagateChange,
    without: "configuration propagation",
    rule: "an accepted configuration is in force everywhere within 5 s",
  },
  "restart in an outage": {
    run: scenarios.restartDuringOutage,
    without: "start from peers",
    rule: "versions at a daemon never fall",
  },
  "raced changes": {
    run: scenarios.raceConfigurationChanges,
    without: "transaction checks",
    rule: "operators who raced from one version never both win",
    options: { daemons: TWO_DAEMONS },
  },
} satisfies Readonly<Record<string, Scenario>>;

export type ScenarioName = keyof typeof SCENARIOS;

export function isScenario(name: string): name is ScenarioName {
  return name in SCENARIOS;
}
