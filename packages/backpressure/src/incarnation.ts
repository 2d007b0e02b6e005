/**
 * Identity of one run of a replica. A replica can start again under the same
 * id, and nothing that it said before holds afterwards.
 */
import { replicaKey } from "@peridotvalve/load";
import type { Timestamp } from "@peridotvalve/types";

/** The parts of a replica's entry that tell its incarnations apart. */
export interface Incarnation {
  readonly id: string;
  /** Start time; absent when the entry has none. */
  readonly born?: Timestamp;
}

/** A replica to which requests keep a pace. */
export interface PacedReplica extends Incarnation {
  readonly zone: string;
  readonly service?: string;
}

/** Returns the same key in all daemons that know the same entry. */
export function incarnationKey({ id, born }: Incarnation): string {
  return born === undefined ? id : `${id}@${born}`;
}

const hashes = new WeakMap<Incarnation, string>();

/** Short hash of the incarnation, the same in all daemons. */
export function incarnationHash(incarnation: Incarnation): string {
  const known = hashes.get(incarnation);
  if (known !== undefined) return known;
  const hash = replicaKey(incarnationKey(incarnation));
  hashes.set(incarnation, hash);
  return hash;
}
