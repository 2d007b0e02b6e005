/**
 * Sends one request of a trace and records its result. Latencies are measured
 * from the intended send time, so that they include any delay of the replay
 * client itself.
 */
import { createParser } from "eventsource-parser";
import { type Dispatcher, request as sendHttp } from "undici";
import { z } from "zod";
import {
  type ChatRequest,
  createPrompt,
  parseJson,
  type TraceRequest,
} from "../trace/trace.ts";

/** The result of one request; times in milliseconds. */
export interface SentRequest {
  readonly request: TraceRequest;
  readonly daemon: string;
  /** Intended send time since the start of the replay. */
  readonly intended: number;
  /** Delay between the intended and the actual send time. */
  readonly sendDelay: number;
  /** Time to first token; undefined when no token arrived. */
  readonly firstToken: number | undefined;
  /** Time until the response ended or the request failed. */
  readonly elapsed: number;
  /** HTTP status; 0 without a response. */
  readonly status: number;
  /** True when the whole response arrived, a stream with at least one token. */
  readonly completed: boolean;
  /** Whether the work ran, as stated by an error response. */
  readonly ran: string | undefined;
  /** Error code of an error response. */
  readonly code: string | undefined;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly tokens: number;
  readonly requestId: string | undefined;
}

/** Destination and schedule of one request. */
export interface Target {
  /** Address of the daemon as `host:port`. */
  readonly daemon: string;
  /** API key of the customer. */
  readonly key: string;
  readonly dispatcher: Dispatcher;
  /** Intended send time on the clock of `performance.now()`. */
  readonly due: number;
  /** Start of the replay on the same clock. */
  readonly start: number;
}

/** A request is aborted this long after the caller's patience has run out. */
const ABORT_DELAY_MILLISECONDS = 30_000;

const CHAT_CHUNK_SCHEMA = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }).optional(),
  })).optional(),
  usage: z.object({
    prompt_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional(),
  }).nullish(),
  error: z.unknown().optional(),
});

const ERROR_SCHEMA = z.object({
  error: z.object({ code: z.string(), ran: z.string() }),
});

interface Progress {
  firstToken: number | undefined;
  tokens: number;
  promptTokens: number;
  cachedTokens: number;
  completed: boolean;
}

/**
 * Sends the request and waits for its result. Never rejects: a request that
 * fails has a result with `completed: false`.
 */
export async function sendRequest(
  request: TraceRequest,
  target: Target,
): Promise<SentRequest> {
  const sendDelay = Math.max(0, performance.now() - target.due);
  const progress: Progress = {
    firstToken: undefined,
    tokens: 0,
    promptTokens: 0,
    cachedTokens: 0,
    completed: false,
  };
  let status = 0;
  let requestId: string | undefined;
  let refusal: z.infer<typeof ERROR_SCHEMA>["error"] | undefined;
  try {
    const response = await sendHttp(urlOf(request, target), {
      method: request.kind === "chat" ? "POST" : request.method,
      dispatcher: target.dispatcher,
      headers: headersOf(request, target),
      body: bodyOf(request),
      signal: AbortSignal.timeout(request.patience + ABORT_DELAY_MILLISECONDS),
    });
    status = response.statusCode;
    const id = response.headers["x-request-id"];
    requestId = typeof id === "string" ? id : undefined;
    if (status < 300 && request.kind === "chat") {
      await readStream(response.body, { progress, due: target.due });
    } else {
      const text = await response.body.text();
      const parsed = ERROR_SCHEMA.safeParse(parseJson(text));
      if (parsed.success) refusal = parsed.data.error;
      progress.completed = status < 300;
    }
  } catch {
    progress.completed = false;
  }
  return {
    request,
    daemon: target.daemon,
    intended: target.due - target.start,
    sendDelay,
    firstToken: progress.firstToken,
    elapsed: performance.now() - target.due,
    status,
    completed: progress.completed,
    ran: refusal?.ran,
    code: refusal?.code,
    promptTokens: progress.promptTokens,
    cachedTokens: progress.cachedTokens,
    tokens: progress.tokens,
    requestId,
  };
}

function urlOf(request: TraceRequest, { daemon }: Target): string {
  if (request.kind === "chat") return `http://${daemon}/v1/chat/completions`;
  return `http://${daemon}/services/${request.service}${request.path}`;
}

function headersOf(
  request: TraceRequest,
  { key }: Target,
): Record<string, string> {
  return {
    authorization: `Bearer ${key}`,
    "x-peridotvalve-patience-ms": String(request.patience),
    ...(request.kind === "chat"
      ? { "content-type": "application/json" }
      : request.key === undefined
      ? {}
      : { "idempotency-key": request.key }),
  };
}

function bodyOf(request: TraceRequest): string | null {
  if (request.kind !== "chat") return request.body ?? null;
  return chatBody(request);
}

function chatBody(request: ChatRequest): string {
  return JSON.stringify({
    model: request.model,
    stream: true,
    stream_options: { include_usage: true },
    prompt_cache_key: request.conversation,
    max_tokens: request.tokens,
    messages: [{ role: "user", content: createPrompt(request) }],
  });
}

async function readStream(
  body: AsyncIterable<Buffer>,
  { progress, due }: { readonly progress: Progress; readonly due: number },
): Promise<void> {
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent({ data }) {
      if (data === "[DONE]") {
        progress.completed = progress.tokens > 0;
        return;
      }
      const parsed = CHAT_CHUNK_SCHEMA.safeParse(parseJson(data));
      if (!parsed.success) return;
      const { choices, usage } = parsed.data;
      if (choices?.[0]?.delta?.content !== undefined) {
        progress.firstToken ??= performance.now() - due;
        progress.tokens += 1;
      }
      if (usage === undefined || usage === null) return;
      progress.promptTokens = usage.prompt_tokens;
      progress.cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
    },
  });
  for await (const part of body) {
    parser.feed(decoder.decode(part, { stream: true }));
  }
}
