/**
 * Decides whether this daemon reads a shared source itself. The first readers
 * by rendezvous always do and tell the others; each of the others takes over
 * when it has heard of no read for some time.
 */
import type { Milliseconds } from "@peridotvalve/types";

export interface ReadingDutyOptions {
  /** Daemons that read at the same time. */
  readonly readers: number;
  /** Time without news of a read after which the next daemon takes over. */
  readonly silenceLimit: Milliseconds;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

export interface ReadingDuty {
  /**
   * Returns true when this daemon is to read now.
   *
   * @param rank Place of this daemon among the live ones for the source; 0 is
   * the first.
   * @param age Time since the newest read that this daemon knows of.
   */
  isDue(rank: number, age: Milliseconds): boolean;
}

/**
 * Additional silence after which the next daemon takes over. Without it, all
 * daemons of a zone would read at once when their readers fail.
 */
const RANK_DELAY: Milliseconds = 150;

/** Upper limit of the additional silence of a daemon with a high rank. */
const MAX_RANK_DELAY: Milliseconds = 1_200;

export function createReadingDuty(
  { readers, silenceLimit, random = Math.random }: ReadingDutyOptions,
): ReadingDuty {
  // Drawn once, so that the silence of a daemon has one limit.
  const jitter = random() * RANK_DELAY;

  return {
    isDue(rank, age) {
      if (rank < readers) return true;
      const delay = Math.min((rank - readers) * RANK_DELAY, MAX_RANK_DELAY);
      return age >= silenceLimit + delay + jitter;
    },
  };
}
