/**
 * Typed outcomes of requests that did not succeed. Each failure says whether
 * the work ran, so that a caller knows if a repeat is safe.
 */
export * from "./failure.ts";
export * from "./wire.ts";
