/**
 * Writes the parts of a relayed completion to the caller, streamed or whole.
 */
import type { Observation } from "@peridotvalve/admission";
import { type Failure, toErrorResponse } from "@peridotvalve/errors";
import type { Exchange } from "../http/exchange.ts";
import {
  noteFailure,
  openEventStream,
  sendFailure,
  sendJson,
  writeEvent,
} from "../http/respond.ts";
import type { Runtime } from "../runtime.ts";
import { expectFirstToken } from "./admit.ts";
import { countTokens } from "./prompt.ts";
import {
  createCompletion,
  toChunk,
  toUsageChunk,
  toWhole,
  type Usage,
} from "./response.ts";
import type { ChatWork, RelayPart } from "./work.ts";

type Parts = AsyncGenerator<RelayPart, Failure | undefined, void>;

interface Written {
  readonly failure: Failure | undefined;
  readonly firstTokenAt: number | undefined;
  readonly lastTokenAt: number | undefined;
  readonly cachedTokens: number;
  readonly tokens: number;
}

/** Writes the response and says how it went, for the concurrency limit. */
export async function writeCompletion(
  runtime: Runtime,
  exchange: Exchange,
  relayed: { readonly work: ChatWork; readonly parts: Parts },
): Promise<Observation | undefined> {
  const { work, parts } = relayed;
  const admitted = runtime.clock.monotonic();
  const written = work.chat.isStreamed
    ? await writeStream(runtime, exchange, { work, parts })
    : await writeWhole(runtime, exchange, { work, parts });
  report(runtime, exchange, { work, written });
  if (exchange.signal.aborted) return undefined;
  const answered = written.firstTokenAt ?? runtime.clock.monotonic();
  return {
    latency: answered - admitted,
    expected: expectFirstToken(work),
    overloaded: written.failure?.code === "upstream_timeout",
  };
}

async function writeStream(
  runtime: Runtime,
  exchange: Exchange,
  { work, parts }: { readonly work: ChatWork; readonly parts: Parts },
): Promise<Written> {
  const completion = createCompletion(exchange.id, work.chat.model);
  let written = startWritten();
  for (;;) {
    const step = await parts.next();
    if (step.done) {
      if (step.value !== undefined) await endFailed(exchange, step.value);
      return { ...written, failure: step.value };
    }
    const part = step.value;
    written = addPart(runtime, written, { work, part });
    if (part.kind === "text") {
      if (!exchange.response.headersSent) {
        openEventStream(exchange);
        await writeEvent(exchange, toChunk(completion, { role: "assistant" }));
      }
      await writeEvent(exchange, toChunk(completion, { content: part.text }));
    }
    if (part.kind === "finished") {
      if (!exchange.response.headersSent) openEventStream(exchange);
      await writeEvent(exchange, toChunk(completion, {}, part.finish));
      if (work.chat.includeUsage) {
        const usage = usageOf(work, written);
        await writeEvent(exchange, toUsageChunk(completion, usage));
      }
      await writeEvent(exchange, "[DONE]");
      exchange.response.end();
    }
  }
}

/** Ends a stream that cannot be completed; there is no "[DONE]" then. */
async function endFailed(exchange: Exchange, failure: Failure): Promise<void> {
  if (!exchange.response.headersSent) return sendFailure(exchange, failure);
  noteFailure(exchange, failure);
  const { body } = toErrorResponse(failure, exchange.id);
  await writeEvent(exchange, JSON.stringify(body));
  exchange.response.end();
}

async function writeWhole(
  runtime: Runtime,
  exchange: Exchange,
  { work, parts }: { readonly work: ChatWork; readonly parts: Parts },
): Promise<Written> {
  const completion = createCompletion(exchange.id, work.chat.model);
  let written = startWritten();
  let text = "";
  let finish = "stop";
  for (;;) {
    const step = await parts.next();
    if (step.done) {
      if (step.value !== undefined) {
        sendFailure(exchange, step.value);
        return { ...written, failure: step.value };
      }
      const usage = usageOf(work, written);
      sendJson(exchange, 200, toWhole(completion, { text, finish }, usage));
      return written;
    }
    written = addPart(runtime, written, { work, part: step.value });
    if (step.value.kind === "text") text += step.value.text;
    if (step.value.kind === "finished") finish = step.value.finish;
  }
}

function startWritten(): Written {
  return {
    failure: undefined,
    firstTokenAt: undefined,
    lastTokenAt: undefined,
    cachedTokens: 0,
    tokens: 0,
  };
}

function addPart(
  runtime: Runtime,
  written: Written,
  { work, part }: { readonly work: ChatWork; readonly part: RelayPart },
): Written {
  if (part.kind === "started") {
    return { ...written, cachedTokens: part.cachedTokens };
  }
  if (part.kind === "finished") return written;
  const now = runtime.clock.monotonic();
  if (written.lastTokenAt !== undefined) {
    const gap = now - written.lastTokenAt;
    runtime.meters.betweenTokens.record(gap, { model: work.chat.model });
  }
  return {
    ...written,
    tokens: written.tokens + 1,
    firstTokenAt: written.firstTokenAt ?? now,
    lastTokenAt: now,
  };
}

function usageOf(work: ChatWork, written: Written): Usage {
  return {
    promptTokens: countTokens(work.chat.prompt),
    cachedTokens: written.cachedTokens,
    completionTokens: written.tokens,
  };
}

function report(
  runtime: Runtime,
  exchange: Exchange,
  { work, written }: { readonly work: ChatWork; readonly written: Written },
): void {
  const subject = {
    request: exchange.id,
    customer: work.identity.name,
    conversation: work.conversation,
  };
  const elapsed = runtime.clock.monotonic() - exchange.arrived;
  if (exchange.signal.aborted) {
    runtime.log("caller_disconnected", { sentTokens: written.tokens }, subject);
    return;
  }
  if (written.failure !== undefined) {
    const { code, ran } = written.failure;
    runtime.log("request_failed", { code, ran }, subject);
    return;
  }
  const firstToken = (written.firstTokenAt ?? 0) - exchange.arrived;
  runtime.meters.firstToken.record(firstToken, { model: work.chat.model });
  const { promptTokens, cachedTokens } = usageOf(work, written);
  const { model } = work.chat;
  runtime.meters.tokens.add(written.tokens, { model });
  runtime.meters.promptTokens.add(promptTokens, { model });
  runtime.meters.cachedTokens.add(cachedTokens, { model });
  runtime.log("first_token_sent", {
    elapsed: firstToken,
    cachedTokens: written.cachedTokens,
  }, subject);
  runtime.log(
    "request_finished",
    { status: 200, elapsed, tokens: written.tokens },
    subject,
  );
}
