/**
 * Names of the KV cache blocks of a prompt. Each name is a hash over the
 * customer, the weight version and all tokens up to the end of the block, so
 * that equal names mean equal KV contents and customers never share a name.
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
  /** Names of the complete blocks, from the start of the prompt. */
  readonly names: readonly BlockName[];
  /** Tokens of the whole prompt, including those after the last block. */
  readonly tokens: Tokens;
  /** Text after the last complete block. */
  readonly remainder: string;
}

// Domain separation from other SHA-256 hashes over the same text.
const HASH_DOMAIN = "peridotvalve block names 1";

/** Splits a prompt into complete blocks and names them. */
export function splitIntoBlocks(
  prompt: string,
  scheme: BlockScheme,
): PromptBlocks {
  const { customer, weights, tokensPerBlock, tokenizer } = scheme;
  const tokens = tokenizer.splitText(prompt);
  const wholeBlocks = Math.floor(tokens.length / tokensPerBlock);
  const names: BlockName[] = [];
  let chain = hashParts([HASH_DOMAIN, customer, weights]);
  for (let index = 0; index < wholeBlocks; index += 1) {
    const start = index * tokensPerBlock;
    const blockTokens = tokens.slice(start, start + tokensPerBlock);
    chain = hashParts([chain, ...blockTokens]);
    names.push({ customer, weights, block: chain });
  }
  const remainder = tokens.slice(wholeBlocks * tokensPerBlock).join("");
  return { names, tokens: tokens.length, remainder };
}

/** Hashes a list of strings; length prefixes keep different lists distinct. */
function hashParts(parts: readonly string[]): string {
  const framed = parts.map((part) => `${part.length}:${part}`).join("");
  return createHash("sha256").update(framed).digest("hex");
}
