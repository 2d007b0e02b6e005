/**
 * Typed failures of requests. Each failure states whether the request was
 * executed, so that the caller knows whether a retry is safe.
 */
export * from "./failure.ts";
export * from "./wire.ts";
