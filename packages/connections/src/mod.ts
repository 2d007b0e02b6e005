/**
 * Connections of `undici` that tell a reset from a regular end.
 */
export * from "./connector.ts";
