/**
 * Rolls out the weights of the configuration, one task for each model group.
 * A few daemons of each availability zone contend for the group's lease, and
 * only while a report shows other weights.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import {
  createLease,
  type LeaseTerm,
  runUnderLease,
} from "@peridotvalve/lease";
import type { LoadTracker } from "@peridotvalve/load";
import type { Platform } from "@peridotvalve/tables";
import type {
  Configuration,
  Milliseconds,
  ModelGroup,
} from "@peridotvalve/types";
import { isDutyOn } from "../callers/duties.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { waitUntilCurrent } from "./current.ts";
import { runRollout } from "./rollout.ts";

/** Pause between two looks at the reports of a group. */
const WATCH_INTERVAL: Milliseconds = 1_000;

/** Daemons of an availability zone that contend for a lease. */
const CONTENDERS = 2;

/** Parts of the duration of a lease: its margin, and between two renewals. */
const LEASE_PARTS = 5;

export interface RolloutsOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly board: LoadTracker;
  readonly fleet: Fleet;
  readonly log: EventLogger["log"];
  /** Name of this process in the leases. */
  readonly holder: string;
  readonly leaseDuration: Milliseconds;
  readonly content: () => Configuration | undefined;
  /** Version in force; infinite where the operators' folder rules. */
  readonly version: () => number;
  readonly isReader: (subject: string, count: number) => boolean;
}

/** Runs until the signal aborts; the leases are then given up. */
export async function runRollouts(
  options: RolloutsOptions,
  signal: AbortSignal,
): Promise<void> {
  const tasks = new Map<string, Promise<void>>();
  while (!signal.aborted) {
    for (const group of Object.keys(options.content()?.groups ?? {})) {
      if (tasks.has(group) || !isDue(group, options)) continue;
      const task = contend(group, options, signal);
      tasks.set(group, task.finally(() => tasks.delete(group)));
    }
    await options.clock.sleep(WATCH_INTERVAL, signal);
  }
  await Promise.all(tasks.values());
}

/** The group when its weights are this system's to roll out. */
function findGroup(
  name: string,
  options: RolloutsOptions,
): ModelGroup | undefined {
  const content = options.content();
  const question = { duty: "rollouts", route: name, customer: "" } as const;
  if (content === undefined || !isDutyOn(content, question)) return undefined;
  return content.groups[name];
}

function isDue(name: string, options: RolloutsOptions): boolean {
  const group = findGroup(name, options);
  if (group === undefined) return false;
  if (!options.isReader(`rollouts/${name}`, CONTENDERS)) return false;
  return options.fleet.candidates(name).some((replica) =>
    replica.reported !== undefined && replica.weights !== group.weights &&
    (replica.state === "ready" || replica.state === "loading")
  );
}

/** Contends for the group's lease until it was held once or is not due. */
async function contend(
  name: string,
  options: RolloutsOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, platform, log, holder, leaseDuration } = options;
  const margin = leaseDuration / LEASE_PARTS;
  const lease = createLease({
    ...{ platform, clock, holder, margin },
    name: `rollouts/${name}`,
    duration: leaseDuration,
  });
  const ended = new AbortController();
  const either = AbortSignal.any([ended.signal, signal]);
  const watching = endWhenNotDue();

  async function endWhenNotDue(): Promise<void> {
    while (!either.aborted) {
      await clock.sleep(WATCH_INTERVAL, either);
      if (lease.token() === undefined && !isDue(name, options)) ended.abort();
    }
  }

  async function work(tenure: LeaseTerm): Promise<void> {
    const fence = tenure.token;
    log("lease_acquired", { lease: `rollouts/${name}`, fence });
    if (await waitUntilCurrent(options, tenure.signal)) {
      await runRollout(name, tenure, {
        ...options,
        group: () => findGroup(name, options),
      });
    }
    if (tenure.signal.aborted && !signal.aborted) {
      const reason = "not renewed in time";
      log("lease_lost", { lease: `rollouts/${name}`, reason });
      return;
    }
    ended.abort();
  }

  await runUnderLease(work, {
    ...{ lease, clock, interval: margin },
    signal: either,
  });
  await watching;
}
