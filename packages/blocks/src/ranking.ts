/**
 * Ranks store VMs for a block by weighted rendezvous hashing: every daemon
 * computes the same order, and losing a VM moves only the blocks of that VM.
 */
import { rankByRendezvous } from "@peridotvalve/rendezvous";
import type { BlockName } from "@peridotvalve/types";

export interface RankedStore {
  /** Name of the store VM in the configuration. */
  readonly id: string;
  /** Relative share of blocks that rank this VM first; 1 when absent. */
  readonly weight?: number;
}

/** Returns the stores for a block, highest rank first. */
export function rankStores<Store extends RankedStore>(
  name: BlockName,
  stores: readonly Store[],
): readonly Store[] {
  const members = stores.map((store) => ({
    name: store.id,
    weight: store.weight ?? 1,
    store,
  }));
  return rankByRendezvous(name.block, members).map(({ store }) => store);
}
