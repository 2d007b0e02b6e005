/**
 * Placement of requests on replicas: the placement policies, an index of cached
 * prefixes, the budget of the region link and detection of slow replicas. This
 * package does no input or output.
 */
export * from "./prefix_index.ts";
export * from "./candidate.ts";
export * from "./link_budget.ts";
export { countRequests, Placement, selectEligible } from "./placement.ts";
export * from "./policies/estimate.ts";
export * from "./policies/least_load.ts";
export * from "./policies/random.ts";
export * from "./policies/round_robin.ts";
export * from "./policies/sticky.ts";
export * from "./random_source.ts";
export * from "./slowness.ts";
export * from "./zone_scope.ts";
