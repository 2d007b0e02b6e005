/**
 * Parses traces in the JSON Lines format, with one request on each line, and
 * builds the prompts of their chat requests.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";

const common = {
  /** Intended send time in milliseconds since the start of the trace. */
  at: z.number().min(0),
  customer: z.string().min(1),
  /** Longest acceptable wait for the first token or the response, in ms. */
  patience: z.number().positive(),
};

const chat = z.strictObject({
  ...common,
  kind: z.literal("chat"),
  model: z.string().min(1),
  conversation: z.string().min(1),
  /** The prompt; without it, one of `promptTokens` tokens is generated. */
  text: z.string().optional(),
  /** Length of a generated prompt in tokens of four bytes; 1 by default. */
  promptTokens: z.number().int().positive().optional(),
  /** Tokens of the response. */
  tokens: z.number().int().positive(),
  /** Chat requests are always safe to repeat. */
  repeatable: z.literal(true),
  /** True for a request that takes many times longer than others. */
  long: z.boolean().default(false),
});

const call = z.strictObject({
  ...common,
  kind: z.enum(["order", "lookup"]),
  service: z.string().min(1),
  path: z.string().startsWith("/"),
  method: z.enum(["GET", "POST"]),
  /** Idempotency key of an order. */
  key: z.string().min(1).optional(),
  body: z.string().optional(),
  /** True for a call that is safe to run more than once. */
  repeatable: z.boolean(),
});

const schema = z.discriminatedUnion("kind", [chat, call]);

export type TraceRequest = Readonly<z.infer<typeof schema>>;
export type ChatRequest = Extract<TraceRequest, { readonly kind: "chat" }>;
export type CallRequest = Exclude<TraceRequest, ChatRequest>;

/**
 * Parses a trace and sorts its requests by time. The error names the first
 * malformed line and field, or says that the trace is empty.
 */
export function parseTrace(
  text: string,
): Result<readonly TraceRequest[], string> {
  const lines = text.split("\n").map((line) => line.trim());
  const requests: TraceRequest[] = [];
  for (const [index, line] of lines.entries()) {
    if (line === "") continue;
    const parsed = schema.safeParse(parseJson(line));
    if (!parsed.success) {
      return Err(`line ${index + 1}: ${formatIssue(parsed.error)}`);
    }
    requests.push(parsed.data);
  }
  if (requests.length === 0) return Err("the trace has no requests");
  return Ok(requests.sort((left, right) => left.at - right.at));
}

/** Returns undefined when the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Formats the first issue of a validation error with its path. */
export function formatIssue(error: z.ZodError): string {
  const [issue] = error.issues;
  return `${issue?.path.join(".")}: ${issue?.message}`;
}

const BYTES_PER_TOKEN = 4;

/**
 * Creates the prompt of a chat request. The generated text of a later turn
 * begins with that of the earlier turns of its conversation, so that cached
 * blocks of the prefix can be reused. The `[[tokens=N]]` at the end tells engine
 * stand-ins how many tokens to return.
 */
export function createPrompt(request: ChatRequest): string {
  const { text, conversation, promptTokens = 1, tokens } = request;
  const directive = ` [[tokens=${tokens}]]`;
  if (text !== undefined) return text + directive;
  const unit = `${conversation} `;
  const length = promptTokens * BYTES_PER_TOKEN;
  return unit.repeat(Math.ceil(length / unit.length)).slice(0, length) +
    directive;
}
