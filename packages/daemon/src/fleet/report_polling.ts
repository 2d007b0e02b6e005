/**
 * Polls the load reports of the replicas that are assigned to this daemon.
 * Replicas in other availability zones are polled less often, so that the
 * traffic stays within the daemon's budget at 730 replicas.
 */
import type { Clock } from "@peridotvalve/clock";
import { type LoadTracker, pollReports } from "@peridotvalve/load";
import type { Milliseconds } from "@peridotvalve/types";
import { Err } from "ts-results-es";
import { type Fleet, REMOTE_REPORT_PERIODS } from "./fleet.ts";

const REPORT_TIMEOUT: Milliseconds = 900;

export interface ReportPollingOptions {
  readonly clock: Clock;
  readonly tracker: LoadTracker;
  readonly fleet: Fleet;
  readonly availabilityZone: string;
  /**
   * Returns true when this daemon is among the `count` readers of a subject.
   */
  readonly isReader: (subject: string, count: number) => boolean;
}

/** Polls until the signal aborts. */
export function pollFleetReports(
  options: ReportPollingOptions,
  signal: AbortSignal,
): Promise<void> {
  const { fleet, availabilityZone } = options;
  let period = 0;
  // Replicas that are not in this set are polled at once: the configuration,
  // and with it the replicas, may arrive after the first periods.
  let previouslyListed: ReadonlySet<string> = new Set();

  function listDue(): readonly string[] {
    period += 1;
    const replicas = fleet.list();
    const due = replicas
      .filter(({ name, settings }, index) =>
        settings.availabilityZone === availabilityZone ||
        !previouslyListed.has(name) ||
        (period + index) % REMOTE_REPORT_PERIODS === 0
      )
      .map(({ name }) => name);
    previouslyListed = new Set(replicas.map(({ name }) => name));
    return due;
  }

  return pollReports({
    clock: options.clock,
    tracker: options.tracker,
    listReplicas: listDue,
    isReader: options.isReader,
    poll: async (name) => {
      const replica = fleet.find(name);
      if (replica === undefined) return Err("replica no longer configured");
      const report = await replica.engine.readLoad(REPORT_TIMEOUT);
      replica.recordReachability(report.isOk());
      return report;
    },
  }, signal);
}
