/**
 * The interface of a placement policy and the rules that hold for all of them.
 */
import type {
  Candidate,
  PlacementRequest,
  RankedCandidate,
} from "./candidate.ts";

export abstract class Placement {
  /**
   * The eligible candidates in the order in which to try them; empty when none
   * is eligible. Policies that take turns or chances move on with each call.
   */
  abstract choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly RankedCandidate[];
}

/** Candidates on which the request may run at all. */
export function selectEligible(
  request: PlacementRequest,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  return candidates.filter((candidate) =>
    candidate.state === "ready" &&
    candidate.weights === request.weights &&
    !request.barredZones.includes(candidate.availabilityZone) &&
    !request.excluded?.includes(candidate.name)
  );
}

/** Requests that a replica holds, by its report and by later dispatches. */
export function countRequests(candidate: Candidate): number {
  const reported = candidate.reported;
  const known = reported === undefined
    ? 0
    : reported.running + reported.waiting;
  return known + candidate.unreported.requests;
}

/** A ranked candidate of a policy that makes no estimate. */
export function rankWithoutEstimate(
  candidate: Candidate,
  reason: string,
): RankedCandidate {
  const parts = {
    queue: 0,
    recompute: 0,
    transfer: 0,
    distance: 0,
    caution: 0,
  };
  const kind = "recompute";
  return { candidate, kind, estimate: 0, parts, reason, linkBytes: 0 };
}
