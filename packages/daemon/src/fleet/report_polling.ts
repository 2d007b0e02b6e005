/**
 * Reads the load reports for which this daemon is chosen. Replicas of other
 * availability zones are read less often, so that the bytes of all reads stay
 * within the daemon's budget at 730 replicas.
 */
import type { Clock } from "@peridotvalve/clock";
import { type LoadTracker, pollReports } from "@peridotvalve/load";
import type { Milliseconds } from "@peridotvalve/types";
import { Err } from "ts-results-es";
import { type Fleet, REMOTE_PERIODS } from "./fleet.ts";

const POLL_TIMEOUT: Milliseconds = 900;

export interface ReportPollingOptions {
  readonly clock: Clock;
  readonly board: LoadTracker;
  readonly fleet: Fleet;
  readonly availabilityZone: string;
  readonly isReader: (subject: string, count: number) => boolean;
}

/** Polls until the signal aborts. */
export function pollFleetReports(
  options: ReportPollingOptions,
  signal: AbortSignal,
): Promise<void> {
  const { fleet, availabilityZone } = options;
  let period = 0;
  // A replica that is not in it is due at once. The configuration, and with
  // it the replicas, may come after the first periods.
  let listed: ReadonlySet<string> = new Set();

  function listDue(): readonly string[] {
    period += 1;
    const replicas = fleet.list();
    const due = replicas
      .filter(({ name, settings }, index) =>
        settings.availabilityZone === availabilityZone ||
        !listed.has(name) || (period + index) % REMOTE_PERIODS === 0
      )
      .map(({ name }) => name);
    listed = new Set(replicas.map(({ name }) => name));
    return due;
  }

  return pollReports({
    clock: options.clock,
    tracker: options.board,
    listReplicas: listDue,
    isReader: options.isReader,
    poll: async (name) => {
      const replica = fleet.find(name);
      if (replica === undefined) return Err("no longer configured");
      const report = await replica.engine.readLoad(POLL_TIMEOUT);
      replica.noteReachable(report.isOk());
      return report;
    },
  }, signal);
}
