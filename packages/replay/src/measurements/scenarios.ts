/**
 * The deployments, policies and scenarios of `npm run measure`. The engine
 * stand-ins run faster than real time, so that a scenario takes only a few
 * seconds on a shared machine.
 */
import { shortenBalancerDelay } from "@peridotvalve/testbed";
import {
  type GenerateOptions,
  generateTrace,
  type Workload,
  WORKLOADS,
} from "../trace/generate.ts";
import type { TraceRequest } from "../trace/trace.ts";

export const POLICIES = [
  "estimate",
  "random",
  "round-robin",
  "least-load",
  "sticky",
] as const;

export type Policy = (typeof POLICIES)[number];

export const SEEDS = [1, 2, 3];

/** An example deployment as it is started for the measurements. */
export interface Setup {
  readonly name: string;
  readonly daemons: readonly string[];
  /** Replicas of the example that are not started, to fit one machine. */
  readonly left: readonly string[];
  /** Replica to which the slow factor of a scenario applies. */
  readonly slowedReplica: string;
}

export const SETUPS: readonly Setup[] = [{
  name: "koiratakki",
  daemons: ["espoo-1", "espoo-2", "vantaa-1", "vaasa-1"],
  left: [],
  slowedReplica: "sizing-llm-espoo-1",
}, {
  name: "albuquerque",
  daemons: ["caruaru-a-1", "caruaru-a-2", "recife-a-1", "fortaleza-a-1"],
  left: ["oficina-llm-caruaru-a-3", "oficina-llm-recife-a-3"],
  slowedReplica: "oficina-llm-caruaru-a-1",
}];

/** The rate at load 1; 5 times this rate overloads the six engines. */
const NOMINAL_REQUESTS_PER_SECOND = 30;
const ENGINE_SPEED_FACTOR = 4;
const SLOW_FACTOR = 6;
const PATIENCE_MILLISECONDS = 2_000;

/** So few that the conversations evict each other's blocks. */
const BLOCKS_PER_ENGINE = 14;
const CONVERSATION_COUNT = 16;

export const ENGINE_ARGUMENTS = [
  ...["--speed", String(ENGINE_SPEED_FACTOR)],
  ...["--blocks", String(BLOCKS_PER_ENGINE)],
];

export interface Scenario {
  readonly name: string;
  /** Request rate as a multiple of the nominal rate. */
  readonly load: number;
  /** Length of the trace in milliseconds. */
  readonly duration: number;
  /** Factor by which one replica is slowed; 1 for normal speed. */
  readonly slowFactor: number;
}

export const SCENARIOS: readonly Scenario[] = [
  { name: "1x", load: 1, duration: 3_000, slowFactor: 1 },
  { name: "2x", load: 2, duration: 2_500, slowFactor: 1 },
  { name: "5x", load: 5, duration: 2_000, slowFactor: 1 },
  { name: "one slowed", load: 0.8, duration: 3_000, slowFactor: SLOW_FACTOR },
];

/**
 * Returns the workload of the deployment, with all chat requests sent to the one
 * model group that is started. Throws when there is no such workload.
 */
export function workloadOf(setup: Setup): Workload {
  const workload = WORKLOADS[setup.name];
  if (workload === undefined) throw new Error(`no workload for ${setup.name}`);
  return { ...workload, shortModel: workload.model };
}

/**
 * Creates the trace of a run. The names of conversations and orders begin with
 * the scenario and the policy, so that no run finds cached blocks or claims of
 * an earlier one.
 */
export function createTrace(
  setup: Setup,
  run: {
    readonly scenario: Scenario;
    readonly seed: number;
    readonly policy: Policy;
  },
): readonly TraceRequest[] {
  const { scenario, seed, policy } = run;
  const options: GenerateOptions = {
    ...{ seed, duration: scenario.duration, patience: PATIENCE_MILLISECONDS },
    rate: NOMINAL_REQUESTS_PER_SECOND * scenario.load,
    conversations: CONVERSATION_COUNT,
  };
  const prefix = `${scenario.name}/${policy}`;
  return generateTrace(workloadOf(setup), options).map((request) =>
    request.kind === "chat"
      ? { ...request, conversation: `${prefix}/${request.conversation}` }
      : request.kind === "order"
      ? { ...request, key: `${prefix}/${request.key}` }
      : request
  );
}

/**
 * Returns a function that edits the deployment's configuration text: it raises
 * the customers' limits and removes the replicas that are not started.
 */
export function editSettings(setup: Setup): (text: string) => string {
  return (text) => {
    const edited = shortenBalancerDelay(text)
      .replace(/concurrency: \d+/g, "concurrency: 1000")
      .replace(/requestsPerSecond: \d+/g, "requestsPerSecond: 1000")
      .replace(/minimumReady: \d+/g, "minimumReady: 1")
      .replace("logLevel: info", "logLevel: debug");
    return setup.left.reduce(
      (rest, name) =>
        rest.replace(new RegExp(` {6}${name}:\n(?: {8}.*\n)+`), ""),
      edited,
    );
  };
}
