/**
 * Bodies of chat-completions responses, complete and as stream chunks.
 */
import type { Tokens } from "@peridotvalve/types";

const MILLISECONDS_PER_SECOND = 1_000;

export interface Completion {
  readonly id: string;
  readonly model: string;
  readonly created: number;
}

export interface Usage {
  readonly promptTokens: Tokens;
  readonly cachedTokens: Tokens;
  readonly completionTokens: Tokens;
}

export function createCompletion(id: string, model: string): Completion {
  const created = Math.floor(Date.now() / MILLISECONDS_PER_SECOND);
  return { id: `chatcmpl-${id}`, model, created };
}

/** One stream chunk as JSON; the first one has the role. */
export function toChunk(
  completion: Completion,
  delta: { readonly role?: "assistant"; readonly content?: string },
  finish: string | null = null,
): string {
  return JSON.stringify({
    ...commonFieldsOf(completion, "chat.completion.chunk"),
    choices: [{ index: 0, delta, logprobs: null, finish_reason: finish }],
  });
}

/** The final stream chunk, for requests with `include_usage`, as JSON. */
export function toUsageChunk(completion: Completion, usage: Usage): string {
  return JSON.stringify({
    ...commonFieldsOf(completion, "chat.completion.chunk"),
    choices: [],
    usage: toUsage(usage),
  });
}

/** The body of a response that is not streamed. */
export function toCompletionBody(
  completion: Completion,
  answer: { readonly text: string; readonly finish: string },
  usage: Usage,
): unknown {
  return {
    ...commonFieldsOf(completion, "chat.completion"),
    choices: [{
      index: 0,
      message: { role: "assistant", content: answer.text, refusal: null },
      logprobs: null,
      finish_reason: answer.finish,
    }],
    usage: toUsage(usage),
  };
}

function commonFieldsOf(completion: Completion, object: string) {
  return {
    id: completion.id,
    object,
    created: completion.created,
    model: completion.model,
  };
}

function toUsage(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}
