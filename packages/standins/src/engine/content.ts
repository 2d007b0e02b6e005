/**
 * Contents of blocks and the answers that depend on them. Each token of an
 * answer depends on all block contents that were used, so that a wrong block
 * makes a visibly wrong answer.
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

/** The bytes of a block that was computed without a fault. */
export function computeBlockContent(name: BlockName, length: number): Buffer {
  return createHash("shake256", { outputLength: length })
    .update(JSON.stringify([name.customer, name.weights, name.block]))
    .digest();
}

/**
 * The answer to a prompt from the contents of its blocks. A prompt with
 * `[[tokens=N]]` has N tokens (its last rule counts), others have `maxTokens`.
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

/** The tokens of the right answer, for engines with the given block shape. */
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
