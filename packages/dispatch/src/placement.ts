/**
 * Chooses the replica for an attempt by the work queued before it: prompt
 * tokens to prefill, for this request and those ahead of it, and memory.
 *
 * The cost function covers three load patterns: sessions that return to the
 * replica that still caches their parts, bursts that fill one replica while
 * others are idle, and replicas that change their weights.
 */
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import {
  findRendezvousHome,
  type RendezvousMember,
} from "@peridotvalve/rendezvous";
import type { ReplicaLoad } from "@peridotvalve/load";
import { createCandidateSample } from "./candidate_sample.ts";
import type { Choice, PlacementOptions } from "./choice.ts";
import { type Barrier, createEligibility } from "./eligibility.ts";
import { type Replica, type ReplicaEntry, softwareOf } from "./replica.ts";
import {
  type DispatchRequest,
  priorityOf,
  type PromptMetadata,
  type PromptPart,
} from "./dispatch_request.ts";
import { createTimedChoice } from "./timed_choice.ts";
import type { WeightTargets } from "./weights.ts";

export abstract class Placement {
  /**
   * Returns the cheapest replica with free capacity that is not excluded, or
   * undefined when none has capacity now.
   */
  abstract choose(
    request: DispatchRequest,
    excluded: ReadonlySet<string>,
  ): Choice | undefined;
  /**
   * Returns false when no replica can take the request, however long it waits.
   */
  abstract hasCandidates(
    request: DispatchRequest,
    excluded: ReadonlySet<string>,
  ): boolean;
  /**
   * Least time from a placement to the first event; 0 when it is not estimated.
   */
  abstract leastTime(request: DispatchRequest): Milliseconds;
  /** Replicas that can take the request, now or after a wait. */
  abstract candidates(
    request: DispatchRequest,
    excluded: ReadonlySet<string>,
  ): readonly ReplicaEntry[];
  /** Returns true while the replica is in a zone that the request may use. */
  abstract mayUse(request: DispatchRequest, entry: ReplicaEntry): boolean;
  /**
   * Returns a check for a request that waits: it returns true when an evacuation
   * has left no replica that can take the request. It costs something only when
   * the evacuated zones have changed.
   */
  abstract watchCandidates(
    request: DispatchRequest,
    excluded: ReadonlySet<string>,
  ): () => boolean;
  /** What keeps the request from replicas of its service, if anything does. */
  abstract barrierOf(request: DispatchRequest): Barrier | undefined;
}

/** Twice the planned replicas. */
const MAX_MEMBERS = 1_500;

// Costs are in prompt tokens that a replica could prefill instead.

/** Each running request slows down every step of the batch. */
const RUNNING_REQUEST_COST = 120;

/** Traffic to another zone or region is charged by the byte. */
const OTHER_ZONE_COST = 150;
const OTHER_REGION_COST = 900;

/**
 * Makes all daemons prefer the same replica for a new session, unless that
 * replica is busier than others.
 */
const AFFINITY_BONUS = 600;

/**
 * Share of the shared tokens that the home of a session is expected to hold,
 * although this daemon does not know it, because it follows no replicas.
 */
const UNKNOWN_CACHE_SHARE = 0.5;

/** A response on old weights loses a fifth of its value. */
const OLD_WEIGHTS_COST = 3_000;

/** Prefilling a prompt slightly delays each request that runs beside it. */
const PREFILL_DELAY_SHARE = 0.05;
const MAX_DELAYED_REQUESTS = 40;

/**
 * Recomputing tokens that are cached elsewhere takes prefill time that new
 * prompts need.
 */
const RECOMPUTED_TOKEN_COST = 1.5;

/** Streams stall on a replica that prefills many prompts. */
const RECENT_PREFILL_SHARE = 0.1;

/**
 * Maximum number of tokens that a replica may still have to prefill when a
 * prompt is sent to it, by the rank of the prompt. Ranks beyond the last entry
 * use the last entry.
 */
const MAX_PENDING_PREFILL: readonly Tokens[] = [40_000, 30_000, 24_000];

/** A replica without memory for the request would preempt another one. */
const NO_MEMORY_COST = 40_000;

/** Share of the memory that running requests may use. */
const USABLE_MEMORY_SHARE = 0.92;

/** A request beyond the slots of a replica waits until another one ends. */
const QUEUED_REQUEST_WAIT: Milliseconds = 35;

/** Costs for plain services, in requests in flight. */
const PLAIN_REQUEST_COST = 1;
const PLAIN_OTHER_ZONE_COST = 0.6;
const PLAIN_OTHER_REGION_COST = 1.6;

export function createPlacement(options: PlacementOptions): Placement {
  const { replicas, load, cache, weights, topology, memoryOf } = options;
  const { transfers, random = Math.random, hasRoom = () => true } = options;
  const { eligibility = createEligibility(topology) } = options;
  const sample = createCandidateSample({ topology, random });
  const members = new Map<string, RendezvousMember>();
  const isTimed = options.mixedPrompts ?? (() => false);
  const timedChoice = createTimedChoice({
    ...{ placement: options, classifyDistance },
    saltOf: (request, model, version) =>
      saltOf(request, model, version, labelOf(request)),
  });

  /** Returns the same object each time, because its hash is kept with it. */
  function memberOf({ entry: { id } }: Replica): RendezvousMember {
    const known = members.get(id);
    if (known !== undefined) return known;
    if (members.size >= MAX_MEMBERS) members.clear();
    const member = { name: id, weight: 1 };
    members.set(id, member);
    return member;
  }

  function classifyDistance(zone: string): "zone" | "region" | "other" {
    if (zone === topology.zone) return "zone";
    const own = topology.regions.get(topology.zone);
    return topology.regions.get(zone) === own ? "region" : "other";
  }

  /** Replicas that hold the session's part on the newest weights. */
  function findHolders(
    request: DispatchRequest,
    { model }: PromptMetadata,
    part: PromptPart | undefined,
  ): ReadonlySet<string> {
    if (part === undefined) return new Set();
    const version = Math.max(1, weights.target(model));
    const salt = saltOf(request, model, version, labelOf(request));
    return new Set(cache.holdersOf(salt, part));
  }

  function labelOf(request: DispatchRequest): string | undefined {
    return eligibility.scopeOf(request)?.label;
  }

  /** All choices start here, so that none is made beyond the gate. */
  function listUsable(request: DispatchRequest): readonly Replica[] {
    const { service, software } = request;
    const isOpen = eligibility.gateOf(request);
    return isOpen === undefined
      ? replicas.usable(service, software)
      : replicas.usable(service, software, ({ zone }) => isOpen(zone));
  }

  /** Check of the replicas at which a request may start now. */
  function startGate(
    { service, software, route }: DispatchRequest,
  ): (entry: ReplicaEntry) => boolean {
    const { mayBegin } = options;
    if (mayBegin === undefined || software !== undefined) return () => true;
    if (!route.isResumable) return () => true;
    const known = new Map<string, boolean>();
    return (entry) => {
      const version = softwareOf(entry);
      const mayStart = known.get(version) ?? mayBegin(service, version);
      known.set(version, mayStart);
      return mayStart;
    };
  }

  function choosePlain(usable: readonly Replica[]): Choice | undefined {
    const choices = sample.choose(usable, () => false).map((replica) => {
      const current = load.totalLoad(replica.entry.id);
      const distance = classifyDistance(replica.entry.zone);
      const distanceCost = distance === "zone"
        ? 0
        : distance === "region"
        ? PLAIN_OTHER_ZONE_COST
        : PLAIN_OTHER_REGION_COST;
      const cost = current.requests * PLAIN_REQUEST_COST + distanceCost +
        random() / 4;
      return { replica, cost, load: current };
    });
    const cheapest = findCheapest(choices);
    if (cheapest === undefined) return undefined;
    const candidates = usable.length;
    return {
      ...cheapest,
      unread: 0,
      held: 0,
      fetched: 0,
      memory: 0,
      candidates,
    };
  }

  function chooseForPrompt(
    request: DispatchRequest,
    prompt: PromptMetadata,
    usable: readonly Replica[],
  ): Choice | undefined {
    const shared = prompt.parts.slice(0, -1);
    const session = shared.at(-1)?.id ?? request.id;
    const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
    const knowsCaches = options.knowsCaches?.() ?? true;
    const homes = sample.homes(usable, {
      knowsCaches,
      ...(isTimed() ? { session } : {}),
    });
    const preferred = findRendezvousHome(session, homes.map(memberOf))?.name;
    const usableMemory = memoryOf(request.service) * USABLE_MEMORY_SHARE;
    const rank = Math.min(MAX_PENDING_PREFILL.length - 1, priorityOf(request));
    const maxPending = MAX_PENDING_PREFILL[rank] ?? 0;
    const holders = findHolders(request, prompt, shared.at(-1));
    const label = labelOf(request);
    const isOpen = eligibility.gateOf(request);
    const candidates = sample.choose(
      usable,
      (id) => id === preferred || holders.has(id),
    );
    if (isTimed()) {
      return timedChoice.choose({
        ...{ request, prompt, usable, candidates, shared, sharedTokens },
        ...{ preferred, holders, knowsCaches, rank, usableMemory, isOpen },
      });
    }
    const choices = candidates.flatMap((replica) => {
      const version = replica.weights.get(prompt.model) ?? 1;
      if (!weights.mayStart(prompt.model, version)) return [];
      const current = load.totalLoad(replica.entry.id);
      const { requests, unread, memory } = current;
      if (unread > maxPending) return [];
      const needed = prompt.promptTokens + prompt.outputTokens;
      // An idle replica is not skipped: it refuses a prompt that exceeds its
      // memory itself.
      if (rank > 0 && requests > 0 && memory + needed > usableMemory) return [];
      return evaluate(replica, version, current);
    });
    return findCheapest(choices);

    /** What the home of the session is worth beyond its known cache. */
    function computeHomeBonus(available: Tokens): number {
      const missing = Math.max(0, sharedTokens - available);
      return AFFINITY_BONUS + (knowsCaches ? 0 : missing * UNKNOWN_CACHE_SHARE);
    }

    function evaluate(
      replica: Replica,
      version: number,
      current: ReplicaLoad,
    ): Choice {
      const { id, zone } = replica.entry;
      const salt = saltOf(request, prompt.model, version, label);
      const held = cache.held(id, salt, prompt.parts);
      const isCurrent = version >= weights.target(prompt.model);
      const plan = transfers.plan({
        replica,
        salt,
        shared,
        peers: usable,
        mayUseStores: isCurrent,
        ...(isOpen === undefined ? {} : { isOpen }),
      });
      const fetched = plan.fetched;
      const unread = Math.max(1, prompt.promptTokens - held - fetched);
      const memory = prompt.promptTokens + prompt.outputTokens;
      const distance = classifyDistance(zone);
      const cost = current.unread + unread +
        plan.cost +
        plan.recomputed * RECOMPUTED_TOKEN_COST +
        current.requests * RUNNING_REQUEST_COST +
        countQueued(replica, current) * QUEUED_REQUEST_WAIT *
          options.prefillRate(request.service) +
        unread * Math.min(MAX_DELAYED_REQUESTS, current.requests) *
          PREFILL_DELAY_SHARE +
        current.recentTokens * RECENT_PREFILL_SHARE +
        (distance === "zone"
          ? 0
          : distance === "region"
          ? OTHER_ZONE_COST
          : OTHER_REGION_COST) +
        (id === preferred ? -computeHomeBonus(held + fetched) : 0) +
        (isCurrent ? 0 : OLD_WEIGHTS_COST) +
        (current.memory + memory > usableMemory ? NO_MEMORY_COST : 0);
      return {
        replica,
        version,
        salt,
        ...(plan.parts === undefined ? {} : {
          // The last part belongs to this request alone and is not transferred.
          parts: [...plan.parts, {}],
        }),
        fetched,
        held,
        load: current,
        unread,
        memory,
        cost,
        candidates: usable.length,
      };
    }
  }

  function isCandidate(
    { entry, weights: present }: Replica,
    { prompt }: DispatchRequest,
    excluded: ReadonlySet<string>,
  ): boolean {
    return !excluded.has(entry.id) &&
      (prompt === undefined ||
        weights.mayStart(prompt.model, present.get(prompt.model) ?? 1));
  }

  return new (class extends Placement {
    override choose(
      request: DispatchRequest,
      excluded: ReadonlySet<string>,
    ): Choice | undefined {
      const mayStart = startGate(request);
      const usable = listUsable(request).filter(({ entry }) =>
        !excluded.has(entry.id) && mayStart(entry) && hasRoom(entry)
      );
      return request.prompt === undefined
        ? choosePlain(usable)
        : chooseForPrompt(request, request.prompt, usable);
    }

    override hasCandidates(
      request: DispatchRequest,
      excluded: ReadonlySet<string>,
    ): boolean {
      return listUsable(request).some((replica) =>
        isCandidate(replica, request, excluded)
      );
    }

    override leastTime({ service, prompt }: DispatchRequest): Milliseconds {
      if (prompt === undefined || !isTimed()) return 0;
      const own = prompt.parts.at(-1)?.tokens ?? 0;
      return own / options.prefillRate(service);
    }

    override candidates(
      request: DispatchRequest,
      excluded: ReadonlySet<string>,
    ): readonly ReplicaEntry[] {
      return listUsable(request)
        .filter((replica) => isCandidate(replica, request, excluded))
        .map(({ entry }) => entry);
    }

    override mayUse(request: DispatchRequest, { zone }: ReplicaEntry): boolean {
      return eligibility.gateOf(request)?.(zone) ?? true;
    }

    override watchCandidates(
      request: DispatchRequest,
      excluded: ReadonlySet<string>,
    ): () => boolean {
      let checked = eligibility.evacuated();
      let isBarred = false;
      return () => {
        const present = eligibility.evacuated();
        if (present === checked) return isBarred;
        checked = present;
        isBarred = !this.hasCandidates(request, excluded);
        return isBarred;
      };
    }

    override barrierOf(request: DispatchRequest): Barrier | undefined {
      if (eligibility.gateOf(request) === undefined) return undefined;
      const zones = replicas.all()
        .filter(({ entry }) => entry.service === request.service)
        .map(({ entry }) => entry.zone);
      return eligibility.barrierOf(request, zones);
    }
  })();
}

/** Requests that would wait for a slot of the replica, with one more. */
function countQueued({ entry }: Replica, { requests }: ReplicaLoad): number {
  return entry.slots === 0 ? 0 : Math.max(0, requests + 1 - entry.slots);
}

/**
 * Composes the salt under which replicas cache the parts of a prompt. It
 * differs between weight versions, between isolated customers and all others,
 * and between the groups that these others form. With a label of the regions to
 * which a request is restricted, only requests of the same label share parts.
 */
export function saltOf(
  { customer, cacheGroup = "" }: Pick<
    DispatchRequest,
    "customer" | "cacheGroup"
  >,
  model: string,
  version: number,
  regions?: string,
): string {
  const shared = `${model}@${version}`;
  const scope = regions === undefined ? shared : `${shared}~${regions}`;
  if (customer?.isIsolated === true) return `${scope}/${customer.name}`;
  return cacheGroup === "" ? scope : `${scope}~${cacheGroup}`;
}

const SALT_PATTERN = /^(.*?)@(\d+)(?:[/~]|$)/;

/**
 * Returns true when the salt belongs to a version below the one named for its
 * model. While no version has been named, a model has only its first version,
 * and none of its salts is outdated. With `age`, the newer version must have
 * been named at least that long ago.
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

/**
 * Returns the model and version of a salt, or undefined when `saltOf` did not
 * compose it.
 */
export function readSalt(
  salt: string,
): { readonly model: string; readonly version: number } | undefined {
  const [, model, version] = SALT_PATTERN.exec(salt) ?? [];
  if (model === undefined || version === undefined) return undefined;
  return { model, version: Number(version) };
}

function findCheapest<Option extends { readonly cost: number }>(
  options: readonly Option[],
): Option | undefined {
  let best: Option | undefined;
  for (const option of options) {
    if (best === undefined || option.cost < best.cost) best = option;
  }
  return best;
}
