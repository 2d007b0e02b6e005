/**
 * The status that a daemon reports to operators and peers.
 */
import type { Peer } from "@peridotvalve/membership";
import type { Milliseconds } from "@peridotvalve/types";
import type { PeerNetwork } from "./peers/peer_network.ts";
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
  /** Time in ms since the last message from each other availability zone. */
  readonly zones: Readonly<Record<string, Milliseconds>>;
  readonly replicas: readonly ReplicaStatus[];
}

export function readStatus(
  runtime: Runtime,
  peerNetwork: PeerNetwork,
): DaemonStatus {
  const { membership } = peerNetwork;
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
