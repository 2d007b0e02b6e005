/**
 * Event catalogue, hybrid logical clock, event logger and timeline.
 */
export * from "./catalogue.ts";
export * from "./hybrid_clock.ts";
export * from "./line.ts";
export * from "./logger.ts";
export * from "./record.ts";
export * from "./ring.ts";
export * from "./timeline.ts";
