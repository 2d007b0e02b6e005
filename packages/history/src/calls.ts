/**
 * Sends single calls to a daemon and records each with the outcome that the
 * caller observed. A failed call is an outcome and is not thrown.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { createParser } from "eventsource-parser";
import { type Dispatcher, request } from "undici";
import type {
  CallResponse,
  ChatOperation,
  LookUpOperation,
  OrderOperation,
  Outcome,
} from "./records.ts";
import type { RunContext } from "./run_context.ts";

/** Longer than any pause of a daemon and shorter than a test. */
const CALL_TIMEOUT: Milliseconds = 20_000;

interface CallRequest {
  readonly daemon: string;
  readonly customer: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

type BodyReader = (
  body: Dispatcher.ResponseData["body"],
  onText: (text: string) => void,
) => Promise<Pick<CallResponse, "text" | "done" | "code" | "ran">>;

export function sendChat(
  context: RunContext,
  operation: ChatOperation,
): Promise<Outcome> {
  const { prompt, maxTokens, streamed, conversation } = operation;
  return context.recorder.run(operation, () =>
    send(context, {
      daemon: operation.daemon,
      customer: operation.customer,
      method: "POST",
      path: "/v1/chat/completions",
      body: JSON.stringify({
        model: MODEL,
        messages: [{ role: "user", content: prompt }],
        max_tokens: maxTokens,
        stream: streamed,
        prompt_cache_key: conversation,
      }),
    }, streamed ? readStream : readCompletion));
}

export function sendLookUp(
  context: RunContext,
  operation: LookUpOperation,
): Promise<Outcome> {
  return context.recorder.run(operation, () =>
    send(context, {
      daemon: operation.daemon,
      customer: operation.customer,
      method: "GET",
      path: `/services/stock/stock/${operation.item}`,
    }, readText));
}

/**
 * Sends an order. `forged` is the name of another customer, sent in the
 * customer header that only daemons may set.
 */
export function sendOrder(
  context: RunContext,
  operation: OrderOperation,
  forged?: string,
): Promise<Outcome> {
  return context.recorder.run(operation, () =>
    send(context, {
      daemon: operation.daemon,
      customer: operation.customer,
      method: "POST",
      path: "/services/bookings/orders",
      headers: {
        "content-type": "application/json",
        "idempotency-key": operation.key,
        ...(forged === undefined ? {} : { "x-peridotvalve-customer": forged }),
      },
      body: operation.body,
    }, readText));
}

/** Model group of the test deployment. */
const MODEL = "advice";

async function send(
  context: RunContext,
  call: CallRequest,
  readBody: BodyReader,
): Promise<Outcome> {
  const { deployment, agent } = context;
  const timeout = AbortSignal.timeout(CALL_TIMEOUT);
  let id: string | null = null;
  let text = "";
  let hasResponse = false;
  try {
    const address = deployment.addressOf(call.daemon);
    const response = await request(`http://${address}${call.path}`, {
      dispatcher: agent,
      method: call.method,
      headers: {
        "authorization": `Bearer ${deployment.keys[call.customer]}`,
        ...call.headers,
      },
      body: call.body ?? null,
      signal: timeout,
    });
    hasResponse = true;
    id = String(response.headers["x-request-id"] ?? "");
    const read = response.statusCode < 300 ? readBody : readText;
    const content = await read(response.body, (part) => text += part);
    return {
      type: "answered",
      status: response.statusCode,
      request: id,
      ...content,
    };
  } catch (error) {
    if (timeout.aborted) return { type: "abandoned", text };
    const { code, message } = error as NodeJS.ErrnoException;
    return {
      type: "broken",
      stage: hasResponse
        ? "in the answer"
        : code === "ECONNREFUSED"
        ? "not connected"
        : "before the answer",
      request: id,
      text,
      reason: `${code ?? ""} ${message}`,
    };
  }
}

const readText: BodyReader = async (body) => {
  const text = await body.text();
  return { text, done: true, ...readError(text) };
};

const readCompletion: BodyReader = async (body) => {
  const completion = await body.json() as {
    readonly choices: readonly {
      readonly message: { readonly content: string };
    }[];
  };
  const text = completion.choices[0]?.message.content ?? "";
  return { text, done: true, code: null, ran: null };
};

const readStream: BodyReader = async (body, onText) => {
  let text = "";
  let done = false;
  let error: Pick<CallResponse, "code" | "ran"> = { code: null, ran: null };
  const parser = createParser({
    onEvent({ data }) {
      if (data === "[DONE]") {
        done = true;
        return;
      }
      const chunk = JSON.parse(data) as {
        readonly choices?: readonly {
          readonly delta: { readonly content?: string };
        }[];
      };
      if (chunk.choices === undefined) error = readError(data);
      const part = chunk.choices?.[0]?.delta.content ?? "";
      text += part;
      onText(part);
    },
  });
  const decoder = new TextDecoder();
  for await (const part of body) {
    parser.feed(decoder.decode(part as Buffer, { stream: true }));
  }
  return { text, done, ...error };
};

function readError(text: string): Pick<CallResponse, "code" | "ran"> {
  try {
    const { error } = JSON.parse(text) as {
      readonly error?: { readonly code?: string; readonly ran?: string };
    };
    return { code: error?.code ?? null, ran: error?.ran ?? null };
  } catch {
    return { code: null, ran: null };
  }
}
