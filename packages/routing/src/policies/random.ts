/**
 * Baseline policy: a uniformly random order.
 */
import {
  Placement,
  rankWithoutEstimate,
  selectEligible,
} from "../placement.ts";
import type { RandomSource } from "../random_source.ts";

export function createRandomPlacement(random: RandomSource): Placement {
  return new (class extends Placement {
    override rank(...[request, candidates]: Parameters<Placement["rank"]>) {
      return selectEligible(request, candidates)
        .map((candidate) => ({ candidate, draw: random() }))
        .sort((left, right) => left.draw - right.draw)
        .map(({ candidate }) => rankWithoutEstimate(candidate, "random"));
    }
  })();
}
