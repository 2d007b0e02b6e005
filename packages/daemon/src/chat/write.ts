/**
 * Writes a completion to the caller, as a stream of server-sent events or as
 * one JSON body, and records its metrics and events.
 */
import type { Observation } from "@peridotvalve/admission";
import { type Failure, toErrorResponse } from "@peridotvalve/errors";
import type { Exchange } from "../http/exchange.ts";
import {
  openEventStream,
  recordFailure,
  sendFailure,
  sendJson,
  writeEvent,
} from "../http/respond.ts";
import type { Runtime } from "../runtime.ts";
import { estimatePrefillTime } from "./admit.ts";
import { countTokens } from "./prompt.ts";
import {
  createCompletion,
  toChunk,
  toCompletionBody,
  toUsageChunk,
  type Usage,
} from "./response.ts";
import type { ChatWork, RelayPart } from "./work.ts";

type Parts = AsyncGenerator<RelayPart, Failure | undefined, void>;

interface CompletionProgress {
  readonly failure: Failure | undefined;
  readonly firstTokenAt: number | undefined;
  readonly lastTokenAt: number | undefined;
  readonly cachedTokens: number;
  readonly tokens: number;
}

/**
 * Writes the response. Returns the observation from which admission control
 * adapts the concurrency limit, or undefined when the caller disconnected.
 */
export async function writeCompletion(
  runtime: Runtime,
  exchange: Exchange,
  relay: { readonly work: ChatWork; readonly parts: Parts },
): Promise<Observation | undefined> {
  const { work, parts } = relay;
  const startedAt = runtime.clock.monotonic();
  const progress = work.chat.isStreamed
    ? await writeStream(runtime, exchange, { work, parts })
    : await writeUnstreamed(runtime, exchange, { work, parts });
  logCompletion(runtime, exchange, { work, progress });
  if (exchange.signal.aborted) return undefined;
  const answeredAt = progress.firstTokenAt ?? runtime.clock.monotonic();
  return {
    latency: answeredAt - startedAt,
    expected: estimatePrefillTime(work),
    overloaded: progress.failure?.code === "upstream_timeout",
  };
}

async function writeStream(
  runtime: Runtime,
  exchange: Exchange,
  { work, parts }: { readonly work: ChatWork; readonly parts: Parts },
): Promise<CompletionProgress> {
  const completion = createCompletion(exchange.id, work.chat.model);
  let progress = createProgress();
  for (;;) {
    const step = await parts.next();
    if (step.done) {
      if (step.value !== undefined) await failStream(exchange, step.value);
      return { ...progress, failure: step.value };
    }
    const part = step.value;
    progress = recordPart(runtime, progress, { work, part });
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
        const usage = usageOf(work, progress);
        await writeEvent(exchange, toUsageChunk(completion, usage));
      }
      await writeEvent(exchange, "[DONE]");
      exchange.response.end();
    }
  }
}

/**
 * Sends the failure. A stream that has already started ends with an error event
 * and without "[DONE]".
 */
async function failStream(
  exchange: Exchange,
  failure: Failure,
): Promise<void> {
  if (!exchange.response.headersSent) return sendFailure(exchange, failure);
  recordFailure(exchange, failure);
  const { body } = toErrorResponse(failure, exchange.id);
  await writeEvent(exchange, JSON.stringify(body));
  exchange.response.end();
}

async function writeUnstreamed(
  runtime: Runtime,
  exchange: Exchange,
  { work, parts }: { readonly work: ChatWork; readonly parts: Parts },
): Promise<CompletionProgress> {
  const completion = createCompletion(exchange.id, work.chat.model);
  let progress = createProgress();
  let text = "";
  let finish = "stop";
  for (;;) {
    const step = await parts.next();
    if (step.done) {
      if (step.value !== undefined) {
        sendFailure(exchange, step.value);
        return { ...progress, failure: step.value };
      }
      const usage = usageOf(work, progress);
      sendJson(
        exchange,
        200,
        toCompletionBody(completion, { text, finish }, usage),
      );
      return progress;
    }
    progress = recordPart(runtime, progress, { work, part: step.value });
    if (step.value.kind === "text") text += step.value.text;
    if (step.value.kind === "finished") finish = step.value.finish;
  }
}

function createProgress(): CompletionProgress {
  return {
    failure: undefined,
    firstTokenAt: undefined,
    lastTokenAt: undefined,
    cachedTokens: 0,
    tokens: 0,
  };
}

function recordPart(
  runtime: Runtime,
  progress: CompletionProgress,
  { work, part }: { readonly work: ChatWork; readonly part: RelayPart },
): CompletionProgress {
  if (part.kind === "started") {
    return { ...progress, cachedTokens: part.cachedTokens };
  }
  if (part.kind === "finished") return progress;
  const now = runtime.clock.monotonic();
  if (progress.lastTokenAt !== undefined) {
    const gap = now - progress.lastTokenAt;
    runtime.meters.betweenTokens.record(gap, { model: work.chat.model });
  }
  return {
    ...progress,
    tokens: progress.tokens + 1,
    firstTokenAt: progress.firstTokenAt ?? now,
    lastTokenAt: now,
  };
}

function usageOf(work: ChatWork, progress: CompletionProgress): Usage {
  return {
    promptTokens: countTokens(work.chat.prompt),
    cachedTokens: progress.cachedTokens,
    completionTokens: progress.tokens,
  };
}

function logCompletion(
  runtime: Runtime,
  exchange: Exchange,
  { work, progress }: {
    readonly work: ChatWork;
    readonly progress: CompletionProgress;
  },
): void {
  const subject = {
    request: exchange.id,
    customer: work.identity.name,
    conversation: work.conversation,
  };
  const elapsed = runtime.clock.monotonic() - exchange.arrivedAt;
  if (exchange.signal.aborted) {
    runtime.log(
      "caller_disconnected",
      { sentTokens: progress.tokens },
      subject,
    );
    return;
  }
  if (progress.failure !== undefined) {
    const { code, ran } = progress.failure;
    runtime.log("request_failed", { code, ran }, subject);
    return;
  }
  const timeToFirstToken = (progress.firstTokenAt ?? 0) - exchange.arrivedAt;
  runtime.meters.firstToken.record(timeToFirstToken, {
    model: work.chat.model,
  });
  const { promptTokens, cachedTokens } = usageOf(work, progress);
  const { model } = work.chat;
  runtime.meters.tokens.add(progress.tokens, { model });
  runtime.meters.promptTokens.add(promptTokens, { model });
  runtime.meters.cachedTokens.add(cachedTokens, { model });
  runtime.log("first_token_sent", {
    elapsed: timeToFirstToken,
    cachedTokens: progress.cachedTokens,
  }, subject);
  runtime.log(
    "request_finished",
    { status: 200, elapsed, tokens: progress.tokens },
    subject,
  );
}
