/**
 * Baseline policy: fewest running and waiting requests according to the newest
 * report. Like a simple load balancer, it ignores dispatches that no report
 * includes yet.
 */
import {
  Placement,
  rankWithoutEstimate,
  selectEligible,
} from "../placement.ts";
import type { Candidate } from "../candidate.ts";

export function createLeastLoadPlacement(): Placement {
  return new (class extends Placement {
    override rank(...[request, candidates]: Parameters<Placement["rank"]>) {
      return [...selectEligible(request, candidates)]
        .sort((left, right) => loadOf(left) - loadOf(right))
        .map((candidate) =>
          rankWithoutEstimate(candidate, `load ${loadOf(candidate)}`)
        );
    }
  })();
}

function loadOf(candidate: Candidate): number {
  const reported = candidate.reported;
  return reported === undefined ? 0 : reported.running + reported.waiting;
}
