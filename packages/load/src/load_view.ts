/**
 * Load in flight at each replica: of this daemon, and of its peers from their
 * digests. Totals are updated with each digest, so that a look at a replica
 * costs the same for any number of peers.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type Bytes,
  type Milliseconds,
  type RequestRate,
  SECOND,
  type Tokens,
} from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import {
  createDeltaCopy,
  createDeltaSource,
  type Delta,
  type DeltaCopy,
  type DeltaSource,
} from "./delta_table.ts";
import { replicaKey, type Values } from "./packed.ts";
import { createSharedMemory, type SharedPart } from "./shared_memory.ts";

export interface ReplicaLoad {
  readonly requests: number;
  /** Prompt tokens of requests whose first token has not been received. */
  readonly unread: Tokens;
  /** Memory that the requests need at their full output length. */
  readonly memory: Tokens;
  /** Exponentially decaying sum of the prompt tokens sent to the replica. */
  readonly recentTokens: Tokens;
}

/** Requests per second, averaged over the last seconds. */
export interface PlacementRates {
  readonly own: RequestRate;
  /** Known only of replicas for which the peers share their rates. */
  readonly peers: RequestRate;
}

export interface RequestSize {
  readonly unread: Tokens;
  readonly memory: Tokens;
  /**
   * Parts within `memory` that other requests of this daemon may share. Absent
   * when each request counts in full.
   */
  readonly sharedParts?: readonly SharedPart[];
}

export interface TrackedRequest {
  /** Records that the replica has finished the prefill of the prompt. */
  recordFirstToken(): void;
  end(): void;
}

export abstract class LoadView {
  abstract trackRequest(
    replica: string,
    size: RequestSize,
  ): TrackedRequest;
  /**
   * Tokens of the parts that running requests of this daemon hold at the
   * replica.
   */
  abstract heldByRequests(
    replica: string,
    parts: readonly SharedPart[],
  ): Tokens;
  abstract totalLoad(replica: string): ReplicaLoad;
  abstract localLoad(replica: string): ReplicaLoad;
  /** Rates at which requests were recently placed on the replica. */
  abstract rates(replica: string): PlacementRates;
  /** The next digest for the peers, of at most `limit` bytes of JSON. */
  abstract composeDigest(limit: Bytes): Delta | undefined;
  /** Returns an error and changes nothing if the digest is malformed. */
  abstract applyDigest(peer: string, digest: Delta): Result<void, string>;
  /**
   * Total loads of the replicas in a form that `applyDigest` accepts, of at most
   * `limit` bytes of JSON. Successive calls cover all replicas.
   */
  abstract summarize(
    replicas: Iterable<string>,
    limit: Bytes,
  ): Delta | undefined;
  /** Removes the load of a peer that no longer sends digests. */
  abstract removePeer(peer: string): void;
}

/** Half-life of the sums of recent prompt tokens and requests. */
const RECENT_HALF_LIFE: Milliseconds = 1_500;

/** Half-lives after which a decaying sum counts as 0. */
const FADED_AFTER = 30;

/** Ratio of a decaying sum to the rate of what is added to it. */
const RECENT_TIME: Milliseconds = RECENT_HALF_LIFE / Math.LN2;

/** Recent requests in digests are in these parts of a request. */
const REQUEST_STEP = 0.1;

/** Position of the recent requests in the values of an entry. */
const RATE_INDEX = 4;

/** Step of the recent tokens in digests; a finer one would always change. */
const RECENT_STEP: Tokens = 1_024;

/** Bounds the time for which the load of a lost digest is missing. */
const SWEEP_PERIOD: Milliseconds = 1_000;

const NO_LOAD: ReplicaLoad = {
  requests: 0,
  unread: 0,
  memory: 0,
  recentTokens: 0,
};

interface RecentPlacements {
  readonly tokens: Tokens;
  readonly requests: number;
}

interface DecayingSum extends RecentPlacements {
  readonly at: Milliseconds;
}

const NO_PLACEMENTS: RecentPlacements = { tokens: 0, requests: 0 };

export interface LoadViewOptions {
  /** Returns true when the peers need this daemon's rate for the replica. */
  readonly sharesRate?: (replica: string) => boolean;
}

export function createLoadView(
  clock: Clock,
  { sharesRate = () => false }: LoadViewOptions = {},
): LoadView {
  const localLoads = new Map<string, ReplicaLoad>();
  const recentSums = new Map<string, DecayingSum>();
  const sharedMemory = createSharedMemory();
  const digestSource = createDeltaSource(clock, SWEEP_PERIOD);
  // The receivers change, so each summary is a part of a sweep.
  const summarySource = createDeltaSource(clock, 0);
  const peerCopies = new Map<string, DeltaCopy>();
  /** Sum of the peers' entries by replica key. */
  const peerTotals = new Map<string, ReplicaLoad>();
  /** Sum of the peers' recent requests in steps, by replica key. */
  const peerRequestSteps = new Map<string, number>();

  function recentOf(replica: string): RecentPlacements {
    const known = recentSums.get(replica);
    if (known === undefined) return NO_PLACEMENTS;
    const halfLives = (clock.monotonic() - known.at) / RECENT_HALF_LIFE;
    const left = 2 ** -halfLives;
    return { tokens: known.tokens * left, requests: known.requests * left };
  }

  function recentTokensOf(replica: string): Tokens {
    return recentOf(replica).tokens;
  }

  function add(replica: string, change: ReplicaLoad): void {
    const next = sum(localLoads.get(replica) ?? NO_LOAD, change);
    if (next.requests <= 0) localLoads.delete(replica);
    else localLoads.set(replica, next);
  }

  function replaceInTotal(
    key: string,
    previous: Values | undefined,
    next: Values | undefined,
  ): void {
    const known = peerTotals.get(key) ?? NO_LOAD;
    const total = sum(subtract(known, toLoad(previous)), toLoad(next));
    // Without requests, the rest would be the rounding error of the sums.
    if (total.requests <= 0) peerTotals.delete(key);
    else peerTotals.set(key, total);
    const change = (next?.[RATE_INDEX] ?? 0) - (previous?.[RATE_INDEX] ?? 0);
    if (change === 0) return;
    const steps = (peerRequestSteps.get(key) ?? 0) + change;
    if (steps <= 0) peerRequestSteps.delete(key);
    else peerRequestSteps.set(key, steps);
  }

  function copyOf(peer: string): DeltaCopy {
    const known = peerCopies.get(peer);
    if (known !== undefined) return known;
    const copy = createDeltaCopy(clock, replaceInTotal);
    peerCopies.set(peer, copy);
    return copy;
  }

  function listLocalEntries(): readonly (readonly [string, Values])[] {
    dropFaded();
    const loaded = [...localLoads.keys()];
    const idle = [...recentSums.keys()].filter((replica) =>
      !localLoads.has(replica) && stepsOf(replica) > 0
    );
    return [...loaded, ...idle].map((replica) => {
      const known = localLoads.get(replica) ?? NO_LOAD;
      const recentTokens = recentTokensOf(replica);
      const values = toValues({ ...known, recentTokens });
      const steps = stepsOf(replica);
      return [replicaKey(replica), steps > 0 ? [...values, steps] : values];
    });
  }

  /** Forgets replicas that have had no requests for a while. */
  function dropFaded(): void {
    const oldest = clock.monotonic() - RECENT_HALF_LIFE * FADED_AFTER;
    for (const [replica, { at }] of recentSums) {
      if (at < oldest) recentSums.delete(replica);
    }
  }

  /** Recent requests in steps, if the peers need them. */
  function stepsOf(replica: string): number {
    return sharesRate(replica) ? roundToSteps(recentOf(replica)) : 0;
  }

  function computeTotal(replica: string): ReplicaLoad {
    const own = {
      ...localLoads.get(replica) ?? NO_LOAD,
      recentTokens: recentTokensOf(replica),
    };
    const peers = peerTotals.get(replicaKey(replica));
    return peers === undefined ? own : sum(own, peers);
  }

  return new (class extends LoadView {
    override trackRequest(
      replica: string,
      { unread, memory, sharedParts = [] }: RequestSize,
    ): TrackedRequest {
      const shared = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
      const own = memory - shared;
      const added = own + sharedMemory.add(replica, sharedParts);
      add(replica, { requests: 1, unread, memory: added, recentTokens: 0 });
      const recent = recentOf(replica);
      recentSums.set(replica, {
        at: clock.monotonic(),
        tokens: recent.tokens + unread,
        requests: recent.requests + 1,
      });
      let hasFirstToken = false;
      let hasEnded = false;
      const recordFirstToken = () => {
        if (hasFirstToken) return;
        hasFirstToken = true;
        add(replica, { ...NO_LOAD, unread: -unread });
      };
      return {
        recordFirstToken,
        end() {
          if (hasEnded) return;
          hasEnded = true;
          recordFirstToken();
          const freed = own + sharedMemory.remove(replica, sharedParts);
          add(replica, { ...NO_LOAD, requests: -1, memory: -freed });
        },
      };
    }

    override heldByRequests(
      replica: string,
      parts: readonly SharedPart[],
    ): Tokens {
      return sharedMemory.held(replica, parts);
    }

    override totalLoad(replica: string): ReplicaLoad {
      return computeTotal(replica);
    }

    override localLoad(replica: string): ReplicaLoad {
      return localLoads.get(replica) ?? NO_LOAD;
    }

    override rates(replica: string): PlacementRates {
      const steps = peerRequestSteps.get(replicaKey(replica)) ?? 0;
      return {
        // As the peers know it: a rest that they take for 0 is no share of theirs.
        own: toRate(roundToSteps(recentOf(replica)) * REQUEST_STEP),
        peers: toRate(steps * REQUEST_STEP),
      };
    }

    override composeDigest(limit: Bytes): Delta | undefined {
      replaceEntries(digestSource, listLocalEntries());
      return digestSource.compose(limit);
    }

    override applyDigest(peer: string, digest: Delta): Result<void, string> {
      return copyOf(peer).apply(digest);
    }

    override summarize(
      replicas: Iterable<string>,
      limit: Bytes,
    ): Delta | undefined {
      const loads = [...replicas].map((replica) =>
        [replica, computeTotal(replica)] as const
      ).filter(([, { requests }]) => requests > 0);
      replaceEntries(
        summarySource,
        loads.map(([replica, total]) => [replicaKey(replica), toValues(total)]),
      );
      return summarySource.compose(limit);
    }

    override removePeer(peer: string): void {
      const copy = peerCopies.get(peer);
      if (copy === undefined) return;
      for (const [key, { values }] of copy.entries()) {
        replaceInTotal(key, values, undefined);
      }
      peerCopies.delete(peer);
    }
  })();
}

function replaceEntries(
  source: DeltaSource,
  entries: readonly (readonly [string, Values])[],
): void {
  const present = new Map(entries);
  for (const key of [...source.entries().keys()]) {
    if (!present.has(key)) source.remove(key);
  }
  for (const [key, values] of present) source.set(key, values);
}

function toValues(
  { requests, unread, memory, recentTokens }: ReplicaLoad,
): Values {
  return [requests, unread, memory, Math.round(recentTokens / RECENT_STEP)];
}

function toLoad(values: Values | undefined): ReplicaLoad {
  if (values === undefined) return NO_LOAD;
  const [requests = 0, unread = 0, memory = 0, steps = 0] = values;
  return { requests, unread, memory, recentTokens: steps * RECENT_STEP };
}

function roundToSteps({ requests }: RecentPlacements): number {
  return Math.round(requests / REQUEST_STEP);
}

function toRate(recentRequests: number): RequestRate {
  return recentRequests * SECOND / RECENT_TIME;
}

function sum(left: ReplicaLoad, right: ReplicaLoad): ReplicaLoad {
  return {
    requests: left.requests + right.requests,
    unread: left.unread + right.unread,
    memory: left.memory + right.memory,
    recentTokens: left.recentTokens + right.recentTokens,
  };
}

function subtract(left: ReplicaLoad, right: ReplicaLoad): ReplicaLoad {
  return {
    requests: left.requests - right.requests,
    unread: left.unread - right.unread,
    memory: left.memory - right.memory,
    recentTokens: left.recentTokens - right.recentTokens,
  };
}
