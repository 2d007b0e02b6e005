/**
 * Parses chat-completions requests: validates the body, limits the number of
 * tokens and renders the messages to one prompt.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Tokens } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

const messageSchema = z.object({
  role: z.enum(["system", "developer", "user", "assistant", "tool"]),
  content: z.union([z.string(), z.array(textPartSchema), z.null()]).optional(),
});

const requestSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  prompt_cache_key: z.string().max(256).nullish(),
  n: z.literal(1, { error: "only n = 1 is supported" }).nullish(),
});

export interface ChatRequest {
  readonly model: string;
  readonly prompt: string;
  readonly isStreamed: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens: Tokens;
  /** `prompt_cache_key`, which groups the turns of one conversation. */
  readonly conversation: string | undefined;
}

/**
 * Parses a request body. Limits the tokens to `maximumTokens`. Fails with
 * `invalid_request` and the name of the first invalid parameter.
 */
export function parseChatRequest(
  body: Buffer,
  maximumTokens: Tokens,
): Result<ChatRequest, Failure> {
  const json = parseJson(body);
  if (json.isErr()) return json;
  const parsed = requestSchema.safeParse(json.value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return Err(
      invalidRequest(issue?.message ?? "invalid", issue?.path.join(".")),
    );
  }
  const chat = parsed.data;
  const requestedTokens = chat.max_completion_tokens ?? chat.max_tokens ??
    maximumTokens;
  return Ok({
    model: chat.model,
    prompt: chat.messages.map(renderMessage).join(""),
    isStreamed: chat.stream ?? false,
    includeUsage: chat.stream_options?.include_usage ?? false,
    maxTokens: Math.min(requestedTokens, maximumTokens),
    conversation: chat.prompt_cache_key ?? undefined,
  });
}

const modelSchema = z.object({ model: z.string() });

/**
 * The model in a request body whose other fields may be invalid; empty when
 * there is none.
 */
export function peekModel(body: Buffer): string {
  const json = parseJson(body).unwrapOr(undefined);
  return modelSchema.safeParse(json).data?.model ?? "";
}

function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    return Ok(JSON.parse(body.toString("utf8")) as unknown);
  } catch {
    return Err(invalidRequest("the request body is not valid JSON"));
  }
}

/**
 * Renders each message on its own, so that the prompt of a conversation is a
 * prefix of the prompt of its next turn and cached blocks can be reused.
 */
function renderMessage(message: z.infer<typeof messageSchema>): string {
  const content = message.content ?? "";
  const text = typeof content === "string"
    ? content
    : content.map((part) => part.text).join("");
  return `<|${message.role}|>${text}\n`;
}

function invalidRequest(text: string, param?: string): Failure {
  return {
    code: "invalid_request",
    ran: "no",
    message: text,
    ...(param === undefined || param === "" ? {} : { param }),
  };
}
