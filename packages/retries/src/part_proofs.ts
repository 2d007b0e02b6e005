/**
 * Keeps when answers began: the last time for each part, which proves the part
 * sound then, and the recent times on any parts, which show that the service was
 * alive. The number of parts is bounded by dropping the least recently proven
 * ones.
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

/** The last report of a part's proof to one audience. */
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

export abstract class PartProofs {
  abstract find(part: string): Proof | undefined;
  /** Time of the last answer on a part; `-Infinity` if none is known. */
  abstract lastProof(part: string): Milliseconds;
  /** Records an answer on a part. Returns true when it is the last one. */
  abstract recordProof(part: string, at: Milliseconds): boolean;
  /** Records an answer on any part. Returns true when its time is new. */
  abstract recordAnswer(at: Milliseconds): boolean;
  /**
   * Returns true when an answer on any part began after the second crash and
   * before the last. Without one, the crashes of a part that was sound before
   * can be those of an outage, and if all requests have the part, its refusal
   * would protect no other.
   */
  abstract hasAnswerBetween(crashes: readonly Milliseconds[]): boolean;
  /** Drops answers on any parts that are older than all records. */
  abstract dropExpired(): void;
}

export function createPartProofs(clock: Clock): PartProofs {
  /** Intervals of `ANSWER_PRECISION` in which answers on any parts began. */
  const answerIntervals = new Set<number>();
  /** Least recently proven parts first. */
  const proofs = new Map<string, Proof>();

  /**
   * Drops many at once, because a map finds its first entry only after a pass
   * over those that were deleted before.
   */
  function dropOldestProofs(): void {
    let excess = PROOFS_DROPPED;
    for (const part of proofs.keys()) {
      if (excess <= 0) return;
      proofs.delete(part);
      excess -= 1;
    }
  }

  return new (class extends PartProofs {
    override find(part: string): Proof | undefined {
      return proofs.get(part);
    }

    override lastProof(part: string): Milliseconds {
      return proofs.get(part)?.at ?? -Infinity;
    }

    override recordProof(part: string, at: Milliseconds): boolean {
      const known = proofs.get(part);
      if (known === undefined) {
        proofs.set(part, { at });
      } else {
        if (at <= known.at) return false;
        known.at = at;
        proofs.delete(part);
        proofs.set(part, known);
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
