/**
 * Identity of one run of a replica. A replica can start again under the same
 * id, and nothing that it said before holds afterwards.
 */
import type { Timestamp } from "@peridotvalve/types";

/** The parts of a replica's entry that tell its incarnations apart. */
export interface Incarnation {
  readonly id: string;
  /** Start time; absent when the entry has none. */
  readonly born?: Timestamp;
}

/** Returns the same key in all daemons that know the same entry. */
export function incarnationKey({ id, born }: Incarnation): string {
  return born === undefined ? id : `${id}@${born}`;
}
