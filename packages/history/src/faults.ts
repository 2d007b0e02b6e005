/**
 * Faults that a run injects. Each records its begin before it acts and its end
 * after it was undone, so that a check never takes a disturbed moment for a
 * calm one.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { request } from "undici";
import { cutOf } from "./checks/configuration.ts";
import type { EngineRecord, FaultName, ServiceRecord } from "./records.ts";
import type { World } from "./world.ts";

export interface PlannedFault {
  /** Pause after the begin of the previous fault. */
  readonly after: Milliseconds;
  readonly fault: FaultName;
  readonly target: string;
  readonly duration: Milliseconds;
  /** Faults of a stand-in, or of a relay. */
  readonly change?: Readonly<Record<string, unknown>>;
}

const CONTROL_LIMIT: Milliseconds = 5_000;

/** Time for a balancer to notice that a daemon is not ready any more. */
const BALANCER_LAG: Milliseconds = 300;

// What undoes each fault of a stand-in.
const NEUTRAL: Readonly<Record<string, unknown>> = {
  outage: false,
  silent: false,
  loseAnswers: false,
  hangAfterEffect: false,
  refuse: false,
  stallStreams: false,
  crossStreams: false,
  ignoreChecks: false,
  delay: 0,
  latency: 0,
  errorRate: 0,
  loseAnswerRate: 0,
  loseNextAnswers: 0,
  slowFactor: 1,
  cutStreamsAfter: null,
  streamFault: "none",
};

/** Injects one fault and undoes it. */
export async function inject(
  world: World,
  planned: PlannedFault,
): Promise<void> {
  const { deployment, recorder } = world;
  const { fault, target, duration, change = {} } = planned;
  const detail = JSON.stringify(change);
  const end = recorder.beginFault(fault, targetOf(planned), detail);
  const one = deployment.processes.get(target);
  switch (fault) {
    case "daemon killed":
    case "service killed":
    case "engine killed":
    case "store VM killed":
      if (fault === "engine killed") await recordEngine(world, target);
      await one?.kill();
      await sleep(duration);
      await deployment.restart(target);
      return end();
    case "daemon paused":
      one?.signal("SIGSTOP");
      await sleep(duration);
      one?.signal("SIGCONT");
      return end();
    case "daemon stopped":
      await stopDaemon(world, target);
      await sleep(duration);
      await deployment.restart(target);
      world.withdrawn.delete(target);
      return end();
    case "engine leaving":
      return await drainEngine(world, planned, end);
    case "platform cut":
      return await cutPlatform(world, planned, end);
    default:
      await postControl(world, target, { path: "faults", body: change });
      await sleep(duration);
      await postControl(world, target, {
        path: "faults",
        body: neutralOf(change),
      });
      return end();
  }
}

function neutralOf(
  change: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  // Frozen connections stay frozen; there is nothing to undo.
  const keys = Object.keys(change).filter((key) => key in NEUTRAL);
  return Object.fromEntries(keys.map((key) => [key, NEUTRAL[key]]));
}

function targetOf({ fault, target }: PlannedFault): string {
  return fault === "platform cut" ? cutOf(target) : target;
}

async function stopDaemon(world: World, name: string): Promise<void> {
  const stopped = world.deployment.processes.get(name)?.stop();
  await sleep(BALANCER_LAG);
  world.withdrawn.add(name);
  await stopped;
}

async function drainEngine(
  world: World,
  { target, duration }: PlannedFault,
  end: () => void,
): Promise<void> {
  const { deployment } = world;
  await postControl(world, target, { path: "drain", body: { leaving: true } });
  await sleep(duration);
  end();
  await recordEngine(world, target);
  await deployment.processes.get(target)?.kill();
  await deployment.restart(target);
}

async function cutPlatform(
  world: World,
  { target, duration, change }: PlannedFault,
  end: () => void,
): Promise<void> {
  const relay = world.relays.get(target);
  if (change?.["frozen"] === true) relay?.freeze();
  else relay?.setDropped(true);
  await sleep(duration);
  relay?.setDropped(false);
  end();
}

/** Over a connection of its own, which no earlier fault has frozen. */
async function postControl(
  world: World,
  name: string,
  { path, body }: { readonly path: string; readonly body: unknown },
): Promise<void> {
  const url = `http://${world.deployment.addressOf(name)}/control/${path}`;
  const answer = await request(url, {
    dispatcher: world.agent,
    method: "POST",
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_LIMIT),
  });
  await answer.body.dump();
}

async function readControl<Body>(
  world: World,
  name: string,
  path: string,
): Promise<Body | undefined> {
  try {
    const url = `http://${world.deployment.addressOf(name)}/control/${path}`;
    const answer = await request(url, {
      dispatcher: world.agent,
      signal: AbortSignal.timeout(CONTROL_LIMIT),
    });
    return await answer.body.json() as Body;
  } catch {
    return undefined;
  }
}

/** Records what a service ran. */
export async function recordService(
  world: World,
  name: string,
): Promise<void> {
  const body = await readControl<Pick<ServiceRecord, "calls">>(
    world,
    name,
    "calls",
  );
  if (body === undefined) throw new Error(`${name} has no record of its calls`);
  const { calls } = body;
  world.recorder.add({ kind: "service record", process: name, calls });
}

/** Records the attempts that reached an engine since it started. */
export async function recordEngine(world: World, name: string): Promise<void> {
  const body = await readControl<Pick<EngineRecord, "attempts">>(
    world,
    name,
    "attempts",
  );
  if (body === undefined) return;
  const { attempts } = body;
  world.recorder.add({ kind: "engine record", process: name, attempts });
}
