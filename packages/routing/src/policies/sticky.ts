/**
 * Baseline policy: the rendezvous order of the conversation, regardless of
 * load.
 */
import {
  Placement,
  rankWithoutEstimate,
  selectEligible,
} from "../placement.ts";
import { rankByRendezvous } from "@peridotvalve/rendezvous";

export function createStickyPlacement(): Placement {
  return new (class extends Placement {
    override rank(...[request, candidates]: Parameters<Placement["rank"]>) {
      const eligible = selectEligible(request, candidates);
      return rankByRendezvous(request.conversation, eligible)
        .map((candidate) => rankWithoutEstimate(candidate, "sticky"));
    }
  })();
}
