/**
 * Runs a chat completion over one or more attempts. The caller gets each token
 * once: a failed attempt is repeated, or resumed at the offset that the caller
 * has, on another replica.
 */
import { randomUUID } from "node:crypto";
import type { Failure } from "@peridotvalve/errors";
import {
  applyEvent,
  type AttemptState,
  decideAfterFailure,
  ranOf,
  type RelayRecord,
  resumePointOf,
  startRelay,
  stateAfter,
  switchAttempt,
} from "@peridotvalve/retries";
import type { GenerationEvent } from "@peridotvalve/types";
import type { AttemptFailure } from "@peridotvalve/upstreams";
import type { Runtime } from "../runtime.ts";
import { type Choice, chooseReplica } from "./choice.ts";
import type { ChatWork, RelayPart } from "./work.ts";

/** Part of the patience below which another attempt is not worth its start. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50;

// Ends the attempt at the engine when the stream was given up here.
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

interface AttemptEnd {
  readonly record: RelayRecord;
  readonly failure: AttemptFailure | undefined;
  readonly answerBegan: boolean;
}

export async function* relayChat(
  runtime: Runtime,
  work: ChatWork,
): AsyncGenerator<RelayPart, Failure | undefined, void> {
  let record = startRelay("");
  const states: AttemptState[] = [];
  const excluded: string[] = [];
  let reason = "";
  runtime.retryBudget.recordFirst(work.identity.name);
  for (;;) {
    const choice = await chooseReplica(runtime, work, { excluded, record });
    if (choice === undefined) return unavailable(states);
    record = switchAttempt(record, `att_${randomUUID()}`);
    const kind = resumePointOf(record) === undefined ? "repeated" : "resumed";
    runtime.meters.attempts.add(1, {
      model: work.chat.model,
      kind: states.length === 0 ? "first" : kind,
      reason,
    });
    const end = yield* runAttempt(runtime, work, { choice, record });
    record = end.record;
    if (end.failure === undefined) return undefined;
    noteFailure(runtime, work, { choice, record, failure: end.failure });
    excluded.push(choice.replica.name);
    reason = end.failure.reason;
    const decision = decideAfterFailure(end.failure, {
      work: { kind: "generation", relay: record },
      earlier: states,
      answerBegan: end.answerBegan,
      patience: remainingPatience(runtime, work, record),
      minimumTime: MINIMUM_ATTEMPT_MILLISECONDS,
      candidatesLeft: choice.others,
      withinBudget: isFree(end.failure) ||
        runtime.retryBudget.take(work.identity.name),
    });
    states.push(stateAfter(end.failure, end.answerBegan));
    if (decision.kind === "refuse") return decision.failure;
  }
}

/** A refusal by a replica put no load on it, so it costs no retry budget. */
function isFree(failure: AttemptFailure): boolean {
  return failure.sent === "refused" && failure.reason !== "busy";
}

/** Once tokens flow, the caller waits on; only progress counts. */
function remainingPatience(
  runtime: Runtime,
  work: ChatWork,
  record: RelayRecord,
): number {
  if (record.offset > 0) return Number.POSITIVE_INFINITY;
  return work.deadline - runtime.clock.monotonic();
}

async function* runAttempt(
  runtime: Runtime,
  work: ChatWork,
  start: { readonly choice: Choice; readonly record: RelayRecord },
): AsyncGenerator<RelayPart, AttemptEnd, void> {
  const { choice } = start;
  let record = start.record;
  let answerBegan = false;
  const begun = runtime.clock.monotonic();
  const { limits } = choice.configuration;
  const resume = resumePointOf(record);
  const dispatch = runtime.fleet.begin(choice.replica, {
    attempt: record.attempt,
    tokens: choice.tokens,
  });
  const stream = choice.replica.engine.generate({
    attempt: record.attempt,
    request: work.request,
    customer: work.identity.name,
    weights: choice.weights,
    prompt: work.chat.prompt,
    maxTokens: work.chat.maxTokens,
    priority: work.priority,
    ...(resume === undefined ? {} : { resume }),
  }, {
    firstToken: Math.min(
      limits.firstTokenTimeout,
      Math.max(1, remainingPatience(runtime, work, record)),
    ),
    betweenTokens: limits.betweenTokensTimeout,
    signal: work.signal,
  });
  runtime.log("attempt_started", {
    attempt: record.attempt,
    kind: resume === undefined ? "first" : "resumed",
  }, subjectOf(work, choice));
  let isOpen = true;
  try {
    for (;;) {
      const step = await stream.next();
      if (step.done) {
        isOpen = false;
        return { record, failure: step.value, answerBegan };
      }
      const event = step.value;
      const applied = applyEvent(record, event);
      if (applied.isErr()) {
        const failure = protocolFailure(applied.error);
        return { record, failure, answerBegan };
      }
      record = applied.value;
      answerBegan ||= event.kind === "token";
      if (event.kind === "end" && event.finish === "cancelled") {
        return {
          record: { ...record, finished: false },
          failure: cut(),
          answerBegan,
        };
      }
      runtime.fleet.observe(choice.replica, event, {
        begun,
        expected: choice.estimate,
      });
      yield toPart(event);
    }
  } finally {
    dispatch.end();
    await stream.return(undefined);
    if (isOpen && !record.finished) cancelAttempt(choice, work, record.attempt);
  }
}

/** Not awaited: the caller must not wait for a replica that may be silent. */
function cancelAttempt(choice: Choice, work: ChatWork, attempt: string): void {
  const customer = work.identity.name;
  void choice.replica.engine.cancel(
    { attempt, customer },
    CANCEL_TIMEOUT_MILLISECONDS,
  );
}

function toPart(event: GenerationEvent): RelayPart {
  switch (event.kind) {
    case "start":
      return { kind: "started", cachedTokens: event.cachedTokens };
    case "token":
      return { kind: "text", text: event.text };
    case "end":
      return {
        kind: "finished",
        finish: event.finish === "length" ? "length" : "stop",
        tokens: event.count,
      };
  }
}

function noteFailure(
  runtime: Runtime,
  work: ChatWork,
  end: {
    readonly choice: Choice;
    readonly record: RelayRecord;
    readonly failure: AttemptFailure;
  },
): void {
  const { choice, record, failure } = end;
  if (failure.reason === "cancelled") return;
  const { reason, message } = failure;
  runtime.log("attempt_failed", {
    attempt: record.attempt,
    reason: `${reason}: ${message}`,
  }, subjectOf(work, choice));
  runtime.fleet.noteFailure(choice.replica, failure);
}

function subjectOf(work: ChatWork, choice: Choice) {
  return {
    request: work.request,
    customer: work.identity.name,
    conversation: work.conversation,
    upstream: choice.replica.name,
  };
}

function protocolFailure(message: string): AttemptFailure {
  return { sent: "sent", reason: "protocol", message };
}

function cut(): AttemptFailure {
  return { sent: "sent", reason: "cut", message: "cancelled by the engine" };
}

function unavailable(states: readonly AttemptState[]): Failure {
  return {
    code: "upstream_unavailable",
    ran: ranOf(states),
    message: "no replica of this model can take the request",
    retryAfter: 1_000,
  };
}
