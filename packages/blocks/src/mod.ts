/**
 * Names of KV cache blocks and their publish and import protocol.
 */
export * from "./names.ts";
export * from "./tokenizer.ts";
