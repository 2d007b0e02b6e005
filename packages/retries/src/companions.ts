/**
 * Tells a deadly suspect from its companions: suspects that stand in the same
 * crashes and were condemned with it, as none of them was answered before. A
 * request with some of them, but not all, tells them apart. If it is answered,
 * those that it has are sound; if it crashes its replica, those that it lacks
 * are.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { countedRecords, type Observations } from "./crash_attribution.ts";
import { SAME_TIME } from "./trials.ts";

/**
 * Crashes after its verdict at which a suspect is no longer let through. Each
 * clears a companion, but a suspect may have many.
 */
const MAX_CRASHES = 2;

/** Time in which requests that were sent before a verdict can crash replicas. */
const IN_FLIGHT: Milliseconds = 1_000;

/** A verdict for which requests are refused now. */
export interface CompanionVerdict {
  readonly suspect: string;
  /** Time of the first crash that led to the verdict. */
  readonly since: Milliseconds;
  /** Time at which this daemon got to know the verdict. */
  readonly knownAt: Milliseconds;
  readonly isTried: boolean;
}

/**
 * Returns true when a request tells each of its condemned suspects from a
 * companion, and no other request does so now. The times of the verdicts count
 * beside the crashes, as a daemon that started since knows these only.
 */
export function canTellApart(
  observations: Observations,
  condemned: readonly CompanionVerdict[],
  suspects: readonly string[],
): boolean {
  const own = new Set(suspects);
  const absent = condemned.filter(({ suspect }) => !own.has(suspect));
  if (absent.length === 0) return false;
  return condemned.filter(({ suspect }) => own.has(suspect))
    .every((verdict) => {
      const { suspect, knownAt, isTried } = verdict;
      if (isTried) return false;
      const crashes = countedRecords(observations, suspect);
      const later = crashes.filter(({ at }) => at > knownAt + IN_FLIGHT);
      return later.length < MAX_CRASHES &&
        absent.some(({ suspect: other, since }) =>
          Math.abs(since - verdict.since) <= SAME_TIME &&
          crashes.every((record) => record.suspects.has(other))
        );
    });
}
