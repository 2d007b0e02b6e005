/**
 * Injects faults into the processes of a run. The start of a fault is recorded
 * before it takes effect and its end after it is reverted, so that no check takes
 * a time at which the fault was active for an undisturbed one.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { request } from "undici";
import { platformLinkOf } from "./checks/configuration.ts";
import type { EngineRecord, FaultName, ServiceRecord } from "./records.ts";
import type { RunContext } from "./run_context.ts";

export interface PlannedFault {
  /** Delay from the start of the previous fault. */
  readonly after: Milliseconds;
  readonly fault: FaultName;
  readonly target: string;
  readonly duration: Milliseconds;
  /** Fault settings to apply to a stand-in or to a relay. */
  readonly change?: Readonly<Record<string, unknown>>;
}

const CONTROL_TIMEOUT: Milliseconds = 5_000;

/** Time until a load balancer notices that a daemon is no longer ready. */
const BALANCER_REACTION_TIME: Milliseconds = 300;

// Values that revert each fault setting of a stand-in.
const FAULT_DEFAULTS: Readonly<Record<string, unknown>> = {
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

/** Injects one fault, waits for its duration and reverts it. */
export async function injectFault(
  context: RunContext,
  planned: PlannedFault,
): Promise<void> {
  const { deployment, recorder } = context;
  const { fault, target, duration, change = {} } = planned;
  const detail = JSON.stringify(change);
  const end = recorder.beginFault(fault, recordedTargetOf(planned), detail);
  const faultedProcess = deployment.processes.get(target);
  switch (fault) {
    case "daemon killed":
    case "service killed":
    case "engine killed":
    case "store VM killed":
      if (fault === "engine killed") await recordEngine(context, target);
      await faultedProcess?.kill();
      await sleep(duration);
      await deployment.restart(target);
      return end();
    case "daemon paused":
      faultedProcess?.signal("SIGSTOP");
      await sleep(duration);
      faultedProcess?.signal("SIGCONT");
      return end();
    case "daemon stopped":
      await stopDaemon(context, target);
      await sleep(duration);
      await deployment.restart(target);
      context.withdrawn.delete(target);
      return end();
    case "engine leaving":
      return await drainEngine(context, planned, end);
    case "platform cut":
      return await interruptPlatformLink(context, planned, end);
    default:
      await postControl(context, target, { path: "faults", body: change });
      await sleep(duration);
      await revert(context, { target, change });
      return end();
  }
}

export type HeldFault = Required<
  Pick<PlannedFault, "fault" | "target" | "change">
>;

/**
 * Changes the fault settings of stand-ins and keeps them until `run` has ended,
 * so that its calls meet the faults however slow the machine is.
 */
export async function holdFaults(
  context: RunContext,
  faults: readonly HeldFault[],
  run: () => Promise<unknown>,
): Promise<void> {
  const ends = await Promise.all(
    faults.map(async ({ fault, target, change }) => {
      const detail = JSON.stringify(change);
      const end = context.recorder.beginFault(fault, target, detail);
      await postControl(context, target, { path: "faults", body: change });
      return end;
    }),
  );
  await run();
  await Promise.all(faults.map((fault) => revert(context, fault)));
  for (const end of ends) end();
}

async function revert(
  context: RunContext,
  { target, change }: Pick<HeldFault, "target" | "change">,
): Promise<void> {
  const body = defaultsOf(change);
  await postControl(context, target, { path: "faults", body });
}

function defaultsOf(
  change: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  // Settings without a default, such as frozen connections, cannot be reverted.
  const keys = Object.keys(change).filter((key) => key in FAULT_DEFAULTS);
  return Object.fromEntries(keys.map((key) => [key, FAULT_DEFAULTS[key]]));
}

function recordedTargetOf({ fault, target }: PlannedFault): string {
  return fault === "platform cut" ? platformLinkOf(target) : target;
}

async function stopDaemon(context: RunContext, name: string): Promise<void> {
  const stopped = context.deployment.processes.get(name)?.stop();
  await sleep(BALANCER_REACTION_TIME);
  context.withdrawn.add(name);
  await stopped;
}

async function drainEngine(
  context: RunContext,
  { target, duration }: PlannedFault,
  end: () => void,
): Promise<void> {
  const { deployment } = context;
  await postControl(context, target, {
    path: "drain",
    body: { leaving: true },
  });
  await sleep(duration);
  end();
  await recordEngine(context, target);
  await deployment.processes.get(target)?.kill();
  await deployment.restart(target);
}

async function interruptPlatformLink(
  context: RunContext,
  { target, duration, change }: PlannedFault,
  end: () => void,
): Promise<void> {
  const relay = context.relays.get(target);
  if (change?.["frozen"] === true) relay?.freeze();
  else relay?.setDropped(true);
  await sleep(duration);
  relay?.setDropped(false);
  end();
}

/** Opens a new connection, because an earlier fault may have frozen others. */
async function postControl(
  context: RunContext,
  name: string,
  { path, body }: { readonly path: string; readonly body: unknown },
): Promise<void> {
  const url = `http://${context.deployment.addressOf(name)}/control/${path}`;
  const response = await request(url, {
    dispatcher: context.agent,
    method: "POST",
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_TIMEOUT),
  });
  await response.body.dump();
}

async function readControl<Body>(
  context: RunContext,
  name: string,
  path: string,
): Promise<Body | undefined> {
  try {
    const url = `http://${context.deployment.addressOf(name)}/control/${path}`;
    const response = await request(url, {
      dispatcher: context.agent,
      signal: AbortSignal.timeout(CONTROL_TIMEOUT),
    });
    return await response.body.json() as Body;
  } catch {
    return undefined;
  }
}

/** Records the calls that a service executed. Throws when it does not answer. */
export async function recordService(
  context: RunContext,
  name: string,
): Promise<void> {
  const body = await readControl<Pick<ServiceRecord, "calls">>(
    context,
    name,
    "calls",
  );
  if (body === undefined) throw new Error(`${name} did not return its calls`);
  const { calls } = body;
  context.recorder.add({ kind: "service record", process: name, calls });
}

/**
 * Records the attempts that reached an engine since it started. Records nothing
 * when the engine does not answer.
 */
export async function recordEngine(
  context: RunContext,
  name: string,
): Promise<void> {
  const body = await readControl<Pick<EngineRecord, "attempts">>(
    context,
    name,
    "attempts",
  );
  if (body === undefined) return;
  const { attempts } = body;
  context.recorder.add({ kind: "engine record", process: name, attempts });
}
