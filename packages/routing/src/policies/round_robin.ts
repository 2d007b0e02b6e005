/**
 * Baseline policy: round robin, in which each decision starts at the next
 * candidate.
 */
import {
  Placement,
  rankWithoutEstimate,
  selectEligible,
} from "../placement.ts";

export function createRoundRobinPlacement(): Placement {
  let turn = 0;
  return new (class extends Placement {
    override rank(...[request, candidates]: Parameters<Placement["rank"]>) {
      const eligible = selectEligible(request, candidates);
      if (eligible.length === 0) return [];
      const start = turn % eligible.length;
      turn += 1;
      return [...eligible.slice(start), ...eligible.slice(0, start)]
        .map((candidate) => rankWithoutEstimate(candidate, "turn"));
    }
  })();
}
