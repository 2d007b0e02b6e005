/**
 * Decides which replicas of a group to tell next to load weights, from what
 * the replicas report and from orders that no report can show yet.
 */
import type { LoadReport, ModelGroup } from "@peridotvalve/types";

/** What is known of one replica. */
export interface ReplicaView {
  readonly name: string;
  /** The newest report; undefined when there was none. */
  readonly report: LoadReport | undefined;
  /** False when the replica did not answer the last read. */
  readonly isReachable: boolean;
  /** True while an order may have started a load that no report shows. */
  readonly isOrdered: boolean;
}

export interface Plan {
  /** Replicas to tell now. */
  readonly orders: readonly string[];
  /** Replicas that still need the weights, those told now included. */
  readonly remaining: number;
  /** Why none of the remaining replicas is told now or loading. */
  readonly obstacle: string | undefined;
}

export function planOrders(
  group: Pick<ModelGroup, "weights" | "parallelLoads" | "minimumReady">,
  views: readonly ReplicaView[],
): Plan {
  const remaining = views.filter((view) => needsWeights(view, group.weights));
  const loading = views.filter(isLoading).length;
  const ready = views.filter(isReady).length;
  const possible = remaining.filter(isReady);
  const room = Math.max(
    0,
    Math.min(group.parallelLoads - loading, ready - group.minimumReady),
  );
  const orders = possible.slice(0, room).map((view) => view.name);
  return {
    orders,
    remaining: remaining.length,
    obstacle: remaining.length > 0 && orders.length + loading === 0
      ? findObstacle({ ready, minimumReady: group.minimumReady, possible })
      : undefined,
  };
}

/** True when the replica is to be told, now or when its load has ended. */
export function needsWeights(view: ReplicaView, weights: string): boolean {
  const { report } = view;
  if (report === undefined || report.state === "leaving") return false;
  return report.weights !== weights || report.state === "loading" ||
    view.isOrdered;
}

/**
 * A replica that went silent while it loaded may still be loading, so it
 * counts. One that was not loading does not, or dead ones would stop all.
 */
function isLoading(view: ReplicaView): boolean {
  return view.isOrdered || view.report?.state === "loading";
}

function isReady(view: ReplicaView): boolean {
  return view.isReachable && view.report?.state === "ready" && !view.isOrdered;
}

function findObstacle(counts: {
  readonly ready: number;
  readonly minimumReady: number;
  readonly possible: readonly ReplicaView[];
}): string {
  if (counts.possible.length === 0) return "no remaining replica is reachable";
  return `${counts.ready} replicas are ready and ${counts.minimumReady} must be`;
}
