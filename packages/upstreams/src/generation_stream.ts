/**
 * Reads the event stream of one attempt and checks every event before it is
 * passed on. An event that does not belong to the attempt, or that is not the
 * next one, ends the attempt.
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
import { parseJson, refusalSchema } from "./http_formats.ts";

interface Context {
  readonly client: HttpClient;
  readonly clock: Clock;
}

type Outcome = AsyncGenerator<
  GenerationEvent,
  AttemptFailure | undefined,
  void
>;

const EVENT_CHARACTERS = 64 * 1024;
const REFUSAL_BYTES = 16 * 1024;
const EVENT_STREAM = "text/event-stream";

export async function* readGeneration(
  context: Context,
  generation: Generation,
  options: { readonly deadlines: StreamDeadlines },
): Outcome {
  const { client, clock } = context;
  const { deadlines } = options;
  const due = clock.monotonic() + deadlines.firstToken;
  const opened = await client.open({
    method: "POST",
    path: "/generate",
    headers: { "content-type": "application/json", accept: EVENT_STREAM },
    body: JSON.stringify(generation),
  }, {
    timeout: deadlines.firstToken,
    signal: deadlines.signal,
    ...(deadlines.mayBegin === undefined
      ? {}
      : { mayBegin: deadlines.mayBegin }),
  });
  if (opened.isErr()) return describeFailure(opened.error);
  const exchange = opened.value;
  if (exchange.status !== 200) return await readRefusal(exchange, due);
  if (!exchange.headers["content-type"]?.startsWith(EVENT_STREAM)) {
    return protocolFailure(exchange, "the response is not an event stream");
  }
  let complete = false;
  try {
    const failure = yield* checkEvents(exchange, generation, {
      clock,
      due,
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
    readonly due: Milliseconds;
    readonly betweenTokens: Milliseconds;
  },
): Outcome {
  const { clock, betweenTokens } = limits;
  const check = createEventCheck(generation);
  let due = limits.due;
  for await (const message of readMessages(exchange, () => due)) {
    if (message.isErr) return message.failure;
    const checked = check(message.value);
    if (checked.isErr()) return protocolFailure(exchange, checked.error);
    yield checked.value;
    if (checked.value.kind === "end") return undefined;
    // Only tokens are progress. The time that the reader spends between two
    // events is not the engine's.
    if (checked.value.kind === "token") due = clock.monotonic() + betweenTokens;
  }
  return {
    sent: "sent",
    reason: "cut",
    message: "the stream ended without an end event",
  };

  async function* readMessages(
    source: HttpExchange,
    readDue: () => Milliseconds,
  ): AsyncGenerator<Message, void, void> {
    const parsed: EventSourceMessage[] = [];
    let malformed = false;
    const decoder = new TextDecoder();
    const parser = createParser({
      maxBufferSize: EVENT_CHARACTERS,
      onEvent: (event) => parsed.push(event),
      onError: () => malformed = true,
    });
    for (;;) {
      const part = await source.read(readDue() - clock.monotonic());
      if (part.isErr()) {
        yield { isErr: true, failure: describeFailure(part.error) };
        return;
      }
      if (part.value === undefined) return;
      parser.feed(decoder.decode(part.value, { stream: true }));
      // A flood of comments must not keep an attempt alive.
      if (parsed.length === 0 && clock.monotonic() > readDue()) {
        const failure = source.fail("timeout", "a deadline has passed");
        yield { isErr: true, failure: describeFailure(failure) };
        return;
      }
      for (const value of parsed.splice(0)) yield { isErr: false, value };
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

/** Turns a status other than 200 into a failure. */
async function readRefusal(
  exchange: HttpExchange,
  due: Milliseconds,
): Promise<AttemptFailure> {
  const { status } = exchange;
  const body = await exchange.readAll({ due, bytes: REFUSAL_BYTES });
  if (body.isErr()) return describeFailure(body.error);
  const content = Buffer.from(body.value).toString("utf8");
  const refusal = parseJson(content, refusalSchema)?.error;
  const message = refusal?.message ?? `status ${status}`;
  if (status === 409 && refusal?.code === "weights_mismatch") {
    const { weights } = refusal;
    return {
      sent: "refused",
      reason: "weights mismatch",
      message,
      ...(weights === undefined ? {} : { weights }),
    };
  }
  if (status === 503 && refusal?.code === "leaving") {
    return { sent: "refused", reason: "leaving", message };
  }
  if (status === 503 && refusal?.code === "busy") {
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

function describeFailure(failure: HttpFailure): AttemptFailure {
  const { sent, reason, message } = failure;
  return { sent: sent ? "sent" : "not sent", reason, message };
}
