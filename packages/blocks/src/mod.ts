/**
 * Names KV cache blocks, and publishes and imports them through store VMs.
 */
export * from "./names.ts";
export * from "./tokenizer.ts";
export * from "./ranking.ts";
export * from "./transfer.ts";
