/**
 * One replica as this daemon sees it: its client, its newest load report, and
 * whether it is leaving. Everything here can be read again after a restart.
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
  report(): ReceivedReport | undefined;
  /** Takes a report; one of a new incarnation clears what was known. */
  receive(report: LoadReport): void;
  /** Notes the weight version that an answer of the replica told. */
  noteWeights(weights: string): void;
  /** Notes that this incarnation gets no new work. */
  markLeaving(incarnation: string | undefined): void;
  isLeaving(): boolean;
  weights(): string | undefined;
}

export interface ReceivedReport extends LoadReport {
  /** Monotonic time at which the report arrived. */
  readonly receivedAt: Milliseconds;
}

export interface ReplicaOptions {
  readonly name: string;
  readonly group: string;
  readonly settings: ReplicaSettings;
  readonly clock: Clock;
}

// Stands for "the incarnation that runs now" until a report names it.
const UNNAMED = "";

export function createReplica(options: ReplicaOptions): Replica {
  const { name, group, settings, clock } = options;
  const engine = createHttpEngine({ address: settings.address, clock });
  let report: ReceivedReport | undefined;
  let weights: string | undefined;
  let leaving: string | undefined;

  return {
    name,
    group,
    settings,
    engine,
    report: () => report,
    receive(received) {
      if (leaving === UNNAMED && report === undefined) {
        leaving = received.incarnation;
      }
      report = { ...received, receivedAt: clock.monotonic() };
      weights = received.weights;
      if (received.state === "leaving") leaving = received.incarnation;
    },
    noteWeights(told) {
      weights = told;
    },
    markLeaving(incarnation) {
      leaving = incarnation ?? report?.incarnation ?? UNNAMED;
    },
    // A returning address is a new incarnation, which is not leaving.
    isLeaving: () =>
      leaving !== undefined && leaving === (report?.incarnation ?? UNNAMED),
    weights: () => weights,
  };
}
