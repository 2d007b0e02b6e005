/**
 * The chat-completions request: checked, bounded and rendered to one prompt.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Tokens } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const message = z.object({
  role: z.enum(["system", "developer", "user", "assistant", "tool"]),
  content: z.union([z.string(), z.array(textPart), z.null()]).optional(),
});

const schema = z.object({
  model: z.string().min(1),
  messages: z.array(message).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  prompt_cache_key: z.string().max(256).nullish(),
  n: z.literal(1, { error: "only n = 1 is supported" }).nullish(),
});

export interface Chat {
  readonly model: string;
  readonly prompt: string;
  readonly isStreamed: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens: Tokens;
  /** Groups the turns of one conversation. */
  readonly conversation: string | undefined;
}

export function parseChat(
  body: Buffer,
  limit: Tokens,
): Result<Chat, Failure> {
  const value = parseJson(body);
  if (value.isErr()) return value;
  const checked = schema.safeParse(value.value);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    return Err(invalid(issue?.message ?? "invalid", issue?.path.join(".")));
  }
  const chat = checked.data;
  const asked = chat.max_completion_tokens ?? chat.max_tokens ?? limit;
  return Ok({
    model: chat.model,
    prompt: chat.messages.map(renderMessage).join(""),
    isStreamed: chat.stream ?? false,
    includeUsage: chat.stream_options?.include_usage ?? false,
    maxTokens: Math.min(asked, limit),
    conversation: chat.prompt_cache_key ?? undefined,
  });
}

const named = z.object({ model: z.string() });

/** The model that a request names, whether or not the rest is valid. */
export function peekModel(body: Buffer): string {
  const value = parseJson(body).unwrapOr(undefined);
  return named.safeParse(value).data?.model ?? "";
}

function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    return Ok(JSON.parse(body.toString("utf8")) as unknown);
  } catch {
    return Err(invalid("the request body is not valid JSON"));
  }
}

/** Renders a message so that a longer conversation extends a shorter one. */
function renderMessage(part: z.infer<typeof message>): string {
  const content = part.content ?? "";
  const text = typeof content === "string"
    ? content
    : content.map((piece) => piece.text).join("");
  return `<|${part.role}|>${text}\n`;
}

function invalid(text: string, param?: string): Failure {
  return {
    code: "invalid_request",
    ran: "no",
    message: text,
    ...(param === undefined || param === "" ? {} : { param }),
  };
}
