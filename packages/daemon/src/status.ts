/**
 * What a daemon tells operators and peers of itself.
 */
import type { Peer } from "@peridotvalve/membership";
import type { Milliseconds } from "@peridotvalve/types";
import type { Neighbours } from "./peers/neighbours.ts";
import type { Runtime } from "./runtime.ts";

export interface ReplicaStatus {
  readonly name: string;
  readonly group: string;
  readonly state: string;
  readonly weights: string;
  readonly health: string;
  readonly running: number;
  readonly waiting: number;
}

export interface DaemonStatus {
  readonly name: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly version: number | null;
  readonly change: string | null;
  readonly isDraining: boolean;
  readonly pending: number;
  readonly peers: readonly Peer[];
  /** Time since each other availability zone was heard. */
  readonly zones: Readonly<Record<string, Milliseconds>>;
  readonly replicas: readonly ReplicaStatus[];
}

export function readStatus(
  runtime: Runtime,
  neighbours: Neighbours,
): DaemonStatus {
  const { membership } = neighbours;
  const current = runtime.configuration.current();
  const groups = Object.keys(current?.content.groups ?? {});
  return {
    name: runtime.settings.name,
    incarnation: runtime.incarnation,
    availabilityZone: runtime.settings.availabilityZone,
    version: current?.version ?? null,
    change: current?.change ?? null,
    isDraining: runtime.drain.isDraining(),
    pending: runtime.drain.pending(),
    peers: membership.peers(),
    zones: Object.fromEntries(membership.zones()),
    replicas: groups.flatMap((group) =>
      runtime.fleet.candidates(group).map((candidate) => ({
        name: candidate.name,
        group,
        state: candidate.state,
        weights: candidate.weights,
        health: candidate.health,
        running: candidate.reported?.running ?? 0,
        waiting: candidate.reported?.waiting ?? 0,
      }))
    ),
  };
}
