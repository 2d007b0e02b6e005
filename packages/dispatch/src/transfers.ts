/**
 * Plans which parts of a prompt a replica fetches instead of computing them,
 * and which parts it saves to a store. This helps sessions that return after
 * their parts were evicted, or that are placed on another replica because
 * theirs is busy.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  findRendezvousHome,
  type RendezvousMember,
} from "@peridotvalve/rendezvous";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type { CacheView } from "./cache_view.ts";
import type { StoreTraits } from "./desired_state.ts";
import type { Replica } from "./replica.ts";
import type { PromptPart } from "./dispatch_request.ts";

/** Transfers requested from a replica for one part of the prompt. */
export interface PartPlan {
  /** Address of a replica or store that has cached the part. */
  readonly fetchFrom?: string;
  /** Address of the store to which the part is saved. */
  readonly saveTo?: string;
}

export interface TransferPlan {
  /**
   * One plan for each shared part, in order; absent when nothing is
   * transferred.
   */
  readonly parts?: readonly PartPlan[];
  readonly fetched: Tokens;
  /**
   * Shared tokens that are prefilled although some replica or store has them.
   */
  readonly recomputed: Tokens;
  /**
   * Cost in prompt tokens that the replica could prefill in the time of the
   * transfer.
   */
  readonly cost: number;
}

export interface TransferRequest {
  readonly replica: Replica;
  readonly salt: string;
  /** Parts of the prompt that other requests can share. */
  readonly shared: readonly PromptPart[];
  /** Replicas from which parts can be fetched. */
  readonly peers: readonly Replica[];
  /** False for an outdated weight version. */
  readonly mayUseStores: boolean;
  /**
   * Returns true for zones whose stores the request may use; by default it may
   * use all. The same for all plans with the same peers.
   */
  readonly isOpen?: (zone: string) => boolean;
}

export abstract class TransferPlanner {
  abstract plan(request: TransferRequest): TransferPlan;
  /** Records that an attempt with this plan was sent. */
  abstract recordSent(
    salt: string,
    shared: readonly PromptPart[],
    plan: readonly PartPlan[],
  ): void;
}

export interface TransferPlannerOptions {
  readonly clock: Clock;
  readonly cache: CacheView;
  /** Stores that are reachable. */
  readonly stores: () => readonly StoreTraits[];
  /** False while a store that has just started must not be written to. */
  readonly maySave?: (address: string) => boolean;
  readonly regions: ReadonlyMap<string, string>;
  /** Prompt tokens that a replica of a service prefills per millisecond. */
  readonly prefillRate: (service: string) => number;
}

/** Speed of a replica's link, in tokens of 18 KB. */
const REPLICA_LINK_TOKENS_PER_MILLISECOND = 600;

/**
 * Transfers between zones take twice as long, those between regions ten times.
 */
const CROSS_ZONE_FACTOR = 2;
const CROSS_REGION_FACTOR = 10;

/** Computing a smaller part is faster than fetching it from another region. */
const MIN_CROSS_REGION_FETCH: Tokens = 1_000;

/** Computing fewer tokens is faster than setting up their transfer. */
const MIN_FETCH: Tokens = 256;

/**
 * A save may be requested again when no cache event has confirmed it by then.
 */
const SAVE_RETRY_DELAY: Milliseconds = 4_000;

/**
 * Share of a store's capacity that saves may fill; other daemons save to it at
 * the same time.
 */
const USABLE_CAPACITY_SHARE = 0.96;

/** Where a part of the prompt is cached. */
interface PartLocation {
  readonly stores: readonly StoreTraits[];
  readonly replicas: readonly Replica[];
  /** Store to which the part is saved, by region. */
  readonly saveTargets: Map<string, string | undefined>;
}

/** Locations of the parts of one request, for all of its candidates. */
interface Locations {
  readonly salt: string;
  readonly shared: readonly PromptPart[];
  readonly peers: readonly Replica[];
  readonly parts: readonly PartLocation[];
  /** Stores that are reachable. */
  readonly reachable: readonly StoreTraits[];
  /** Those of a region, filled with the first candidate of the region. */
  readonly storesByRegion: Map<string | undefined, readonly StoreTraits[]>;
}

interface TransferSource {
  readonly address: string;
  readonly cost: number;
}

export function createTransferPlanner(
  options: TransferPlannerOptions,
): TransferPlanner {
  const { clock, cache, stores, regions, maySave = () => true } = options;
  const requestedSaves = new Map<string, Milliseconds>();
  const members = new Map<string, RendezvousMember>();
  let lastLocations: Locations | undefined;

  function isSameRegion(zone: string, replica: Replica): boolean {
    return regions.get(zone) === regions.get(replica.entry.zone);
  }

  function distanceFactor(zone: string, replica: Replica): number {
    if (zone === replica.entry.zone) return 1;
    return isSameRegion(zone, replica)
      ? CROSS_ZONE_FACTOR
      : CROSS_REGION_FACTOR;
  }

  function listStores(
    { isOpen = () => true }: TransferRequest,
  ): readonly StoreTraits[] {
    return stores().filter(({ zone }) => isOpen(zone));
  }

  /** Locates the parts once for all candidates of a placement. */
  function locate(request: TransferRequest): Locations {
    const { salt, shared, peers } = request;
    const known = lastLocations;
    if (
      known !== undefined && known.salt === salt && known.shared === shared &&
      known.peers === peers
    ) return known;
    const reachable = listStores(request);
    const parts = shared.map((part): PartLocation => {
      const holders = new Set(cache.holdersOf(salt, part));
      const saveTargets = new Map<string, string | undefined>();
      if (holders.size === 0) return { stores: [], replicas: [], saveTargets };
      return {
        saveTargets,
        stores: reachable.filter(({ address }) => holders.has(address)),
        replicas: peers.filter(({ entry }) => holders.has(entry.id)),
      };
    });
    const storesByRegion = new Map();
    lastLocations = { salt, shared, peers, parts, reachable, storesByRegion };
    return lastLocations;
  }

  /** Stores in the region of the replica. */
  function listStoresNear(
    { entry }: Replica,
    { reachable, storesByRegion }: Locations,
  ): readonly StoreTraits[] {
    const region = regions.get(entry.zone);
    const known = storesByRegion.get(region);
    if (known !== undefined) return known;
    const found = reachable.filter(({ zone }) => regions.get(zone) === region);
    storesByRegion.set(region, found);
    return found;
  }

  /**
   * Finds the nearest holder of the part. Within the region, stores are
   * preferred to replicas.
   */
  function findSource(
    part: PromptPart,
    location: PartLocation,
    request: TransferRequest,
  ): TransferSource | undefined {
    if (location.stores.length + location.replicas.length === 0) return;
    const { replica, mayUseStores } = request;
    const rate = options.prefillRate(replica.entry.service);
    const holdingStores = mayUseStores ? location.stores : [];
    const sameRegion = holdingStores.filter(({ zone }) =>
      isSameRegion(zone, replica)
    );
    if (sameRegion.length > 0) return findCheapest(sameRegion.map(fromStore));
    const replicas = location.replicas.filter((peer) =>
      peer.entry.id !== replica.entry.id &&
      isSameRegion(peer.entry.zone, replica)
    );
    if (replicas.length > 0) return findCheapest(replicas.map(fromReplica));
    if (part.tokens < MIN_CROSS_REGION_FETCH) return undefined;
    return findCheapest(holdingStores.map(fromStore));

    function fromStore(store: StoreTraits): TransferSource {
      const { address, zone, startDelay, tokensPerMillisecond } = store;
      const transfer = part.tokens / tokensPerMillisecond;
      const time = startDelay + transfer * distanceFactor(zone, replica);
      return { address, cost: time * rate };
    }

    function fromReplica(
      { entry: { address, zone } }: Replica,
    ): TransferSource {
      const time = part.tokens / REPLICA_LINK_TOKENS_PER_MILLISECOND *
        distanceFactor(zone, replica);
      return { address, cost: time * rate };
    }
  }

  /**
   * Chooses the store for a part that no store in the replica's region holds.
   * All daemons choose the same one, so that the part is written once.
   */
  function findSaveTarget(
    part: PromptPart,
    location: PartLocation,
    { replica, salt }: TransferRequest,
    sameRegionStores: readonly StoreTraits[],
  ): string | undefined {
    if (location.stores.some(({ zone }) => isSameRegion(zone, replica))) {
      return undefined;
    }
    const at = requestedSaves.get(`${salt} ${part.id}`) ?? -Infinity;
    if (clock.monotonic() - at < SAVE_RETRY_DELAY) return undefined;
    const region = regions.get(replica.entry.zone) ?? "";
    if (!location.saveTargets.has(region)) {
      const target = chooseStore(part, sameRegionStores);
      location.saveTargets.set(region, target);
    }
    return location.saveTargets.get(region);
  }

  function chooseStore(
    part: PromptPart,
    candidates: readonly StoreTraits[],
  ): string | undefined {
    const members = candidates
      .filter(({ address, capacity }) =>
        maySave(address) &&
        cache.totalTokens(address) + part.tokens <=
          capacity * USABLE_CAPACITY_SHARE
      )
      .map(({ address, capacity }) => memberOf(address, capacity));
    return findRendezvousHome(part.id, members)?.name;
  }

  /** Returns the same object each time, because its hash is kept with it. */
  function memberOf(name: string, weight: number): RendezvousMember {
    const known = members.get(name);
    if (known?.weight === weight) return known;
    const member = { name, weight };
    members.set(name, member);
    return member;
  }

  function dropExpiredSaves(): void {
    const oldest = clock.monotonic() - SAVE_RETRY_DELAY;
    for (const [key, at] of requestedSaves) {
      if (at > oldest) return;
      requestedSaves.delete(key);
    }
  }

  return new (class extends TransferPlanner {
    override plan(request: TransferRequest): TransferPlan {
      const { replica, salt, shared, mayUseStores } = request;
      const located = locate(request);
      const { parts: locations } = located;
      const sameRegionStores = mayUseStores
        ? listStoresNear(replica, located)
        : [];
      const plans: PartPlan[] = [];
      let fetched: Tokens = 0;
      let recomputed: Tokens = 0;
      let cost = 0;
      let isContiguous = true;
      for (const [index, part] of shared.entries()) {
        const location = locations[index];
        if (location === undefined) break;
        const isHeld = cache.hasPart(replica.entry.id, salt, part);
        const source = isHeld || !isContiguous
          ? undefined
          : findSource(part, location, request);
        const saveTo = findSaveTarget(
          part,
          location,
          request,
          sameRegionStores,
        );
        if (source !== undefined) {
          fetched += part.tokens;
          cost += source.cost;
        } else if (!isHeld) {
          isContiguous = false;
          const isHeldElsewhere =
            location.stores.length + location.replicas.length > 0;
          if (isHeldElsewhere) recomputed += part.tokens;
        }
        plans.push({
          ...(source === undefined ? {} : { fetchFrom: source.address }),
          ...(saveTo === undefined ? {} : { saveTo }),
        });
      }
      const isWorthwhile = fetched >= MIN_FETCH;
      const parts: readonly PartPlan[] = isWorthwhile
        ? plans
        : plans.map(({ saveTo }) => saveTo === undefined ? {} : { saveTo });
      const isEmpty = parts.every((plan) =>
        plan.fetchFrom === undefined && plan.saveTo === undefined
      );
      return {
        ...(isEmpty ? {} : { parts }),
        fetched: isWorthwhile ? fetched : 0,
        recomputed,
        cost: isWorthwhile ? cost : 0,
      };
    }

    override recordSent(
      salt: string,
      shared: readonly PromptPart[],
      plan: readonly PartPlan[],
    ): void {
      dropExpiredSaves();
      plan.forEach(({ saveTo }, at) => {
        const part = shared[at];
        if (saveTo === undefined || part === undefined) return;
        const key = `${salt} ${part.id}`;
        requestedSaves.delete(key);
        requestedSaves.set(key, clock.monotonic());
      });
    }
  })();
}

function findCheapest(
  sources: readonly TransferSource[],
): TransferSource | undefined {
  let best: TransferSource | undefined;
  for (const source of sources) {
    if (best === undefined || source.cost < best.cost) best = source;
  }
  return best;
}
