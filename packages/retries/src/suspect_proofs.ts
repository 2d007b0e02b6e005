/**
 * Keeps when answers began: the last time for each suspect, which proves the
 * suspect sound then, and the recent times on any suspects, which show that the
 * service was alive. The number of suspects is bounded by dropping the least
 * recently proven ones.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { type Audience, RECORD_EXPIRY } from "./crash_records.ts";

/**
 * Precision of the times at which answers began. Exact times would need memory
 * by the rate of requests.
 */
const ANSWER_PRECISION: Milliseconds = 100;

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
  /** Records an answer on any suspect. Returns true when its time is new. */
  abstract recordAnswer(at: Milliseconds): boolean;
  /**
   * Returns true when an answer on any suspect began after the second crash and
   * before the last. Without one, the crashes of a suspect that was sound
   * before can be those of an outage, and if all requests have the suspect, its
   * refusal would protect no other.
   */
  abstract hasAnswerBetween(crashes: readonly Milliseconds[]): boolean;
  /** Drops answers on any suspects that are older than all records. */
  abstract dropExpired(): void;
}

export function createSuspectProofs(clock: Clock): SuspectProofs {
  /** Intervals of `ANSWER_PRECISION` in which answers on any suspects began. */
  const answerIntervals = new Set<number>();
  /** Least recently proven suspects first. */
  const proofs = new Map<string, Proof>();

  /**
   * Drops many at once, because a map finds its first entry only after a pass
   * over those that were deleted before.
   */
  function dropOldestProofs(): void {
    let excess = PROOFS_DROPPED;
    for (const suspect of proofs.keys()) {
      if (excess <= 0) return;
      proofs.delete(suspect);
      excess -= 1;
    }
  }

  return new (class extends SuspectProofs {
    override find(suspect: string): Proof | undefined {
      return proofs.get(suspect);
    }

    override lastProof(suspect: string): Milliseconds {
      return proofs.get(suspect)?.at ?? -Infinity;
    }

    override recordProof(suspect: string, at: Milliseconds): boolean {
      const known = proofs.get(suspect);
      if (known === undefined) {
        proofs.set(suspect, { at });
      } else {
        if (at <= known.at) return false;
        known.at = at;
        proofs.delete(suspect);
        proofs.set(suspect, known);
      }
      if (proofs.size >= MAX_PROOFS) dropOldestProofs();
      return true;
    }

    override recordAnswer(at: Milliseconds): boolean {
      if (clock.monotonic() - at >= RECORD_EXPIRY) return false;
      const interval = intervalOf(at);
      if (answerIntervals.has(interval)) return false;
      answerIntervals.add(interval);
      return true;
    }

    override hasAnswerBetween(crashes: readonly Milliseconds[]): boolean {
      const second = intervalOf(crashes[1] ?? Infinity);
      const last = intervalOf(crashes.at(-1) ?? -Infinity);
      for (const interval of answerIntervals) {
        if (interval > second && interval < last) return true;
      }
      return false;
    }

    override dropExpired(): void {
      const oldest = intervalOf(clock.monotonic() - RECORD_EXPIRY);
      for (const interval of answerIntervals) {
        if (interval >= oldest) break;
        answerIntervals.delete(interval);
      }
    }
  })();
}

function intervalOf(at: Milliseconds): number {
  return Math.floor(at / ANSWER_PRECISION);
}
