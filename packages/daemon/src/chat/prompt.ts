/**
 * Token counts of prompts, as the block names use them.
 */
import { createByteTokenizer } from "@peridotvalve/blocks";
import type { Tokens } from "@peridotvalve/types";

export const TOKENIZER = createByteTokenizer();

export function countTokens(text: string): Tokens {
  return TOKENIZER.countTokens(text);
}
