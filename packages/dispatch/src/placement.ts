/**
 * Chooses the replica for one attempt of a request by the work that stands
 * before it there: prompt tokens to read, of it and of the requests in front,
 * and memory. Patterns answered: sessions that return to the replica that
 * still holds their parts, bursts that fill one replica while others idle, and
 * replicas that change their weights.
 */
import type { Tokens } from "@peridotvalve/types";
import { findRendezvousHome } from "@peridotvalve/rendezvous";
import type { CacheView } from "./cache_view.ts";
import type { LoadView } from "./load.ts";
import type { Replica, ReplicaTable } from "./replica.ts";
import type { ModelTerms, Work } from "./work.ts";
import type { WeightTargets } from "./weights.ts";

export interface Origin {
  readonly zone: string;
  /** Region by zone. */
  readonly regions: ReadonlyMap<string, string>;
}

/** Where a missing part of the prompt can be fetched from. */
export interface CacheSource {
  readonly address: string;
  readonly tokens: Tokens;
}

export interface Choice {
  readonly replica: Replica;
  /** Version that the request asks for; undefined for plain services. */
  readonly version?: number;
  readonly salt?: string;
  readonly source?: CacheSource;
  /** Prompt tokens that the replica has to read. */
  readonly unread: Tokens;
  readonly memory: Tokens;
  readonly cost: number;
  readonly candidates: number;
}

export abstract class Placement {
  /** The best replica without the excluded ones. */
  abstract choose(
    work: Work,
    excluded: ReadonlySet<string>,
  ): Choice | undefined;
}

export interface PlacementOptions {
  readonly replicas: ReplicaTable;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly weights: WeightTargets;
  readonly origin: Origin;
  readonly memoryOf: (service: string) => Tokens;
}

// The costs below are in prompt tokens that a replica could read instead.

/** A running request slows each step of the batch. */
const RUNNING_COST = 120;

/** The way through another zone or region is paid by bytes. */
const OTHER_ZONE_COST = 150;
const OTHER_REGION_COST = 900;

/** A new session starts where all daemons expect it, unless it is busier. */
const HOME_BONUS = 600;

/** An answer on old weights loses a fifth of its worth. */
const OLD_WEIGHTS_COST = 4_000;

/** A replica without memory for the request would preempt another one. */
const NO_MEMORY_COST = 40_000;

/** Share of the memory that running requests may take. */
const USABLE_MEMORY = 0.92;

/**
 * Time of a transfer of a cached token against reading it: a link of 88 Gbit/s
 * carries 600 tokens of 18 KB in the time in which 100 are read.
 */
const FETCH_COST = 0.17;

/** Transfers between zones take twice as long. */
const ZONE_FETCH_FACTOR = 2;

/** A smaller part is read sooner than its transfer is arranged. */
const LEAST_FETCH: Tokens = 400;

/** Plain services: one request in flight counts as one slot. */
const SLOT_COST = 1;
const PLAIN_ZONE_COST = 0.6;
const PLAIN_REGION_COST = 1.6;

export function createPlacement(options: PlacementOptions): Placement {
  const { replicas, load, cache, weights, origin, memoryOf } = options;

  function distance(zone: string): "zone" | "region" | "other" {
    if (zone === origin.zone) return "zone";
    const own = origin.regions.get(origin.zone);
    return origin.regions.get(zone) === own ? "region" : "other";
  }

  function choosePlain(usable: readonly Replica[]): Choice | undefined {
    const options = usable.map((replica) => {
      const { requests } = load.of(replica.entry.id);
      const far = distance(replica.entry.zone);
      const way = far === "zone"
        ? 0
        : far === "region"
        ? PLAIN_ZONE_COST
        : PLAIN_REGION_COST;
      const cost = requests * SLOT_COST + way + Math.random() / 4;
      return { replica, cost };
    });
    const best = leastCost(options);
    if (best === undefined) return undefined;
    return { ...best, unread: 0, memory: 0, candidates: usable.length };
  }

  function chooseForPrompt(
    work: Work,
    terms: ModelTerms,
    usable: readonly Replica[],
  ): Choice | undefined {
    const shared = terms.parts.slice(0, -1);
    const session = shared.at(-1)?.id ?? work.id;
    const members = usable.map(({ entry }) => ({ name: entry.id, weight: 1 }));
    const home = findRendezvousHome(session, members)?.name;
    const room = memoryOf(work.service) * USABLE_MEMORY;
    const choices = usable.flatMap((replica) => {
      const version = replica.weights.get(terms.model) ?? 1;
      if (!weights.mayStart(terms.model, version)) return [];
      return weigh(replica, version);
    });
    return leastCost(choices);

    function weigh(replica: Replica, version: number): Choice {
      const { id, zone } = replica.entry;
      const salt = saltOf(work, terms.model, version);
      const held = cache.held(id, salt, terms.parts);
      const source = findSource(replica, salt, held);
      const fetched = source?.tokens ?? 0;
      const unread = Math.max(1, terms.promptTokens - held - fetched);
      const memory = terms.promptTokens + terms.outputTokens;
      const present = load.of(id);
      const far = distance(zone);
      const cost = present.unread + unread +
        fetched * FETCH_COST * ZONE_FETCH_FACTOR +
        present.requests * RUNNING_COST +
        (far === "zone"
          ? 0
          : far === "region"
          ? OTHER_ZONE_COST
          : OTHER_REGION_COST) +
        (id === home ? -HOME_BONUS : 0) +
        (version < weights.target(terms.model) ? OLD_WEIGHTS_COST : 0) +
        (present.memory + memory > room ? NO_MEMORY_COST : 0);
      return {
        replica,
        version,
        salt,
        ...(source === undefined ? {} : { source }),
        unread,
        memory,
        cost,
        candidates: usable.length,
      };
    }

    /** The replica that keeps most beyond what this one keeps itself. */
    function findSource(
      replica: Replica,
      salt: string,
      held: Tokens,
    ): CacheSource | undefined {
      let best: CacheSource | undefined;
      const region = origin.regions.get(replica.entry.zone);
      for (const other of usable) {
        if (other === replica) continue;
        if (origin.regions.get(other.entry.zone) !== region) continue;
        const tokens = cache.held(other.entry.id, salt, shared) - held;
        if (tokens < LEAST_FETCH || tokens <= (best?.tokens ?? 0)) continue;
        best = { address: other.entry.address, tokens };
      }
      return best;
    }
  }

  return new (class extends Placement {
    override choose(
      work: Work,
      excluded: ReadonlySet<string>,
    ): Choice | undefined {
      const usable = replicas.usable(work.service).filter(({ entry }) =>
        !excluded.has(entry.id)
      );
      return work.terms === undefined
        ? choosePlain(usable)
        : chooseForPrompt(work, work.terms, usable);
    }
  })();
}

/**
 * The name under which replicas keep the parts of a prompt. It differs between
 * weight versions, and between isolated customers and all others.
 */
export function saltOf(
  { customer }: Pick<Work, "customer">,
  model: string,
  version: number,
): string {
  const wall = customer?.isIsolated === true ? `/${customer.name}` : "";
  return `${model}@${version}${wall}`;
}

function leastCost<Option extends { readonly cost: number }>(
  options: readonly Option[],
): Option | undefined {
  let best: Option | undefined;
  for (const option of options) {
    if (best === undefined || option.cost < best.cost) best = option;
  }
  return best;
}
