/**
 * The interface of a placement policy and the rules common to all policies.
 */
import type {
  Candidate,
  PlacementRequest,
  RankedCandidate,
} from "./candidate.ts";
import { isZoneBarred } from "./zone_scope.ts";

export abstract class Placement {
  /**
   * The eligible candidates in the order in which to try them; empty if none is
   * eligible. Each call advances the state of round-robin and random policies.
   */
  abstract rank(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly RankedCandidate[];
}

/** Candidates on which the request may run. */
export function selectEligible(
  request: PlacementRequest,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  return candidates.filter((candidate) =>
    candidate.state === "ready" &&
    candidate.weights === request.weights &&
    !isZoneBarred(request, candidate.availabilityZone) &&
    !request.excluded?.includes(candidate.name)
  );
}

/**
 * Running and waiting requests by the replica's report and later dispatches.
 */
export function countRequests(candidate: Candidate): number {
  const reported = candidate.reported;
  const known = reported === undefined
    ? 0
    : reported.running + reported.waiting;
  return known + candidate.unreported.requests;
}

/** Ranks a candidate for a policy that makes no estimate. */
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
