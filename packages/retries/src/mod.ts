/**
 * Decisions about further attempts of a request: retries after failures, retry
 * and hedge budgets, hedge races, stream resumption and backoff. This package
 * does no input or output.
 */
export * from "./attempt.ts";
export * from "./backoff.ts";
export * from "./budget.ts";
export * from "./crash_evidence.ts";
export * from "./decision.ts";
export * from "./hedge.ts";
export * from "./latency_window.ts";
export * from "./relay.ts";
export * from "./software_versions.ts";
export * from "./stream_origins.ts";
export * from "./window_budget.ts";
