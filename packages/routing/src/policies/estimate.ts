/**
 * Placement by the estimated time to first token, with an additional weight on
 * recomputed work. The choice among the best few within a margin is random and
 * weighted, because several daemons decide at the same time on the same old
 * reports. Candidates with equal estimates are ranked in the rendezvous order
 * of the conversation, so that all daemons agree on a replica.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { PrefixIndex } from "../prefix_index.ts";
import type {
  Candidate,
  PlacementRequest,
  RankedCandidate,
} from "../candidate.ts";
import { createEstimator } from "../estimator.ts";
import type { LinkBudget } from "../link_budget.ts";
import { Placement, selectEligible } from "../placement.ts";
import type { RandomSource } from "../random_source.ts";
import { rankByRendezvous } from "@peridotvalve/rendezvous";

export interface EstimateOptions {
  readonly prefixIndex: PrefixIndex;
  readonly link: LinkBudget;
  readonly random: RandomSource;
  /** Where this daemon runs. */
  readonly origin: Origin;
  /** One-way latency between availability zones of a region. */
  readonly zoneLatency: Milliseconds;
  /** One-way latency between regions. */
  readonly regionLatency: Milliseconds;
  /**
   * Width of the band of near-best candidates, as a fraction of the best cost.
   */
  readonly margin?: number;
  /** Maximum candidates in the weighted random choice. */
  readonly choices?: number;
}

export interface Origin {
  readonly availabilityZone: string;
  readonly region: string;
}

/** About the relative error of estimates; a wider band increases latency. */
const DEFAULT_MARGIN = 0.1;

/** Minimum width of the band; smaller differences are network noise. */
const MINIMUM_BAND: Milliseconds = 5;

const DEFAULT_CHOICES = 3;

/**
 * Additional weight of recomputed work, which delays later requests and evicts
 * other prefixes. In `measure_placement.ts` with seeds 11 to 13, weights from 4
 * to 8 give about the same time to first token, and 0 gives about three times
 * the median of 4.
 */
const RECOMPUTE_WEIGHT = 4;

/** Estimates within this difference count as equal. */
const TIE_TOLERANCE: Milliseconds = 1;

export function createEstimatePlacement(options: EstimateOptions): Placement {
  const estimator = createEstimator(options);
  const margin = options.margin ?? DEFAULT_MARGIN;
  const choices = options.choices ?? DEFAULT_CHOICES;

  return new (class extends Placement {
    override rank(
      request: PlacementRequest,
      candidates: readonly Candidate[],
    ): readonly RankedCandidate[] {
      const eligible = selectEligible(request, candidates);
      const inOrder = rankByRendezvous(request.conversation, eligible);
      const ranked = estimator.estimateAll(request, inOrder);
      const sorted = sortByEstimate(ranked);
      const near = listNearBest(sorted, { margin, choices });
      return moveToFront(sorted, drawByWeight(near, options.random));
    }
  })();
}

/** The sort is stable, so equal estimates keep their rendezvous order. */
function sortByEstimate(
  ranked: readonly RankedCandidate[],
): readonly RankedCandidate[] {
  const roundedCost = (entry: RankedCandidate) =>
    Math.round(costOf(entry) / TIE_TOLERANCE);
  return [...ranked].sort((left, right) =>
    roundedCost(left) - roundedCost(right)
  );
}

interface WeightedIndex {
  readonly index: number;
  readonly weight: number;
}

/**
 * The candidates for the weighted random choice. Of several equal estimates
 * only the first in rendezvous order is included.
 */
function listNearBest(
  sorted: readonly RankedCandidate[],
  options: { readonly margin: number; readonly choices: number },
): readonly WeightedIndex[] {
  const best = sorted[0];
  if (best === undefined) return [];
  const band = Math.max(MINIMUM_BAND, costOf(best) * options.margin);
  const near: WeightedIndex[] = [];
  let previous = Number.NEGATIVE_INFINITY;
  for (const [index, entry] of sorted.entries()) {
    const excess = costOf(entry) - costOf(best);
    if (excess > band || near.length === options.choices) break;
    if (costOf(entry) - previous <= TIE_TOLERANCE) continue;
    previous = costOf(entry);
    near.push({ index, weight: Math.exp(-2 * Math.max(0, excess) / band) });
  }
  return near;
}

function drawByWeight(
  entries: readonly WeightedIndex[],
  random: RandomSource,
): number {
  if (entries.length <= 1) return entries[0]?.index ?? 0;
  const total = entries.reduce((sum, entry) => sum + entry.weight, 0);
  let rest = random() * total;
  for (const entry of entries) {
    rest -= entry.weight;
    if (rest < 0) return entry.index;
  }
  return entries[0]!.index;
}

function moveToFront(
  sorted: readonly RankedCandidate[],
  index: number,
): readonly RankedCandidate[] {
  const chosen = sorted[index];
  if (chosen === undefined || index === 0) return sorted;
  return [chosen, ...sorted.filter((entry) => entry !== chosen)];
}

/**
 * Cost by which candidates are ranked: the estimate plus the delay for others.
 */
function costOf(entry: RankedCandidate): Milliseconds {
  return entry.estimate + RECOMPUTE_WEIGHT * entry.parts.recompute;
}
