/**
 * Scheduling decisions about requests and replicas, without input or output.
 */
export * from "./answer_times.ts";
export * from "./cache_journal.ts";
export * from "./cache_group.ts";
export * from "./cache_view.ts";
export * from "./choice.ts";
export * from "./desired_state.ts";
export * from "./eligibility.ts";
export type { Forecast } from "./mixed_prompts.ts";
export * from "./placement.ts";
export * from "./prefill_rates.ts";
export * from "./replica.ts";
export * from "./transfers.ts";
export * from "./placement_queue.ts";
export * from "./weights.ts";
export * from "./dispatch_request.ts";
