/**
 * Rolls out the configured weights, with one task for each model group. Two
 * daemons in each availability zone contend for the group's lease, and only
 * while a load report shows other weights.
 */
import { type Clock, createSuspendAwareClock } from "@peridotvalve/clock";
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
import { runRollout } from "./rollout.ts";
import { waitUntilCurrent } from "./wait_until_current.ts";

/** Interval at which the reports of a group are checked. */
const WATCH_INTERVAL: Milliseconds = 1_000;

/** Daemons in each availability zone that contend for a lease. */
const CONTENDERS_PER_ZONE = 2;

/** The duration of a lease in multiples of its margin and renewal interval. */
const MARGINS_PER_LEASE = 5;

export interface RolloutsOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly tracker: LoadTracker;
  readonly fleet: Fleet;
  readonly log: EventLogger["log"];
  /** Name of this process in lease rows. */
  readonly holder: string;
  readonly leaseDuration: Milliseconds;
  readonly content: () => Configuration | undefined;
  /**
   * Version of the current configuration; infinite when it comes from the
   * operators' folder instead of the platform.
   */
  readonly version: () => number;
  /**
   * Returns true when this daemon is among the `count` readers of a subject.
   */
  readonly isReader: (subject: string, count: number) => boolean;
}

/** Runs until the signal aborts, then releases the leases. */
export async function runRollouts(
  options: RolloutsOptions,
  signal: AbortSignal,
): Promise<void> {
  const tasks = new Map<string, Promise<void>>();
  while (!signal.aborted) {
    for (const group of Object.keys(options.content()?.groups ?? {})) {
      if (tasks.has(group) || !isDue(group, options)) continue;
      const task = contendForLease(group, options, signal);
      tasks.set(group, task.finally(() => tasks.delete(group)));
    }
    await options.clock.sleep(WATCH_INTERVAL, signal);
  }
  await Promise.all(tasks.values());
}

/** The group; undefined when the duty `rollouts` is off for it. */
function findGroup(
  name: string,
  options: RolloutsOptions,
): ModelGroup | undefined {
  const content = options.content();
  const query = { duty: "rollouts", route: name, customer: "" } as const;
  if (content === undefined || !isDutyOn(content, query)) return undefined;
  return content.groups[name];
}

function isDue(name: string, options: RolloutsOptions): boolean {
  const group = findGroup(name, options);
  if (group === undefined) return false;
  if (!options.isReader(`rollouts/${name}`, CONTENDERS_PER_ZONE)) return false;
  return options.fleet.candidates(name).some((replica) =>
    replica.reported !== undefined && replica.weights !== group.weights &&
    (replica.state === "ready" || replica.state === "loading")
  );
}

/**
 * Contends for the group's lease until a rollout under it has ended or no
 * rollout is due. A lost lease is contended for again.
 */
async function contendForLease(
  name: string,
  options: RolloutsOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, platform, log, holder, leaseDuration } = options;
  const margin = leaseDuration / MARGINS_PER_LEASE;
  const lease = createLease({
    ...{ platform, holder, margin },
    clock: createSuspendAwareClock(clock),
    contenderClock: clock,
    name: `rollouts/${name}`,
    duration: leaseDuration,
  });
  const done = new AbortController();
  const stopSignal = AbortSignal.any([done.signal, signal]);
  const watching = stopWhenNotDue();

  async function stopWhenNotDue(): Promise<void> {
    while (!stopSignal.aborted) {
      await clock.sleep(WATCH_INTERVAL, stopSignal);
      if (lease.token() === undefined && !isDue(name, options)) done.abort();
    }
  }

  async function holdLease(tenure: LeaseTerm): Promise<void> {
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
    done.abort();
  }

  await runUnderLease(holdLease, {
    ...{ lease, clock, interval: margin },
    signal: stopSignal,
  });
  await watching;
}
