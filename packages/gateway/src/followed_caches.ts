/**
 * Decides whose cache events this daemon follows. Each replica and store takes
 * only some calls at a time: in a small fleet every daemon follows all of them,
 * in a larger one each group of neighbors has its share of the followers of a
 * store, and the caches of replicas are known from the requests sent to them.
 */
import type { ReplicaTable, StoreTraits } from "@peridotvalve/dispatch";
import type { CacheHolder } from "./cache_feed.ts";

export interface FollowedCaches {
  /** True when every daemon follows the cache events of every replica. */
  includesReplicas(): boolean;
  list(): readonly CacheHolder[];
}

export interface FollowedCachesOptions {
  readonly replicas: ReplicaTable;
  readonly stores: () => readonly StoreTraits[];
  /** Number of daemons that are listed. */
  readonly daemons: () => number;
  /** Number of groups of neighbors in the fleet. */
  readonly groups: () => number;
  /** Place of this daemon among its neighbors for a duty; 0 goes first. */
  readonly rank: (duty: string) => number;
  /** False until the daemons are listed. */
  readonly knowsDaemons: () => boolean;
  /** False until the live neighbors should be known. */
  readonly knowsNeighbors: () => boolean;
}

/**
 * Cache event calls to one replica or store. It accepts 12; the rest is for
 * followers that take over.
 */
const MAX_FOLLOWERS = 10;

export function createFollowedCaches(
  options: FollowedCachesOptions,
): FollowedCaches {
  const { replicas, stores, rank } = options;
  const includesReplicas = () => options.daemons() <= MAX_FOLLOWERS;

  function listStores(): readonly CacheHolder[] {
    const followers = Math.floor(MAX_FOLLOWERS / options.groups());
    return stores()
      .filter(({ address }) =>
        rank(`store ${address}`) < Math.max(1, followers)
      )
      .map(({ address }) => ({ id: address, address, isStore: true }));
  }

  function listReplicas(): readonly CacheHolder[] {
    return replicas.all()
      .filter(({ entry }) => entry.weights.size > 0)
      .map(({ entry: { id, address } }) => ({ id, address, isStore: false }));
  }

  return {
    includesReplicas,
    list() {
      if (!options.knowsDaemons()) return [];
      if (includesReplicas()) return [...listReplicas(), ...listStores()];
      return options.knowsNeighbors() ? listStores() : [];
    },
  };
}
