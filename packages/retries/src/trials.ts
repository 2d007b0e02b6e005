/**
 * Decides when a daemon may try a suspect again after its verdict has lapsed. A
 * trial can crash a replica, so the daemons take turns, and requests that come
 * together at several of them are one trial.
 */
import type { Milliseconds } from "@peridotvalve/types";
import {
  countedRecords,
  listCrashes,
  type Observations,
} from "./crash_attribution.ts";

/**
 * Duration of a turn. Within it, a trial is placed, crashes a replica and is told
 * of.
 */
const TURN: Milliseconds = 4_000;

/**
 * Times of one verdict differ by less between daemons. Without this tolerance,
 * the delays of datagrams would add up while daemons adopt it from each other.
 * No trial begins this close to the end of a turn.
 */
export const SAME_TIME: Milliseconds = 500;

/**
 * Multiple of the longest interval between the crashes of a suspect, and the
 * least time, after which all daemons may try it at once. Requests with it that
 * come together should have met a daemon that had the turn before.
 */
const OPEN_INTERVALS = 16;
const MIN_OPEN_TIME: Milliseconds = 16_000;

export interface TrialOptions extends Observations {
  /** As in `CrashEvidenceOptions`. */
  readonly hasTurn: (turn: string, share: number) => boolean;
}

/** Returns true when a verdict has lapsed and it is this daemon's turn. */
export function hasTrialTurn(
  options: TrialOptions,
  { suspect, until }: {
    readonly suspect: string;
    /** End of the verdict, on the monotonic clock. */
    readonly until: Milliseconds;
  },
): boolean {
  const lapsedFor = options.clock.monotonic() - until;
  const isWithin = lapsedFor % TURN >= SAME_TIME &&
    lapsedFor % TURN < TURN - SAME_TIME;
  if (!isWithin) return false;
  const share = Math.min(1, lapsedFor / openTime(options, suspect));
  return options.hasTurn(`${Math.floor(lapsedFor / TURN)} ${suspect}`, share);
}

/**
 * Time after a verdict in which ever more daemons have the turn. The more seldom
 * a suspect crashes replicas, the longer are requests with it awaited.
 */
function openTime(observations: Observations, suspect: string): Milliseconds {
  const crashes = listCrashes(suspect, countedRecords(observations, suspect));
  const intervals = crashes.slice(1).map((at, one) =>
    at - (crashes[one] ?? at)
  );
  if (intervals.length === 0) return Infinity;
  return Math.max(MIN_OPEN_TIME, Math.max(...intervals) * OPEN_INTERVALS);
}
