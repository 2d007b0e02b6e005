/**
 * Which parts of a prompt a replica fetches instead of reading them, and which
 * it is to save in a store. Pattern answered: sessions that return after their
 * parts were evicted, or to another replica because theirs is busy.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type { CacheView } from "./cache_view.ts";
import type { StoreTraits } from "./desired_state.ts";
import type { Replica } from "./replica.ts";
import type { PromptPart } from "./work.ts";

/** What is asked of a replica for one part of the prompt. */
export interface PartPlan {
  /** Address of a replica or store that keeps the part. */
  readonly fetchFrom?: string;
  /** Address of the store that is to keep the part. */
  readonly saveTo?: string;
}

export interface TransferPlan {
  /** One for each shared part, in order; absent when nothing is asked. */
  readonly parts?: readonly PartPlan[];
  readonly fetched: Tokens;
  /** Shared tokens that are to be read though they are kept somewhere. */
  readonly again: Tokens;
  /** In prompt tokens that the replica could read meanwhile. */
  readonly cost: number;
}

export interface TransferQuestion {
  readonly replica: Replica;
  readonly salt: string;
  /** The parts that other requests can share. */
  readonly shared: readonly PromptPart[];
  /** Replicas that can be asked for parts. */
  readonly peers: readonly Replica[];
  /** False for weights that are about to be replaced. */
  readonly mayUseStores: boolean;
}

export abstract class TransferPlanner {
  abstract plan(question: TransferQuestion): TransferPlan;
  /** Notes that an attempt with this plan was sent. */
  abstract noteSent(
    salt: string,
    shared: readonly PromptPart[],
    plan: readonly PartPlan[],
  ): void;
}

export interface TransferPlannerOptions {
  readonly clock: Clock;
  readonly cache: CacheView;
  /** Stores that answer. */
  readonly stores: () => readonly StoreTraits[];
  readonly regions: ReadonlyMap<string, string>;
}

/** Prompt tokens that a replica reads in a millisecond, about. */
const READING_SPEED = 100;

/** Tokens of 18 KB that the link of a replica carries in a millisecond. */
const REPLICA_LINK = 600;

/** Transfers between zones take twice as long, between regions ten times. */
const ZONE_FACTOR = 2;
const REGION_FACTOR = 10;

/** A smaller part of another region is read sooner than it is fetched. */
const LEAST_FAR_FETCH: Tokens = 1_000;

/** A smaller part is read sooner than its transfer is arranged. */
const LEAST_FETCH: Tokens = 256;

/** A save that no event has shown by then may be asked for again. */
const SAVE_MEMORY: Milliseconds = 4_000;

/** Part of a store that saves may fill; others save at the same time. */
const USABLE_CAPACITY = 0.96;

/** Totals of the stores are added up anew after this time. */
const TOTAL_AGE: Milliseconds = 500;

interface Source {
  readonly address: string;
  readonly cost: number;
}

export function createTransferPlanner(
  options: TransferPlannerOptions,
): TransferPlanner {
  const { clock, cache, stores, regions } = options;
  const asked = new Map<string, Milliseconds>();
  const totals = new Map<string, { at: Milliseconds; tokens: Tokens }>();

  function isNear(zone: string, replica: Replica): boolean {
    return regions.get(zone) === regions.get(replica.entry.zone);
  }

  function factor(zone: string, replica: Replica): number {
    if (zone === replica.entry.zone) return 1;
    return isNear(zone, replica) ? ZONE_FACTOR : REGION_FACTOR;
  }

  /** The nearest holder of the part; a store before a replica. */
  function findSource(
    part: PromptPart,
    question: TransferQuestion,
  ): Source | undefined {
    const { replica, salt, peers, mayUseStores } = question;
    const keptBy = (holder: string) => cache.keeps(holder, salt, part);
    const kept = mayUseStores
      ? stores().filter(({ address }) => keptBy(address))
      : [];
    const near = kept.filter(({ zone }) => isNear(zone, replica));
    if (near.length > 0) return findLeast(near.map(fromStore));
    const replicas = peers.filter((peer) =>
      peer !== replica && isNear(peer.entry.zone, replica) &&
      keptBy(peer.entry.id)
    );
    if (replicas.length > 0) return findLeast(replicas.map(fromReplica));
    if (part.tokens < LEAST_FAR_FETCH) return undefined;
    return findLeast(kept.map(fromStore));

    function fromStore(store: StoreTraits): Source {
      const { address, zone, startDelay, tokensPerMillisecond } = store;
      const transfer = part.tokens / tokensPerMillisecond;
      const time = startDelay + transfer * factor(zone, replica);
      return { address, cost: time * READING_SPEED };
    }

    function fromReplica({ entry: { address, zone } }: Replica): Source {
      const time = part.tokens / REPLICA_LINK * factor(zone, replica);
      return { address, cost: time * READING_SPEED };
    }
  }

  /** True when any replica or store keeps the part, near or far. */
  function isKept(
    part: PromptPart,
    { salt, peers }: TransferQuestion,
  ): boolean {
    return stores().some(({ address }) => cache.keeps(address, salt, part)) ||
      peers.some(({ entry }) => cache.keeps(entry.id, salt, part));
  }

  function usedOf(address: string): Tokens {
    const now = clock.monotonic();
    const known = totals.get(address);
    if (known !== undefined && now - known.at < TOTAL_AGE) return known.tokens;
    const tokens = cache.total(address);
    totals.set(address, { at: now, tokens });
    return tokens;
  }

  /** The store that is to keep a part that none near the replica keeps. */
  function findSaver(
    part: PromptPart,
    { replica, salt }: TransferQuestion,
    near: readonly StoreTraits[],
  ): string | undefined {
    if (near.some((store) => cache.keeps(store.address, salt, part))) return;
    const at = asked.get(`${salt} ${part.id}`) ?? -Infinity;
    if (clock.monotonic() - at < SAVE_MEMORY) return undefined;
    let best: { readonly address: string; readonly share: number } | undefined;
    for (const { address, zone, capacity } of near) {
      const used = usedOf(address) + part.tokens;
      if (used > capacity * USABLE_CAPACITY) continue;
      const share = used / capacity * factor(zone, replica);
      if (best === undefined || share < best.share) best = { address, share };
    }
    return best?.address;
  }

  function forgetAsked(): void {
    const oldest = clock.monotonic() - SAVE_MEMORY;
    for (const [key, at] of asked) {
      if (at > oldest) return;
      asked.delete(key);
    }
  }

  return new (class extends TransferPlanner {
    override plan(question: TransferQuestion): TransferPlan {
      const { replica, salt, shared, mayUseStores } = question;
      const near = mayUseStores
        ? stores().filter(({ zone }) => isNear(zone, replica))
        : [];
      const plans: PartPlan[] = [];
      let fetched: Tokens = 0;
      let again: Tokens = 0;
      let cost = 0;
      let isContiguous = true;
      for (const part of shared) {
        const isHeld = cache.keeps(replica.entry.id, salt, part);
        const source = isHeld || !isContiguous
          ? undefined
          : findSource(part, question);
        const saveTo = findSaver(part, question, near);
        if (source !== undefined) {
          fetched += part.tokens;
          cost += source.cost;
        } else if (!isHeld) {
          isContiguous = false;
          if (isKept(part, question)) again += part.tokens;
        }
        plans.push({
          ...(source === undefined ? {} : { fetchFrom: source.address }),
          ...(saveTo === undefined ? {} : { saveTo }),
        });
      }
      const isWorthwhile = fetched >= LEAST_FETCH;
      const parts: readonly PartPlan[] = isWorthwhile
        ? plans
        : plans.map(({ saveTo }) => saveTo === undefined ? {} : { saveTo });
      const isEmpty = parts.every((plan) =>
        plan.fetchFrom === undefined && plan.saveTo === undefined
      );
      return {
        ...(isEmpty ? {} : { parts }),
        fetched: isWorthwhile ? fetched : 0,
        again,
        cost: isWorthwhile ? cost : 0,
      };
    }

    override noteSent(
      salt: string,
      shared: readonly PromptPart[],
      plan: readonly PartPlan[],
    ): void {
      forgetAsked();
      plan.forEach(({ saveTo }, at) => {
        const part = shared[at];
        if (saveTo === undefined || part === undefined) return;
        const key = `${salt} ${part.id}`;
        asked.delete(key);
        asked.set(key, clock.monotonic());
      });
    }
  })();
}

function findLeast(sources: readonly Source[]): Source | undefined {
  let best: Source | undefined;
  for (const source of sources) {
    if (best === undefined || source.cost < best.cost) best = source;
  }
  return best;
}
