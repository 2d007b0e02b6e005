/**
 * Chooses the replica for one attempt of a request by the work that stands
 * before it there: prompt tokens to read, of it and of the requests in front,
 * and memory. Patterns answered: sessions that return to the replica that
 * still holds their parts, bursts that fill one replica while others idle, and
 * replicas that change their weights.
 */
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import { findRendezvousHome } from "@peridotvalve/rendezvous";
import type { CacheView } from "./cache_view.ts";
import type { LoadView, ReplicaLoad } from "./load.ts";
import type { Replica, ReplicaTable } from "./replica.ts";
import { type ModelTerms, priorityOf, type Work } from "./work.ts";
import type { PartPlan, TransferPlanner } from "./transfers.ts";
import type { WeightTargets } from "./weights.ts";

export interface Origin {
  readonly zone: string;
  /** Region by zone. */
  readonly regions: ReadonlyMap<string, string>;
}

export interface Choice {
  readonly replica: Replica;
  /** Version that the request asks for; undefined for plain services. */
  readonly version?: number;
  readonly salt?: string;
  /** One plan for each part, in order; absent when nothing is asked. */
  readonly parts?: readonly PartPlan[];
  /** Prompt tokens that are fetched. */
  readonly fetched: Tokens;
  /** Prompt tokens that the replica has to read. */
  readonly unread: Tokens;
  readonly memory: Tokens;
  /** Prompt tokens that the replica is believed to keep. */
  readonly held: Tokens;
  /** Load of the replica before this request. */
  readonly load: ReplicaLoad;
  readonly cost: number;
  readonly candidates: number;
}

export abstract class Placement {
  /**
   * The best replica with room, without the excluded ones. Undefined means
   * that none has room now.
   */
  abstract choose(
    work: Work,
    excluded: ReadonlySet<string>,
  ): Choice | undefined;
  /** False when no replica can take the request, however long it waits. */
  abstract hasCandidates(work: Work, excluded: ReadonlySet<string>): boolean;
}

export interface PlacementOptions {
  readonly replicas: ReplicaTable;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly weights: WeightTargets;
  readonly origin: Origin;
  readonly memoryOf: (service: string) => Tokens;
  readonly transfers: TransferPlanner;
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
const OLD_WEIGHTS_COST = 3_000;

/** Reading a prompt delays each request that runs beside it a little. */
const DELAY_SHARE = 0.05;
const MAX_DELAYED = 40;

/**
 * Tokens read again that are kept elsewhere cost the time of a replica that
 * new prompts need.
 */
const AGAIN_COST = 1.5;

/** A stream pauses where many prompts are read. */
const PAUSE_SHARE = 0.1;

/**
 * Tokens that a replica may still have to read when a prompt is sent there,
 * by the prompt's rank. Prompts behind the last one share its bound.
 */
const READING_BOUNDS: readonly Tokens[] = [40_000, 30_000, 24_000];

/** A replica without memory for the request would preempt another one. */
const NO_MEMORY_COST = 40_000;

/** Share of the memory that running requests may take. */
const USABLE_MEMORY = 0.92;

/** Plain services: one request in flight counts as one slot. */
const SLOT_COST = 1;
const PLAIN_ZONE_COST = 0.6;
const PLAIN_REGION_COST = 1.6;

export function createPlacement(options: PlacementOptions): Placement {
  const { replicas, load, cache, weights, origin, memoryOf } = options;
  const { transfers } = options;

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
      return { replica, cost, load: load.of(replica.entry.id) };
    });
    const best = leastCost(options);
    if (best === undefined) return undefined;
    const candidates = usable.length;
    return { ...best, unread: 0, held: 0, fetched: 0, memory: 0, candidates };
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
    const rank = Math.min(READING_BOUNDS.length - 1, priorityOf(work));
    const bound = READING_BOUNDS[rank] ?? 0;
    const choices = usable.flatMap((replica) => {
      const version = replica.weights.get(terms.model) ?? 1;
      if (!weights.mayStart(terms.model, version)) return [];
      const { requests, unread, memory } = load.of(replica.entry.id);
      if (unread > bound) return [];
      const needed = terms.promptTokens + terms.outputTokens;
      // A prompt larger than the memory is the replica's to refuse.
      if (rank > 0 && requests > 0 && memory + needed > room) return [];
      return weigh(replica, version);
    });
    return leastCost(choices);

    function weigh(replica: Replica, version: number): Choice {
      const { id, zone } = replica.entry;
      const salt = saltOf(work, terms.model, version);
      const held = cache.held(id, salt, terms.parts);
      const isCurrent = version >= weights.target(terms.model);
      const plan = transfers.plan({
        replica,
        salt,
        shared,
        peers: usable,
        mayUseStores: isCurrent,
      });
      const fetched = plan.fetched;
      const unread = Math.max(1, terms.promptTokens - held - fetched);
      const memory = terms.promptTokens + terms.outputTokens;
      const present = load.of(id);
      const far = distance(zone);
      const cost = present.unread + unread +
        plan.cost +
        plan.again * AGAIN_COST +
        present.requests * RUNNING_COST +
        unread * Math.min(MAX_DELAYED, present.requests) * DELAY_SHARE +
        present.recent * PAUSE_SHARE +
        (far === "zone"
          ? 0
          : far === "region"
          ? OTHER_ZONE_COST
          : OTHER_REGION_COST) +
        (id === home ? -HOME_BONUS : 0) +
        (isCurrent ? 0 : OLD_WEIGHTS_COST) +
        (present.memory + memory > room ? NO_MEMORY_COST : 0);
      return {
        replica,
        version,
        salt,
        ...(plan.parts === undefined ? {} : {
          // The last part is the request's own: nothing is asked for it.
          parts: [...plan.parts, {}],
        }),
        fetched,
        held,
        load: present,
        unread,
        memory,
        cost,
        candidates: usable.length,
      };
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

    override hasCandidates(
      { service, terms }: Work,
      excluded: ReadonlySet<string>,
    ): boolean {
      return replicas.usable(service).some(({ entry, weights: present }) =>
        !excluded.has(entry.id) &&
        (terms === undefined ||
          weights.mayStart(terms.model, present.get(terms.model) ?? 1))
      );
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

const SALT = /^(.*?)@(\d+)(?:\/|$)/;

/**
 * True when the salt is of a version below the one named for its model. A
 * model of which no version was named has only its first one, so that none of
 * its salts is outdated. With an age, the newer version was named that long ago.
 */
export function isOutdatedSalt(
  salt: string,
  weights: WeightTargets,
  age: Milliseconds = 0,
): boolean {
  const known = readSalt(salt);
  return known !== undefined &&
    known.version < weights.target(known.model, age);
}

/** The model and version of a salt; undefined when it is not of this project. */
export function readSalt(
  salt: string,
): { readonly model: string; readonly version: number } | undefined {
  const [, model, version] = SALT.exec(salt) ?? [];
  if (model === undefined || version === undefined) return undefined;
  return { model, version: Number(version) };
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
