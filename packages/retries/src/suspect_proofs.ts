/**
 * Keeps when answers began: the last time for each suspect, which proves the
 * suspect sound then, and the recent times on any suspects, which show that the
 * service was alive. The number of suspects is bounded by dropping the least
 * recently proven ones.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { type Audience, DETAIL_EXPIRY } from "./crash_records.ts";
import { groupOf, isRequest } from "./suspects.ts";

/**
 * Precision of the times at which answers began. Exact times would need memory
 * by the rate of requests.
 */
const ANSWER_PRECISION: Milliseconds = 100;

/** Suspects that are kept as common to all answers of an interval. */
export const MAX_COMMON = 128;

/** Proofs of parts, and as many of requests, which are seldom repeated. */
const MAX_PROOFS = 4_096;
const PROOFS_DROPPED = 512;

/** The last report of a suspect's proof to one audience. */
export interface ProofReport {
  readonly at: Milliseconds;
  readonly proof: Milliseconds;
  /** Number of reports of this proof. */
  readonly rounds: number;
}

export interface Proof {
  at: Milliseconds;
  /** The last report to each audience; absent before the first. */
  told?: Partial<Record<Audience, ProofReport>>;
}

export abstract class SuspectProofs {
  abstract find(suspect: string): Proof | undefined;
  /** Time of the last answer on a suspect; `-Infinity` if none is known. */
  abstract lastProof(suspect: string): Milliseconds;
  /** Records an answer on a suspect. Returns true when it is the last one. */
  abstract recordProof(suspect: string, at: Milliseconds): boolean;
  /**
   * Records an answer that began on suspects of a group. Returns true when that
   * is news for the group.
   */
  abstract recordAnswer(
    group: string,
    at: Milliseconds,
    suspects: readonly string[],
  ): boolean;
  /**
   * Returns true when an answer without the suspect, but on others of its
   * group, began after the second crash and before the last. Without one, the
   * crashes of a suspect that was sound before can be those of an outage, and
   * if all requests have the suspect, its refusal would protect no other.
   */
  abstract hasAnswerBetween(
    suspect: string,
    crashes: readonly Milliseconds[],
  ): boolean;
  /** Drops answers on any suspects that are older than all records. */
  abstract dropExpired(): void;
}

export function createSuspectProofs(clock: Clock): SuspectProofs {
  /**
   * Intervals of `ANSWER_PRECISION` in which answers began, by group, with the
   * suspects that all answers of the interval have in common, of those that the
   * first one names first.
   */
  const answerIntervals = new Map<string, Map<number, readonly string[]>>();
  /** Least recently proven suspects first. */
  const partProofs = new Map<string, Proof>();
  const requestProofs = new Map<string, Proof>();

  function proofsFor(suspect: string): Map<string, Proof> {
    return isRequest(suspect) ? requestProofs : partProofs;
  }

  /**
   * Drops many at once, because a map finds its first entry only after a pass
   * over those that were deleted before.
   */
  function dropOldest(proofs: Map<string, Proof>): void {
    let excess = PROOFS_DROPPED;
    for (const suspect of proofs.keys()) {
      if (excess <= 0) return;
      proofs.delete(suspect);
      excess -= 1;
    }
  }

  return new (class extends SuspectProofs {
    override find(suspect: string): Proof | undefined {
      return proofsFor(suspect).get(suspect);
    }

    override lastProof(suspect: string): Milliseconds {
      return proofsFor(suspect).get(suspect)?.at ?? -Infinity;
    }

    override recordProof(suspect: string, at: Milliseconds): boolean {
      const proofs = proofsFor(suspect);
      const known = proofs.get(suspect);
      if (known === undefined) {
        proofs.set(suspect, { at });
      } else {
        if (at <= known.at) return false;
        known.at = at;
        proofs.delete(suspect);
        proofs.set(suspect, known);
      }
      if (proofs.size >= MAX_PROOFS) dropOldest(proofs);
      return true;
    }

    override recordAnswer(
      group: string,
      at: Milliseconds,
      suspects: readonly string[],
    ): boolean {
      if (clock.monotonic() - at >= DETAIL_EXPIRY) return false;
      const interval = intervalOf(at);
      const intervals = answerIntervals.get(group) ?? new Map();
      answerIntervals.set(group, intervals);
      const known: readonly string[] | undefined = intervals.get(interval);
      const own = new Set(suspects);
      const common = known?.filter((one) => own.has(one)) ??
        suspects.slice(0, MAX_COMMON);
      intervals.set(interval, common);
      return common.length !== known?.length;
    }

    override hasAnswerBetween(
      suspect: string,
      crashes: readonly Milliseconds[],
    ): boolean {
      const second = intervalOf(crashes[1] ?? Infinity);
      const last = intervalOf(crashes.at(-1) ?? -Infinity);
      const intervals = answerIntervals.get(groupOf(suspect)) ?? [];
      for (const [interval, common] of intervals) {
        const isBetween = interval > second && interval < last;
        if (isBetween && !common.includes(suspect)) return true;
      }
      return false;
    }

    override dropExpired(): void {
      const oldest = intervalOf(clock.monotonic() - DETAIL_EXPIRY);
      for (const [group, intervals] of answerIntervals) {
        for (const interval of intervals.keys()) {
          if (interval < oldest) intervals.delete(interval);
        }
        if (intervals.size === 0) answerIntervals.delete(group);
      }
    }
  })();
}

function intervalOf(at: Milliseconds): number {
  return Math.floor(at / ANSWER_PRECISION);
}
