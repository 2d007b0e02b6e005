/**
 * Trace replay and its measures.
 */
export * from "./run/check.ts";
export * from "./run/measures.ts";
export * from "./run/outcomes.ts";
export * from "./run/replay.ts";
export * from "./run/report.ts";
export type { SentRequest as Sent } from "./run/send.ts";
export * from "./trace/generate.ts";
export { parseTrace, type TraceRequest } from "./trace/trace.ts";
