/**
 * Ranks store VMs for a block by weighted rendezvous hashing: every daemon gets
 * the same order, and a lost VM moves only its own blocks.
 */
import { createHash } from "node:crypto";
import type { BlockName } from "@peridotvalve/types";

export interface RankedStore {
  /** Name of the store VM in the configuration. */
  readonly id: string;
  /** Share of the blocks that come first to this VM; 1 when absent. */
  readonly weight?: number;
}

const HASH_BITS = 48;

/** The stores for a block, best first. */
export function rankStores<Store extends RankedStore>(
  name: BlockName,
  stores: readonly Store[],
): readonly Store[] {
  const scored = stores.map((store) => ({ store, score: score(name, store) }));
  scored.sort((left, right) =>
    right.score - left.score || (left.store.id < right.store.id ? -1 : 1)
  );
  return scored.map(({ store }) => store);
}

function score(name: BlockName, store: RankedStore): number {
  const hash = createHash("sha256")
    .update(JSON.stringify([store.id, name.block]))
    .digest();
  const fraction = (hash.readUIntBE(0, HASH_BITS / 8) + 0.5) / 2 ** HASH_BITS;
  return (store.weight ?? 1) / -Math.log(fraction);
}
