/**
 * The format of a recorded trace: one JSON line for each request, in the order
 * of their times.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";

const common = {
  /** Milliseconds since the start of the trace. */
  at: z.number().min(0),
  customer: z.string().min(1),
  /** How long the caller waits for the first token or the answer, in ms. */
  patience: z.number().positive(),
};

const chat = z.strictObject({
  ...common,
  kind: z.literal("chat"),
  model: z.string().min(1),
  conversation: z.string().min(1),
  /** The prompt, or its length in tokens of four bytes. */
  text: z.string().optional(),
  promptTokens: z.number().int().positive().optional(),
  /** Tokens of the answer. */
  tokens: z.number().int().positive(),
  /** Chat may always be repeated. */
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
  /** The idempotency key of an order. */
  key: z.string().min(1).optional(),
  body: z.string().optional(),
  repeatable: z.boolean(),
});

const schema = z.discriminatedUnion("kind", [chat, call]);

export type TraceRequest = Readonly<z.infer<typeof schema>>;
export type ChatRequest = Extract<TraceRequest, { readonly kind: "chat" }>;
export type CallRequest = Exclude<TraceRequest, ChatRequest>;

/** Reads a trace; the error names the line. */
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

export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

export function formatIssue(error: z.ZodError): string {
  const [issue] = error.issues;
  return `${issue?.path.join(".")}: ${issue?.message}`;
}

const BYTES_PER_TOKEN = 4;

/**
 * The prompt of a chat request. Texts of one conversation are prefixes of each
 * other, so that a later turn extends an earlier one.
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
