/**
 * Placement strategies by the policy that a configuration selects.
 */
import {
  createEstimatePlacement,
  createLeastLoadPlacement,
  createRandomPlacement,
  createRoundRobinPlacement,
  createStickyPlacement,
  type LinkBudget,
  type Placement,
  type PrefixIndex,
  type RandomSource,
} from "@peridotvalve/routing";
import type { Milliseconds, Policy } from "@peridotvalve/types";

// One-way latencies from docs/design.md, section 3.
const ZONE_LATENCY: Milliseconds = 1.5;
const REGION_LATENCY: Milliseconds = 9.5;

export interface Placements {
  of(policy: Policy["placement"]): Placement;
}

export interface PlacementsOptions {
  readonly prefixIndex: PrefixIndex;
  readonly link: LinkBudget;
  readonly random: RandomSource;
  readonly origin: {
    readonly availabilityZone: string;
    readonly region: string;
  };
}

export function createPlacements(options: PlacementsOptions): Placements {
  const { random } = options;
  const placements = {
    "estimate": createEstimatePlacement({
      ...options,
      zoneLatency: ZONE_LATENCY,
      regionLatency: REGION_LATENCY,
    }),
    "random": createRandomPlacement(random),
    "round-robin": createRoundRobinPlacement(),
    "least-load": createLeastLoadPlacement(),
    "sticky": createStickyPlacement(),
  } as const;
  return { of: (policy) => placements[policy] };
}
