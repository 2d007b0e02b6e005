/**
 * Ranks store VMs for a block by weighted rendezvous hashing: every daemon gets
 * the same order, and a lost VM moves only its own blocks.
 */
import { rankByRendezvous } from "@peridotvalve/rendezvous";
import type { BlockName } from "@peridotvalve/types";

export interface RankedStore {
  /** Name of the store VM in the configuration. */
  readonly id: string;
  /** Share of the blocks that come first to this VM; 1 when absent. */
  readonly weight?: number;
}

/** The stores for a block, best first. */
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
