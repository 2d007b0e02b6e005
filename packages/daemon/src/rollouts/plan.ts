/**
 * Decides which replicas of a group to command next to load weights, from their
 * load reports and from commands that the reports do not reflect yet.
 */
import type { LoadReport, ModelGroup } from "@peridotvalve/types";

/** Known state of one replica. */
export interface ReplicaView {
  readonly name: string;
  /** The latest report; undefined when there has been none. */
  readonly report: LoadReport | undefined;
  /** False when the replica did not answer the last read. */
  readonly isReachable: boolean;
  /** True while a command may have started a load that no report shows yet. */
  readonly isCommanded: boolean;
}

export interface Plan {
  /** Names of the replicas to command now. */
  readonly orders: readonly string[];
  /** Number of replicas that still need the weights, including `orders`. */
  readonly remaining: number;
  /**
   * Why the rollout makes no progress; undefined while a replica is commanded
   * or loading and when no replica remains.
   */
  readonly pauseReason: string | undefined;
}

/**
 * Commands as many replicas as possible without exceeding `parallelLoads` and
 * without leaving fewer than `minimumReady` replicas ready.
 */
export function planLoads(
  group: Pick<ModelGroup, "weights" | "parallelLoads" | "minimumReady">,
  views: readonly ReplicaView[],
): Plan {
  const remaining = views.filter((view) => needsWeights(view, group.weights));
  const loading = views.filter(isLoading).length;
  const ready = views.filter(isReady).length;
  const eligible = remaining.filter(isReady);
  const allowedLoads = Math.max(
    0,
    Math.min(group.parallelLoads - loading, ready - group.minimumReady),
  );
  const orders = eligible.slice(0, allowedLoads).map((view) => view.name);
  return {
    orders,
    remaining: remaining.length,
    pauseReason: remaining.length > 0 && orders.length + loading === 0
      ? explainPause({
        ready,
        minimumReady: group.minimumReady,
        eligible,
      })
      : undefined,
  };
}

/**
 * Returns true when the replica needs the weights or has not finished loading
 * them. Leaving replicas and those without a report need none.
 */
export function needsWeights(view: ReplicaView, weights: string): boolean {
  const { report } = view;
  if (report === undefined || report.state === "leaving") return false;
  return report.weights !== weights || report.state === "loading" ||
    view.isCommanded;
}

/**
 * Counts an unreachable replica that was loading, because it may still be.
 * Other unreachable replicas do not count; otherwise dead ones would block the
 * rollout.
 */
function isLoading(view: ReplicaView): boolean {
  return view.isCommanded || view.report?.state === "loading";
}

function isReady(view: ReplicaView): boolean {
  return view.isReachable && view.report?.state === "ready" &&
    !view.isCommanded;
}

function explainPause(counts: {
  readonly ready: number;
  readonly minimumReady: number;
  readonly eligible: readonly ReplicaView[];
}): string {
  if (counts.eligible.length === 0) return "no remaining replica is ready";
  return `${counts.ready} replicas are ready; minimumReady is ${counts.minimumReady}`;
}
