/**
 * Single calls of callers and operators, with their outcome as the caller saw
 * it.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { createParser } from "eventsource-parser";
import { type Dispatcher, request } from "undici";
import type {
  Answered,
  ChatOperation,
  LookUpOperation,
  OrderOperation,
  Outcome,
} from "./records.ts";
import type { World } from "./world.ts";

/** Longer than a daemon is paused, shorter than a test. */
const CALLER_LIMIT: Milliseconds = 20_000;

interface Sent {
  readonly daemon: string;
  readonly customer: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

type ReadBody = (
  body: Dispatcher.ResponseData["body"],
  note: (text: string) => void,
) => Promise<Pick<Answered, "text" | "done" | "code" | "ran">>;

export function sendChat(
  world: World,
  operation: ChatOperation,
): Promise<Outcome> {
  const { prompt, maxTokens, streamed, conversation } = operation;
  return world.recorder.run(operation, () =>
    send(world, {
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
  world: World,
  operation: LookUpOperation,
): Promise<Outcome> {
  return world.recorder.run(operation, () =>
    send(world, {
      daemon: operation.daemon,
      customer: operation.customer,
      method: "GET",
      path: `/services/stock/stock/${operation.item}`,
    }, readPlain));
}

/** `forged` names another customer in the header that daemons set. */
export function sendOrder(
  world: World,
  operation: OrderOperation,
  forged?: string,
): Promise<Outcome> {
  return world.recorder.run(operation, () =>
    send(world, {
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
    }, readPlain));
}

/** The model group of the deployment folder. */
const MODEL = "advice";

async function send(
  world: World,
  sent: Sent,
  readBody: ReadBody,
): Promise<Outcome> {
  const { deployment, agent } = world;
  const limit = AbortSignal.timeout(CALLER_LIMIT);
  let id: string | null = null;
  let text = "";
  let hasAnswer = false;
  try {
    const address = deployment.addressOf(sent.daemon);
    const answer = await request(`http://${address}${sent.path}`, {
      dispatcher: agent,
      method: sent.method,
      headers: {
        "authorization": `Bearer ${deployment.keys[sent.customer]}`,
        ...sent.headers,
      },
      body: sent.body ?? null,
      signal: limit,
    });
    hasAnswer = true;
    id = String(answer.headers["x-request-id"] ?? "");
    const read = answer.statusCode < 300 ? readBody : readPlain;
    const content = await read(answer.body, (part) => text += part);
    return {
      type: "answered",
      status: answer.statusCode,
      request: id,
      ...content,
    };
  } catch (error) {
    if (limit.aborted) return { type: "abandoned", text };
    const { code, message } = error as NodeJS.ErrnoException;
    return {
      type: "broken",
      stage: hasAnswer
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

const readPlain: ReadBody = async (body) => {
  const text = await body.text();
  return { text, done: true, ...readError(text) };
};

const readCompletion: ReadBody = async (body) => {
  const whole = await body.json() as {
    readonly choices: readonly {
      readonly message: { readonly content: string };
    }[];
  };
  const text = whole.choices[0]?.message.content ?? "";
  return { text, done: true, code: null, ran: null };
};

const readStream: ReadBody = async (body, note) => {
  let text = "";
  let done = false;
  let error: Pick<Answered, "code" | "ran"> = { code: null, ran: null };
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
      note(part);
    },
  });
  const decoder = new TextDecoder();
  for await (const part of body) {
    parser.feed(decoder.decode(part as Buffer, { stream: true }));
  }
  return { text, done, ...error };
};

function readError(text: string): Pick<Answered, "code" | "ran"> {
  try {
    const { error } = JSON.parse(text) as {
      readonly error?: { readonly code?: string; readonly ran?: string };
    };
    return { code: error?.code ?? null, ran: error?.ran ?? null };
  } catch {
    return { code: null, ran: null };
  }
}
