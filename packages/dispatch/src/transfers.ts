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

/** Transfers between zones take twice as long. */
const ZONE_FACTOR = 2;

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
    return zone === replica.entry.zone ? 1 : ZONE_FACTOR;
  }

  function findSource(
    part: PromptPart,
    question: TransferQuestion,
    near: readonly StoreTraits[],
  ): Source | undefined {
    const { replica, salt, peers } = question;
    let best: Source | undefined;
    for (const store of near) {
      if (!cache.keeps(store.address, salt, part)) continue;
      const time = store.startDelay +
        part.tokens / store.tokensPerMillisecond * factor(store.zone, replica);
      const cost = time * READING_SPEED;
      if (best === undefined || cost < best.cost) {
        best = { address: store.address, cost };
      }
    }
    if (best !== undefined) return best;
    for (const peer of peers) {
      const { id, address, zone } = peer.entry;
      if (peer === replica || !isNear(zone, replica)) continue;
      if (!cache.keeps(id, salt, part)) continue;
      const time = part.tokens / REPLICA_LINK * factor(zone, replica);
      const cost = time * READING_SPEED;
      if (best === undefined || cost < best.cost) best = { address, cost };
    }
    return best;
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
      let cost = 0;
      let isContiguous = true;
      for (const part of shared) {
        const isHeld = cache.keeps(replica.entry.id, salt, part);
        const source = isHeld || !isContiguous
          ? undefined
          : findSource(part, question, near);
        const saveTo = findSaver(part, question, near);
        if (source !== undefined) {
          fetched += part.tokens;
          cost += source.cost;
        } else if (!isHeld) isContiguous = false;
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
