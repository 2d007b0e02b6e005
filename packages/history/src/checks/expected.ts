/**
 * The right answers to completions, by the rule of the engine stand-in.
 */
import { expectedAnswer } from "@peridotvalve/standins";
import type { Setup } from "../records.ts";
import type { ChatOperation } from "../records.ts";

/** The tokens of the right answer for each weight version of the run. */
export function listExpected(
  operation: ChatOperation,
  setup: Setup,
): readonly (readonly string[])[] {
  const { customer, maxTokens } = operation;
  // The daemon renders the single message of a call so.
  const prompt = `<|user|>${operation.prompt}\n`;
  return setup.weights.map((weights) =>
    expectedAnswer({ customer, weights, prompt, maxTokens }, {
      tokensPerBlock: setup.tokensPerBlock,
    })
  );
}

/** True when the text is some first tokens of the answer, or all of them. */
export function isBeginning(text: string, tokens: readonly string[]): boolean {
  let rest = text;
  for (const token of tokens) {
    if (rest === "") return true;
    if (!rest.startsWith(token)) return false;
    rest = rest.slice(token.length);
  }
  return rest === "";
}
