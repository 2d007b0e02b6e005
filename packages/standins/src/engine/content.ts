/**
 * Deterministic block contents, and answers that are computed from them. Every
 * token of an answer depends on the bytes of all blocks used, so that tests
 * detect a wrong block by a wrong answer.
 */
import { createHash } from "node:crypto";
import { createByteTokenizer, splitIntoBlocks } from "@peridotvalve/blocks";
import type { BlockName, Generation } from "@peridotvalve/types";
import { z } from "zod";
import { blockShape } from "./options.ts";

export const tokenizer = createByteTokenizer();

export type Prompt = Pick<
  Generation,
  "customer" | "weights" | "prompt" | "maxTokens"
>;

export interface Answer {
  readonly count: number;
  readonly finish: "stop" | "length";
  token(offset: number): string;
}

const LENGTH_DIRECTIVE = /\[\[tokens=(\d{1,6})\]\]/g;
const shapeSchema = z.object(blockShape);

/** The correct bytes of a block. `length` is in bytes. */
export function computeBlockContent(name: BlockName, length: number): Buffer {
  return createHash("shake256", { outputLength: length })
    .update(JSON.stringify([name.customer, name.weights, name.block]))
    .digest();
}

/**
 * Computes the answer to a prompt from the contents of its blocks. The last
 * `[[tokens=N]]` in the prompt sets the length of the answer, up to
 * `maxTokens`; without one the length is `maxTokens`.
 */
export function createAnswer(
  prompt: Prompt,
  parts: { readonly contents: readonly Buffer[]; readonly remainder: string },
): Answer {
  const hash = createHash("sha256");
  hash.update(
    JSON.stringify([prompt.customer, prompt.weights, parts.remainder]),
  );
  for (const content of parts.contents) hash.update(content);
  const digest = hash.digest("hex");
  const directive = [...prompt.prompt.matchAll(LENGTH_DIRECTIVE)].at(-1)?.[1];
  const requestedTokens = directive === undefined
    ? Infinity
    : Number(directive);
  return {
    count: Math.min(requestedTokens, prompt.maxTokens),
    finish: requestedTokens <= prompt.maxTokens ? "stop" : "length",
    token(offset) {
      const token = createHash("sha256").update(`${digest} ${offset}`);
      return `${token.digest("hex").slice(0, 6)} `;
    },
  };
}

/**
 * The tokens of the correct answer from an engine with the given block shape.
 * Throws when the shape is invalid.
 */
export function expectedAnswer(
  prompt: Prompt,
  shape: z.input<typeof shapeSchema> = {},
): readonly string[] {
  const { tokensPerBlock, blockBytes } = shapeSchema.parse(shape);
  const { customer, weights } = prompt;
  const scheme = { customer, weights, tokensPerBlock, tokenizer };
  const { names, remainder } = splitIntoBlocks(prompt.prompt, scheme);
  const contents = names.map((name) => computeBlockContent(name, blockBytes));
  const answer = createAnswer(prompt, { contents, remainder });
  return Array.from({ length: answer.count }, (_, i) => answer.token(i));
}
