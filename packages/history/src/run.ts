/**
 * Starts a deployment, runs a scenario or a seeded fault schedule on it and
 * returns the recorded history.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "@peridotvalve/types";
import {
  type Deployment,
  type DeploymentOptions,
  startDeployment,
} from "@peridotvalve/testbed";
import {
  injectFault,
  type PlannedFault,
  recordEngine,
  recordService,
} from "./faults.ts";
import { type History, joinHistory } from "./history.ts";
import {
  observe,
  observeUntilAborted,
  recordConfiguration,
} from "./operators.ts";
import { createRecorder } from "./recorder.ts";
import { type Relay, startRelay } from "./relay.ts";
import { createAgent, type RunContext } from "./run_context.ts";
import { planFaults, type Targets } from "./schedule.ts";
import {
  buildDaemon,
  type Mechanism,
  TRANSACTION_CHECKS,
} from "./weakened_build.ts";
import { runWorkload } from "./workload.ts";

const DEPLOYMENT_FOLDER = fileURLToPath(
  new URL("../deployment", import.meta.url),
);
const MODEL_GROUP = "advice";
const DAEMONS = ["north-1", "north-2", "south-1"];

/** Daemons that reach the platform through a relay; never the first daemon. */
const RELAYED_DAEMONS = ["south-1"];

/** Wait after the last call, so that late effects are recorded too. */
const SETTLING_TIME: Milliseconds = 2_000;

const START_ATTEMPTS = 3;

export interface RunOptions {
  readonly seed: number;
  /** Mechanism to remove from the build of the daemons. */
  readonly without?: Mechanism;
  /** File to which the history is written as JSON lines. */
  readonly file?: string;
  readonly daemons?: readonly string[];
  /** Whether to poll configuration versions during the run; true by default. */
  readonly observes?: boolean;
}

/**
 * Runs a scenario on a new deployment and returns its history. Throws when the
 * deployment cannot be started or the scenario fails.
 */
export async function runScenario(
  options: RunOptions,
  scenario: (context: RunContext) => Promise<void>,
): Promise<History> {
  const program = await buildDaemon(options.without);
  const relays = new Map<string, Relay>();
  for (const name of RELAYED_DAEMONS) relays.set(name, await startRelay());
  const daemons = options.daemons ?? DAEMONS;
  const deployment = await startWithRetries({
    example: DEPLOYMENT_FOLDER,
    daemons,
    seed: options.seed,
    binary: program,
    edit: (text, file) => redirectPlatformAddress(text, file, relays),
  });
  const recorder = createRecorder(options.file);
  const context: RunContext = {
    deployment,
    recorder,
    agent: createAgent(),
    daemons,
    withdrawn: new Set(),
    relays,
  };
  const group = deployment.configuration.groups[MODEL_GROUP];
  recorder.add({
    kind: "setup",
    tokensPerBlock: group?.tokensPerBlock ?? 0,
    weights: group === undefined ? [] : [group.weights],
  });
  const abortController = new AbortController();
  const observers = options.observes === false
    ? []
    : daemons.map((name) =>
      observeUntilAborted(context, name, abortController.signal)
    );
  try {
    if (options.without === TRANSACTION_CHECKS) {
      await deployment.setFaults("platform", { ignoreChecks: true });
    }
    await scenario(context);
    await sleep(SETTLING_TIME);
    await recordFinalState(context);
  } finally {
    abortController.abort();
    await Promise.all(observers);
    await deployment.stop();
    for (const relay of relays.values()) await relay.close();
    await context.agent.destroy();
  }
  return joinHistory(recorder.entries());
}

/** Retries, because another deployment may take a port before this one binds it. */
async function startWithRetries(
  options: DeploymentOptions,
): Promise<Deployment> {
  for (let attempt = 1;; attempt += 1) {
    try {
      return await startDeployment(options);
    } catch (error) {
      if (attempt === START_ATTEMPTS) throw error;
    }
  }
}

function redirectPlatformAddress(
  text: string,
  file: string,
  relays: ReadonlyMap<string, Relay>,
): string {
  for (const [name, relay] of relays) {
    if (!file.endsWith(join("settings", `${name}.yaml`))) continue;
    return text.replace(/^platform: (\S+)$/m, (_, address: string) => {
      relay.setTarget(address);
      return `platform: ${relay.address}`;
    });
  }
  return text;
}

/** Records the final state of the services, engines and daemons. */
async function recordFinalState(context: RunContext): Promise<void> {
  const { services, engines } = listTargets(context);
  await Promise.all([
    ...services.map((name) => recordService(context, name)),
    ...engines.map((name) => recordEngine(context, name)),
    ...context.daemons.map((name) => observe(context, name)),
    recordConfiguration(context),
  ]);
}

export function listTargets(
  { deployment, daemons, relays }: RunContext,
): Targets {
  const names = [...deployment.processes.keys()];
  const { groups, caches } = deployment.configuration;
  return {
    daemons,
    engines: Object.keys(groups[MODEL_GROUP]?.replicas ?? {}),
    stores: Object.values(caches).flatMap(({ vms }) => Object.keys(vms)),
    services: names.filter((name) => /^(bookings|stock)-\d+$/.test(name)),
    relayed: [...relays.keys()].filter((name) => daemons.includes(name)),
  };
}

export interface ScheduleOptions extends RunOptions {
  readonly length: Milliseconds;
  readonly callers: number;
  /** Called with the schedule before the first fault. */
  readonly onPlan?: (faults: readonly PlannedFault[]) => void;
}

/** Runs callers and operators while a seeded schedule of faults is injected. */
export function runSchedule(options: ScheduleOptions): Promise<History> {
  return runScenario(options, async (context) => {
    const faults = planFaults(
      options.seed,
      options.length,
      listTargets(context),
    );
    options.onPlan?.(faults);
    const abortController = new AbortController();
    const { seed, callers } = options;
    const workload = runWorkload(context, {
      seed,
      callers,
      signal: abortController.signal,
    });
    try {
      await injectFaults(context, faults);
    } finally {
      abortController.abort();
      await workload;
    }
  });
}

/** Injects faults concurrently; faults of the same target run one at a time. */
async function injectFaults(
  context: RunContext,
  faults: readonly PlannedFault[],
): Promise<void> {
  const lastInjections = new Map<string, Promise<void>>();
  for (const fault of faults) {
    await sleep(fault.after);
    const previous = lastInjections.get(fault.target) ?? Promise.resolve();
    const injected = previous.then(() => injectFault(context, fault));
    // Avoids an unhandled rejection. `Promise.all` below throws the error after
    // all faults have been scheduled.
    injected.catch(() => {});
    lastInjections.set(fault.target, injected);
  }
  await Promise.all(lastInjections.values());
}
