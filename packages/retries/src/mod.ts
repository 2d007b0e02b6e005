/**
 * Decisions about further attempts of a request: what a failure allows, retry
 * and hedge budgets, the hedge race, resuming a stream, and backoff. Nothing
 * here does input or output.
 */
export * from "./attempt.ts";
export * from "./backoff.ts";
export * from "./budget.ts";
export * from "./decision.ts";
export * from "./hedge.ts";
export * from "./latency_window.ts";
export * from "./relay.ts";
