/**
 * Counters, gauges and quantiles as Prometheus text.
 */
export * from "./histogram.ts";
export * from "./registry.ts";
