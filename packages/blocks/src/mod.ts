/**
 * Names of KV cache blocks and their publish and import protocol.
 */
export * from "./names.ts";
export * from "./tokenizer.ts";
export * from "./ranking.ts";
export * from "./transfer.ts";
