/**
 * Counters, gauges and quantiles as Prometheus text.
 */
export * from "./histogram.ts";
export * from "./registry.ts";
export { type Labels, OVERFLOW_LABEL } from "./series.ts";
