/**
 * One replica as this daemon sees it beside its load reports: its client, the
 * weight version that its answers told, failures, and whether it is leaving.
 */
import type { Clock } from "@peridotvalve/clock";
import type {
  LoadReport,
  Milliseconds,
  Replica as ReplicaSettings,
} from "@peridotvalve/types";
import { createHttpEngine, type HttpEngine } from "@peridotvalve/upstreams";

export interface Replica {
  readonly name: string;
  readonly group: string;
  readonly settings: ReplicaSettings;
  readonly engine: HttpEngine;
  /** The newest load report, polled here or passed on by a peer. */
  report(): LoadReport | undefined;
  /** Notes the weight version that an answer of the replica told. */
  noteWeights(weights: string): void;
  /** Notes that the incarnation, or the one that runs now, takes no new work. */
  markLeaving(incarnation: string | undefined): void;
  isLeaving(): boolean;
  weights(): string | undefined;
  /** Notes a failure to reach the replica, or that it answered. */
  noteReachable(isReachable: boolean): void;
  /** True while the last contact failed a short time ago. */
  isUnreachable(): boolean;
}

export interface ReplicaOptions {
  readonly name: string;
  readonly group: string;
  readonly settings: ReplicaSettings;
  readonly clock: Clock;
  readonly report: () => LoadReport | undefined;
  /** Headers of every request to the engine, made anew for each. */
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

// Stands for "the incarnation that runs now" until a report names it.
const UNNAMED = "";

/** Time for which a replica that refused a connection is not tried again. */
const AVOID_TIME: Milliseconds = 2_000;

interface ToldWeights {
  readonly weights: string;
  /** The report that was the newest when the replica told its version. */
  readonly report: LoadReport | undefined;
}

export function createReplica(options: ReplicaOptions): Replica {
  const { name, group, settings, clock, report } = options;
  const engine = createHttpEngine({
    address: settings.address,
    clock,
    createHeaders: options.createHeaders,
  });
  let told: ToldWeights | undefined;
  let leaving: string | undefined;
  let failedAt: Milliseconds | undefined;

  return {
    name,
    group,
    settings,
    engine,
    report,
    noteWeights(weights) {
      told = { weights, report: report() };
    },
    // An answer is newer than the report held when it came, and older than
    // the next one.
    weights: () =>
      told !== undefined && told.report === report()
        ? told.weights
        : report()?.weights,
    markLeaving(incarnation) {
      leaving = incarnation ?? report()?.incarnation ?? UNNAMED;
    },
    isLeaving() {
      const now = report();
      if (now?.state === "leaving") return true;
      if (leaving === UNNAMED && now !== undefined) leaving = now.incarnation;
      // A returning address is a new incarnation, which is not leaving.
      if (leaving === undefined) return false;
      return now === undefined || leaving === now.incarnation;
    },
    noteReachable(isReachable) {
      failedAt = isReachable ? undefined : clock.monotonic();
    },
    isUnreachable: () =>
      failedAt !== undefined && clock.monotonic() - failedAt < AVOID_TIME,
  };
}
