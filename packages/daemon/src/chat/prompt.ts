/**
 * The tokenizer for prompts. Block names are derived from its tokens.
 */
import { createByteTokenizer } from "@peridotvalve/blocks";
import type { Tokens } from "@peridotvalve/types";

export const TOKENIZER = createByteTokenizer();

export function countTokens(text: string): Tokens {
  return TOKENIZER.countTokens(text);
}
