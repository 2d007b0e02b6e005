/**
 * Counters, gauges and quantiles in the Prometheus text format.
 */
export * from "./histogram.ts";
export * from "./registry.ts";
export { type Labels, OVERFLOW_LABEL } from "./series.ts";
