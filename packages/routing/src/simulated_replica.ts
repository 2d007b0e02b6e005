/**
 * A replica in the discrete event simulation of `measure_placement.ts`. Prefill
 * is serial, decoding is concurrent, and the cache keeps the most recently used
 * prompts.
 */
import { type Milliseconds, SECOND, type Tokens } from "@peridotvalve/types";
import type { Candidate, PlacementRequest } from "./candidate.ts";

/** One request that was assigned to a replica. */
export interface Assignment {
  readonly daemon: number;
  readonly at: Milliseconds;
  readonly start: Milliseconds;
  /** Time from the arrival to the first token. */
  readonly firstToken: Milliseconds;
  readonly tokens: Tokens;
  readonly recomputed: Tokens;
}

export interface SimulatedReplica {
  readonly name: string;
  /**
   * The replica as a daemon sees it: an old report and its own later
   * dispatches.
   */
  view(now: Milliseconds, daemon: number): Candidate;
  assign(
    request: PlacementRequest,
    options: { readonly now: Milliseconds; readonly daemon: number },
  ): Assignment;
  countWaiting(now: Milliseconds): number;
}

const PREFILL_TOKENS_PER_SECOND = 10_000;
const DECODE_TIME = 2 * SECOND;
const REPORT_INTERVAL = 1 * SECOND;
const REPORT_AGE = 1 * SECOND;
const SLOTS = 16;

/**
 * Prompts in one replica's cache; the group caches about half of all prompts.
 */
const CACHED_PROMPTS = 24;

export function createSimulatedReplica(
  name: string,
  place: { readonly availabilityZone: string; readonly region: string },
): SimulatedReplica {
  const cache = new Set<string>();
  let assignments: readonly Assignment[] = [];
  let busyUntil: Milliseconds = 0;

  function useCache(conversation: string): boolean {
    const hit = cache.delete(conversation);
    cache.add(conversation);
    const [oldest] = cache;
    if (cache.size > CACHED_PROMPTS) cache.delete(oldest!);
    return hit;
  }

  /**
   * The newest report that has arrived: taken at a multiple of the interval, at
   * least 1 s ago.
   */
  function report(now: Milliseconds) {
    const at = Math.floor((now - REPORT_AGE) / REPORT_INTERVAL) *
      REPORT_INTERVAL;
    const known = assignments.filter((entry) => entry.at < at);
    const waiting = known.filter((entry) => entry.start > at);
    const running = known.filter((entry) =>
      entry.start <= at && entry.at + entry.firstToken + DECODE_TIME > at
    );
    return {
      at,
      running: running.length,
      waiting: waiting.length,
      queuedTokens: sumTokens(waiting),
    };
  }

  return {
    name,
    view(now: Milliseconds, daemon: number): Candidate {
      const { at, ...reported } = report(now);
      const later = assignments.filter((entry) =>
        entry.at >= at && entry.daemon === daemon
      );
      return {
        name,
        ...place,
        weights: "w1",
        state: "ready",
        weight: 1,
        slots: SLOTS,
        prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
        reported: { ...reported, age: now - at },
        unreported: { requests: later.length, tokens: sumTokens(later) },
        health: "healthy",
        probeDue: false,
      };
    },

    assign(request, { now, daemon }): Assignment {
      const cached = request.blocks.length * request.tokensPerBlock;
      const saved = useCache(request.conversation) ? cached : 0;
      const recomputed = request.promptTokens - saved;
      const start = Math.max(now, busyUntil);
      busyUntil = start + recomputed / PREFILL_TOKENS_PER_SECOND * SECOND;
      const tokens = request.promptTokens;
      const firstToken = busyUntil - now;
      const entry = { daemon, at: now, start, firstToken, tokens, recomputed };
      const oldest = now - REPORT_AGE - REPORT_INTERVAL - DECODE_TIME;
      assignments = [
        ...assignments.filter((old) => old.at + old.firstToken > oldest),
        entry,
      ];
      return entry;
    },

    countWaiting(now: Milliseconds): number {
      return assignments.filter((entry) => entry.start > now).length;
    },
  };
}

function sumTokens(entries: readonly Assignment[]): Tokens {
  return entries.reduce((sum, entry) => sum + entry.recomputed, 0);
}
