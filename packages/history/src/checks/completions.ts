/**
 * Checks guarantees 1, 3 and 4: each completion is the whole answer to its own
 * prompt, with no token repeated, skipped or taken from another request. The
 * answer is a function of the contents of all cached blocks that it used, so a
 * wrong block results in a wrong answer.
 */
import {
  type Call,
  callsOf,
  type History,
  type Violation,
} from "../history.ts";
import type { ChatOperation, LookUpOperation } from "../records.ts";
import { isPrefix, listExpectedAnswers } from "./expected.ts";

const SUCCESS = 200;

export function checkCompletions(history: History): readonly Violation[] {
  return [
    ...callsOf(history, "chat").flatMap((call) => checkChat(history, call)),
    ...callsOf(history, "look-up").flatMap(checkLookUp),
  ];
}

function checkChat(
  history: History,
  call: Call<ChatOperation>,
): readonly Violation[] {
  const { outcome, operation, id } = call;
  if (outcome === undefined || outcome.type === "changed") return [];
  if (outcome.type === "answered" && outcome.status !== SUCCESS) return [];
  const expected = listExpectedAnswers(operation, history.setup);
  const name = `completion ${id} (${operation.customer} at ` +
    `${operation.daemon})`;
  if (!expected.some((tokens) => isPrefix(outcome.text, tokens))) {
    return [{
      rule: "a completion has the tokens of its own answer in order",
      message: `${name} has ${JSON.stringify(outcome.text.slice(0, 60))}, ` +
        `expected ${JSON.stringify(expected[0]?.slice(0, 6).join(""))}`,
    }];
  }
  const isWhole = expected.some((tokens) => tokens.join("") === outcome.text);
  if (outcome.type === "answered" && outcome.done && !isWhole) {
    return [{
      rule: "a completion that ends as complete is whole",
      message: `${name} ended after ${outcome.text.length} characters`,
    }];
  }
  return [];
}

function checkLookUp(call: Call<LookUpOperation>): readonly Violation[] {
  const { outcome, operation, id } = call;
  if (outcome?.type !== "answered" || outcome.status !== SUCCESS) return [];
  const body = JSON.parse(outcome.text) as { readonly item?: string };
  if (body.item === operation.item) return [];
  return [{
    rule: "a look-up gets its own answer",
    message: `look-up ${id} of ${operation.item} got ${body.item}`,
  }];
}
