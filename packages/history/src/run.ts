/**
 * Starts a deployment, runs a scenario or a seeded schedule on it, and returns
 * the history.
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
  inject,
  type PlannedFault,
  recordEngine,
  recordService,
} from "./faults.ts";
import { type History, joinHistory } from "./history.ts";
import { observe, observeForever, recordConfiguration } from "./operators.ts";
import { createRecorder } from "./recorder.ts";
import { type Relay, startRelay } from "./relay.ts";
import { planFaults, type Targets } from "./schedule.ts";
import {
  buildProduct,
  type Mechanism,
  TRANSACTION_CHECKS,
} from "./weakened_build.ts";
import { runWorkload } from "./workload.ts";
import { createAgent, type World } from "./world.ts";

const FOLDER = fileURLToPath(new URL("../deployment", import.meta.url));
const GROUP = "advice";
const DAEMONS = ["north-1", "north-2", "south-1"];

/** Daemons that reach the platform through a relay; not the first daemon. */
const RELAYED = ["south-1"];

/** Time after the last call in which a late effect would still show. */
const SETTLING: Milliseconds = 2_000;

const START_TRIES = 3;

export interface RunOptions {
  readonly seed: number;
  /** Builds the daemons without this mechanism. */
  readonly without?: Mechanism;
  /** File for the history as JSON lines. */
  readonly file?: string;
  readonly daemons?: readonly string[];
  /** Reads versions all the time. */
  readonly observes?: boolean;
}

/** Runs a scenario on a fresh deployment. */
export async function runScenario(
  options: RunOptions,
  scenario: (world: World) => Promise<void>,
): Promise<History> {
  const program = await buildProduct(options.without);
  const relays = new Map<string, Relay>();
  for (const name of RELAYED) relays.set(name, await startRelay());
  const daemons = options.daemons ?? DAEMONS;
  const deployment = await startWithRetries({
    example: FOLDER,
    daemons,
    seed: options.seed,
    binary: program,
    edit: (text, file) => putRelay(text, file, relays),
  });
  const recorder = createRecorder(options.file);
  const world: World = {
    deployment,
    recorder,
    agent: createAgent(),
    daemons,
    withdrawn: new Set(),
    relays,
  };
  const group = deployment.configuration.groups[GROUP];
  recorder.add({
    kind: "setup",
    tokensPerBlock: group?.tokensPerBlock ?? 0,
    weights: group === undefined ? [] : [group.weights],
  });
  const ended = new AbortController();
  const observers = options.observes === false
    ? []
    : daemons.map((name) => observeForever(world, name, ended.signal));
  try {
    if (options.without === TRANSACTION_CHECKS) {
      await deployment.setFaults("platform", { ignoreChecks: true });
    }
    await scenario(world);
    await sleep(SETTLING);
    await recordEnd(world);
  } finally {
    ended.abort();
    await Promise.all(observers);
    await deployment.stop();
    for (const relay of relays.values()) await relay.close();
    await world.agent.destroy();
  }
  return joinHistory(recorder.entries());
}

/** Starts again when another deployment took a port in the meantime. */
async function startWithRetries(
  options: DeploymentOptions,
): Promise<Deployment> {
  for (let tries = 1;; tries += 1) {
    try {
      return await startDeployment(options);
    } catch (error) {
      if (tries === START_TRIES) throw error;
    }
  }
}

function putRelay(
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

/** Reads what the services, the engines and the daemons have at the end. */
async function recordEnd(world: World): Promise<void> {
  const { services, engines } = listTargets(world);
  await Promise.all([
    ...services.map((name) => recordService(world, name)),
    ...engines.map((name) => recordEngine(world, name)),
    ...world.daemons.map((name) => observe(world, name)),
    recordConfiguration(world),
  ]);
}

export function listTargets({ deployment, daemons, relays }: World): Targets {
  const names = [...deployment.processes.keys()];
  const { groups, caches } = deployment.configuration;
  return {
    daemons,
    engines: Object.keys(groups[GROUP]?.replicas ?? {}),
    stores: Object.values(caches).flatMap(({ vms }) => Object.keys(vms)),
    services: names.filter((name) => /^(bookings|stock)-\d+$/.test(name)),
    relayed: [...relays.keys()].filter((name) => daemons.includes(name)),
  };
}

export interface ScheduleOptions extends RunOptions {
  readonly length: Milliseconds;
  readonly callers: number;
  /** Told of the schedule before the run. */
  readonly onPlan?: (faults: readonly PlannedFault[]) => void;
}

/** Runs callers, operators and a seeded schedule of faults. */
export function runSchedule(options: ScheduleOptions): Promise<History> {
  return runScenario(options, async (world) => {
    const faults = planFaults(options.seed, options.length, listTargets(world));
    options.onPlan?.(faults);
    const ended = new AbortController();
    const { seed, callers } = options;
    const workload = runWorkload(world, {
      seed,
      callers,
      signal: ended.signal,
    });
    try {
      await injectAll(world, faults);
    } finally {
      ended.abort();
      await workload;
    }
  });
}

/** Injects faults side by side; those of one target follow each other. */
async function injectAll(
  world: World,
  faults: readonly PlannedFault[],
): Promise<void> {
  const busy = new Map<string, Promise<void>>();
  for (const fault of faults) {
    await sleep(fault.after);
    const previous = busy.get(fault.target) ?? Promise.resolve();
    const injected = previous.then(() => inject(world, fault));
    // An error is thrown below, after the faults that are still to come.
    injected.catch(() => {});
    busy.set(fault.target, injected);
  }
  await Promise.all(busy.values());
}
