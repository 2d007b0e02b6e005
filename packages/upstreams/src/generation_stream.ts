/**
 * Reads the event stream of one attempt and validates every event before it is
 * yielded. An event of another attempt, or one out of order, ends the attempt.
 */
import type { Clock } from "@peridotvalve/clock";
import type {
  Generation,
  GenerationEvent,
  Milliseconds,
} from "@peridotvalve/types";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { AttemptFailure, StreamDeadlines } from "./engine.ts";
import { createEventCheck } from "./event_check.ts";
import type { HttpClient } from "./http_client.ts";
import type { HttpFailure } from "./http_failure.ts";
import type { HttpExchange } from "./http_exchange.ts";
import { errorResponseSchema, parseJson } from "./http_schemas.ts";

interface Context {
  readonly client: HttpClient;
  readonly clock: Clock;
}

type GenerationStream = AsyncGenerator<
  GenerationEvent,
  AttemptFailure | undefined,
  void
>;

const MAX_EVENT_CHARACTERS = 64 * 1024;
const MAX_ERROR_BODY_BYTES = 16 * 1024;
const EVENT_STREAM_TYPE = "text/event-stream";

export async function* readGeneration(
  context: Context,
  generation: Generation,
  options: { readonly deadlines: StreamDeadlines },
): GenerationStream {
  const { client, clock } = context;
  const { deadlines } = options;
  const deadline = clock.monotonic() + deadlines.firstToken;
  const opened = await client.open({
    method: "POST",
    path: "/generate",
    headers: { "content-type": "application/json", accept: EVENT_STREAM_TYPE },
    body: JSON.stringify(generation),
  }, {
    timeout: deadlines.firstToken,
    signal: deadlines.signal,
    ...(deadlines.shouldSend === undefined
      ? {}
      : { shouldSend: deadlines.shouldSend }),
  });
  if (opened.isErr()) return toAttemptFailure(opened.error);
  const exchange = opened.value;
  if (exchange.status !== 200) return await readError(exchange, deadline);
  if (!exchange.headers["content-type"]?.startsWith(EVENT_STREAM_TYPE)) {
    return protocolFailure(exchange, "the response is not an event stream");
  }
  let complete = false;
  try {
    const failure = yield* checkEvents(exchange, generation, {
      clock,
      deadline,
      betweenTokens: deadlines.betweenTokens,
    });
    complete = failure === undefined;
    return failure;
  } finally {
    if (complete) exchange.release();
    else exchange.fail("cancelled", "the reader left the stream");
  }
}

async function* checkEvents(
  exchange: HttpExchange,
  generation: Generation,
  limits: {
    readonly clock: Clock;
    readonly deadline: Milliseconds;
    readonly betweenTokens: Milliseconds;
  },
): GenerationStream {
  const { clock, betweenTokens } = limits;
  const check = createEventCheck(generation);
  let due = limits.deadline;
  for await (const message of readMessages(exchange, () => due)) {
    if (message.isErr) return message.failure;
    const checked = check(message.value);
    if (checked.isErr()) return protocolFailure(exchange, checked.error);
    yield checked.value;
    if (checked.value.kind === "end") return undefined;
    // Only tokens extend the deadline. The time that the consumer spends between
    // two events does not count against the engine.
    if (checked.value.kind === "token") due = clock.monotonic() + betweenTokens;
  }
  return {
    sent: "sent",
    reason: "cut",
    message: "the stream ended without an end event",
  };

  async function* readMessages(
    source: HttpExchange,
    getDue: () => Milliseconds,
  ): AsyncGenerator<Message, void, void> {
    const pending: EventSourceMessage[] = [];
    let malformed = false;
    const decoder = new TextDecoder();
    const parser = createParser({
      maxBufferSize: MAX_EVENT_CHARACTERS,
      onEvent: (event) => pending.push(event),
      onError: () => malformed = true,
    });
    for (;;) {
      const chunk = await source.read(getDue() - clock.monotonic());
      if (chunk.isErr()) {
        yield { isErr: true, failure: toAttemptFailure(chunk.error) };
        return;
      }
      if (chunk.value === undefined) return;
      parser.feed(decoder.decode(chunk.value, { stream: true }));
      // Comments alone must not keep an attempt running past its deadline.
      if (pending.length === 0 && clock.monotonic() > getDue()) {
        const failure = source.fail("timeout", "a deadline has passed");
        yield { isErr: true, failure: toAttemptFailure(failure) };
        return;
      }
      for (const value of pending.splice(0)) yield { isErr: false, value };
      if (malformed) {
        const failure = protocolFailure(source, "malformed event stream");
        yield { isErr: true, failure };
        return;
      }
    }
  }
}

type Message =
  | { readonly isErr: false; readonly value: EventSourceMessage }
  | { readonly isErr: true; readonly failure: AttemptFailure };

/** Maps a response with a status other than 200 to a failure. */
async function readError(
  exchange: HttpExchange,
  deadline: Milliseconds,
): Promise<AttemptFailure> {
  const { status } = exchange;
  const body = await exchange.readAll({
    deadline,
    bytes: MAX_ERROR_BODY_BYTES,
  });
  if (body.isErr()) return toAttemptFailure(body.error);
  const content = Buffer.from(body.value).toString("utf8");
  const error = parseJson(content, errorResponseSchema)?.error;
  const message = error?.message ?? `status ${status}`;
  if (status === 409 && error?.code === "weights_mismatch") {
    const { weights } = error;
    return {
      sent: "refused",
      reason: "weights mismatch",
      message,
      ...(weights === undefined ? {} : { weights }),
    };
  }
  if (status === 503 && error?.code === "leaving") {
    return { sent: "refused", reason: "leaving", message };
  }
  if (status === 503 && error?.code === "busy") {
    return { sent: "refused", reason: "busy", message };
  }
  return { sent: "sent", reason: "protocol", message: `status ${status}` };
}

function protocolFailure(
  exchange: HttpExchange,
  message: string,
): AttemptFailure {
  exchange.fail("protocol", message);
  return { sent: "sent", reason: "protocol", message };
}

function toAttemptFailure(failure: HttpFailure): AttemptFailure {
  const { sent, reason, message } = failure;
  return { sent: sent ? "sent" : "not sent", reason, message };
}
