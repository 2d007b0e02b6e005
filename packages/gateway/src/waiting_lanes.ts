/**
 * Lanes of the requests that wait for a replica. Requests that only cold
 * replicas can take wait in lanes of their own, as a pass of the queue leaves a
 * lane after some requests that cannot be placed.
 */
import type { ColdReplicas } from "@peridotvalve/backpressure";
import type { DispatchRequest, Placement } from "@peridotvalve/dispatch";

export interface WaitingLane {
  readonly name: string;
  /** True when all replicas that can take the request are cold. */
  readonly isCold: boolean;
}

export interface WaitingLanes {
  (request: DispatchRequest, excluded: ReadonlySet<string>): WaitingLane;
}

export function createWaitingLanes(
  { coldReplicas, placement }: {
    readonly coldReplicas: Pick<ColdReplicas, "find" | "isAnyCold">;
    readonly placement: Pick<Placement, "candidates">;
  },
): WaitingLanes {
  return (request, excluded) => {
    const { service, software = "" } = request;
    const shared = { name: service, isCold: false };
    if (!coldReplicas.isAnyCold()) return shared;
    const entries = placement.candidates(request, excluded);
    const isCold = entries.length > 0 &&
      entries.every((entry) => coldReplicas.find(entry) !== undefined);
    if (!isCold) return shared;
    // Requests of one lane can be taken by the same replicas.
    const barred = [...excluded].sort().join(" ");
    return { name: `${service} cold ${software} ${barred}`, isCold };
  };
}
