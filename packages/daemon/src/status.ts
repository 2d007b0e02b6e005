/**
 * What a daemon tells operators and peers of itself.
 */
import type { Peer } from "@peridotvalve/membership";
import type { Milliseconds } from "@peridotvalve/types";

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
