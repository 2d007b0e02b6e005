/**
 * Generates and replays request traces, checks the results and reports them.
 */
export * from "./run/check.ts";
export * from "./run/measures.ts";
export * from "./run/outcomes.ts";
export * from "./run/replay.ts";
export * from "./run/report.ts";
export type { SentRequest } from "./run/send.ts";
export * from "./trace/generate.ts";
export { parseTrace, type TraceRequest } from "./trace/trace.ts";
