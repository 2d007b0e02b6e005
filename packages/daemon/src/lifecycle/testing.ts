/**
 * Helpers by which the lifecycle tests call daemons of a deployment.
 */
import type { Deployment } from "@peridotvalve/testbed";
import { expectedAnswer } from "@peridotvalve/standins";

export interface Question {
  readonly daemon: string;
  readonly customer: string;
  readonly model: string;
  readonly text: string;
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface Reply {
  readonly status: number;
  readonly connection: string | null;
  readonly text: string;
  /** Error code, if the response is an error. */
  readonly code: string | undefined;
  readonly ran: string | undefined;
  /** True if a stream ended with "[DONE]", or another response has status 200. */
  readonly isComplete: boolean;
}

interface ErrorBody {
  readonly error?: { readonly code: string; readonly ran: string };
}

export function keyOf(deployment: Deployment, customer: string): string {
  return deployment.keys[customer] ?? "";
}

export async function ask(
  deployment: Deployment,
  question: Question,
): Promise<Reply> {
  const address = deployment.addressOf(question.daemon);
  const { stream = false, model, text, customer } = question;
  const answer = await fetch(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${keyOf(deployment, customer)}`,
      ...question.headers,
    },
    body: JSON.stringify({
      model,
      stream,
      messages: [{ role: "user", content: text }],
    }),
  });
  return readReply(answer, await answer.text());
}

function readReply(answer: Response, body: string): Reply {
  const isStream = answer.headers.get("content-type")?.startsWith("text/event");
  const events = isStream
    ? body.split("\n\n").filter((event) => event.startsWith("data: "))
      .map((event) => event.slice("data: ".length))
    : [body];
  const parsed = events.filter((event) => event !== "[DONE]")
    .map((event) => parse(event));
  const error = parsed.find((one) => one.error !== undefined)?.error;
  return {
    status: answer.status,
    connection: answer.headers.get("connection"),
    text: parsed.map(textOf).join(""),
    code: error?.code,
    ran: error?.ran,
    isComplete: isStream ? events.at(-1) === "[DONE]" : answer.status === 200,
  };
}

interface ChatBody extends ErrorBody {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
  }[];
}

function parse(text: string): ChatBody {
  try {
    return JSON.parse(text) as ChatBody;
  } catch {
    return {};
  }
}

function textOf({ choices }: ChatBody): string {
  const choice = choices?.[0];
  return choice?.delta?.content ?? choice?.message?.content ?? "";
}

/** The expected answer to a question with a weight version. */
export function answerTo(
  deployment: Deployment,
  question: Pick<Question, "customer" | "model" | "text">,
  weights = deployment.configuration.groups[question.model]?.weights ?? "",
): string {
  const { customer, text } = question;
  const maxTokens = deployment.configuration.limits.maxTokens;
  const prompt = `<|user|>${text}\n`;
  return expectedAnswer({ customer, weights, prompt, maxTokens }).join("");
}

/** Reads or posts JSON on the operators' listener of a daemon. */
export async function operate(
  deployment: Deployment,
  daemon: string,
  call: { readonly path: string; readonly body?: unknown },
): Promise<unknown> {
  const address = deployment.settings.get(daemon)?.listeners.operators;
  const answer = await fetch(`http://${address}${call.path}`, {
    headers: { "authorization": `Bearer ${deployment.operatorToken}` },
    ...(call.body === undefined
      ? {}
      : { method: "POST", body: JSON.stringify(call.body) }),
  });
  return await answer.json();
}

/** Polls until the check passes; throws an error with the name at the limit. */
export async function until(
  name: string,
  check: () => boolean | Promise<boolean>,
  limitMilliseconds = 20_000,
): Promise<void> {
  const end = performance.now() + limitMilliseconds;
  while (!await check()) {
    if (performance.now() > end) throw new Error(`never happened: ${name}`);
    await pause(50);
  }
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Log events of a daemon with the given name. */
export function eventsOf(
  deployment: Deployment,
  daemon: string,
  name: string,
): readonly Readonly<Record<string, unknown>>[] {
  const lines = deployment.processes.get(daemon)?.lines() ?? [];
  return lines.filter((line) => line.includes(`"${name}"`))
    .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
}
