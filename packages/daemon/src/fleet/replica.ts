/**
 * State of one replica that this daemon keeps in addition to its load reports:
 * the client, the weight version from its latest response, whether it could be
 * reached, and whether it is leaving.
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
  /** The latest load report, polled by this daemon or relayed by a peer. */
  report(): LoadReport | undefined;
  /** Records the weight version in a response of the replica. */
  recordWeights(weights: string): void;
  /**
   * Records that an incarnation takes no new work. Undefined stands for the one
   * that is currently running.
   */
  markLeaving(incarnation: string | undefined): void;
  isLeaving(): boolean;
  /** The latest known weight version, from a report or a response. */
  weights(): string | undefined;
  /** Records that the replica answered or could not be reached. */
  recordReachability(isReachable: boolean): void;
  /** Returns true for a short time after the replica could not be reached. */
  isUnreachable(): boolean;
}

export interface ReplicaOptions {
  readonly name: string;
  readonly group: string;
  readonly settings: ReplicaSettings;
  readonly clock: Clock;
  readonly report: () => LoadReport | undefined;
  /**
   * Called for each request to the engine; returns the headers to add to it.
   */
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

// Stands for the currently running incarnation until a report names it.
const UNKNOWN = "";

/** Period for which a replica is not tried after it could not be reached. */
const AVOIDANCE_PERIOD: Milliseconds = 2_000;

interface ResponseWeights {
  readonly weights: string;
  /** The latest report at the time of the response. */
  readonly report: LoadReport | undefined;
}

export function createReplica(options: ReplicaOptions): Replica {
  const { name, group, settings, clock, report } = options;
  const engine = createHttpEngine({
    address: settings.address,
    clock,
    createHeaders: options.createHeaders,
  });
  let fromResponse: ResponseWeights | undefined;
  let leaving: string | undefined;
  let failedAt: Milliseconds | undefined;

  return {
    name,
    group,
    settings,
    engine,
    report,
    recordWeights(weights) {
      fromResponse = { weights, report: report() };
    },
    // A response is newer than the report known when it arrived, and older than
    // the next report.
    weights: () =>
      fromResponse !== undefined && fromResponse.report === report()
        ? fromResponse.weights
        : report()?.weights,
    markLeaving(incarnation) {
      leaving = incarnation ?? report()?.incarnation ?? UNKNOWN;
    },
    isLeaving() {
      const now = report();
      if (now?.state === "leaving") return true;
      if (leaving === UNKNOWN && now !== undefined) leaving = now.incarnation;
      // A replica that restarts at the same address is a new incarnation, which
      // is not leaving.
      if (leaving === undefined) return false;
      return now === undefined || leaving === now.incarnation;
    },
    recordReachability(isReachable) {
      failedAt = isReachable ? undefined : clock.monotonic();
    },
    isUnreachable: () =>
      failedAt !== undefined && clock.monotonic() - failedAt < AVOIDANCE_PERIOD,
  };
}
