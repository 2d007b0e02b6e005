/**
 * Computes the expected answers of completions as the engine stand-in does.
 */
import { expectedAnswer } from "@peridotvalve/standins";
import type { Setup } from "../records.ts";
import type { ChatOperation } from "../records.ts";

/** Lists the tokens of the expected answer for each weight version of the run. */
export function listExpectedAnswers(
  operation: ChatOperation,
  setup: Setup,
): readonly (readonly string[])[] {
  const { customer, maxTokens } = operation;
  // The prompt that a daemon renders from a single user message.
  const prompt = `<|user|>${operation.prompt}\n`;
  return setup.weights.map((weights) =>
    expectedAnswer({ customer, weights, prompt, maxTokens }, {
      tokensPerBlock: setup.tokensPerBlock,
    })
  );
}

/** Whether the text consists of the first tokens of the answer, or all of them. */
export function isPrefix(text: string, tokens: readonly string[]): boolean {
  let rest = text;
  for (const token of tokens) {
    if (rest === "") return true;
    if (!rest.startsWith(token)) return false;
    rest = rest.slice(token.length);
  }
  return rest === "";
}
