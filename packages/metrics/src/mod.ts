/**
 * Counters, gauges and quantiles as Prometheus text.
 */
export {};
