/**
 * Names of the blocks of a prompt. Each name is a hash over the customer, the
 * weight version and all tokens up to the end of the block, so that equal names
 * mean equal KV contents and customers never share a name.
 */
import { createHash } from "node:crypto";
import type { BlockName, Tokens } from "@peridotvalve/types";
import type { Tokenizer } from "./tokenizer.ts";

export interface BlockScheme {
  readonly customer: string;
  readonly weights: string;
  readonly tokensPerBlock: Tokens;
  readonly tokenizer: Tokenizer;
}

export interface PromptBlocks {
  /** The whole blocks, from the start of the prompt. */
  readonly names: readonly BlockName[];
  /** Tokens of the prompt, including the rest. */
  readonly tokens: Tokens;
  /** The text behind the last whole block. */
  readonly rest: string;
}

// Separates these hashes from other uses of SHA-256 over the same text.
const SEED_LABEL = "peridotvalve block names 1";

/** Splits a prompt into whole blocks and names them. */
export function listBlocks(prompt: string, scheme: BlockScheme): PromptBlocks {
  const { customer, weights, tokensPerBlock, tokenizer } = scheme;
  const tokens = tokenizer.splitText(prompt);
  const whole = Math.floor(tokens.length / tokensPerBlock);
  const names: BlockName[] = [];
  let chain = hashParts([SEED_LABEL, customer, weights]);
  for (let index = 0; index < whole; index += 1) {
    const start = index * tokensPerBlock;
    const part = tokens.slice(start, start + tokensPerBlock);
    chain = hashParts([chain, ...part]);
    names.push({ customer, weights, block: chain });
  }
  const rest = tokens.slice(whole * tokensPerBlock).join("");
  return { names, tokens: tokens.length, rest };
}

/** Hashes a list of strings; the lengths keep different lists apart. */
function hashParts(parts: readonly string[]): string {
  const framed = parts.map((part) => `${part.length}:${part}`).join("");
  return createHash("sha256").update(framed).digest("hex");
}
