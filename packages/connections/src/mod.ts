/**
 * Connector for `undici` that tells a reset from a regular end.
 */
export * from "./connector.ts";
