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
    override choose(...[request, candidates]: Parameters<Placement["choose"]>) {
      const eligible = selectEligible(request, candidates);
      return rankByRendezvous(request.conversation, eligible)
        .map((candidate) => rankWithoutEstimate(candidate, "sticky"));
    }
  })();
}
