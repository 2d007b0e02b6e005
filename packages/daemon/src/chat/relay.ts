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
  createRelayRecord,
  decideAfterFailure,
  hedgeDelayOf,
  ranOf,
  type RelayRecord,
  resumePointOf,
  stateAfter,
  switchAttempt,
} from "@peridotvalve/retries";
import type { GenerationEvent } from "@peridotvalve/types";
import type { AttemptFailure } from "@peridotvalve/upstreams";
import type { Runtime } from "../runtime.ts";
import { type Choice, chooseReplica } from "./choice.ts";
import { raceAttempts, type Runner } from "./hedge.ts";
import { noteDispatch, prepareBlocks, publishBlocks } from "./import.ts";
import type { ChatWork, RelayPart } from "./work.ts";

/** Attempts whose first token is later than this quantile are hedged. */
const HEDGE_QUANTILE = 0.95;

/** Part of the patience below which another attempt is not worth its start. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50;

// Ends the attempt at the engine when the stream was given up here.
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/** The replica was told to leave between the choice and the attempt. */
const LEAVING: AttemptFailure = {
  sent: "not sent",
  reason: "leaving",
  message: "the replica leaves",
};

interface AttemptEnd {
  readonly choice: Choice;
  readonly record: RelayRecord;
  readonly failure: AttemptFailure | undefined;
  readonly answerBegan: boolean;
}

export async function* relayChat(
  runtime: Runtime,
  work: ChatWork,
): AsyncGenerator<RelayPart, Failure | undefined, void> {
  let record = createRelayRecord("");
  const states: AttemptState[] = [];
  const excluded: string[] = [];
  const replanned = new Set<string>();
  let begun: string | undefined;
  let reason = "";
  const customer = work.identity.name;
  runtime.retryBudget.recordFirstAttempt(customer);
  runtime.hedgeBudget.recordFirstAttempt(customer);
  for (;;) {
    const choice = await chooseReplica(runtime, work, { excluded, begun });
    if (choice === undefined) return unavailable(states);
    const kind = record.offset === 0 ? "repeated" : "resumed";
    runtime.meters.attempts.add(1, {
      model: work.chat.model,
      kind: states.length === 0 ? "first" : kind,
      reason,
    });
    const ends = yield* runAttempts(runtime, work, {
      choice,
      record,
      excluded,
      begun,
    });
    for (const end of ends) {
      if (end.failure === undefined) {
        publishBlocks(runtime, work, end.choice);
        return undefined;
      }
      const { failure, answerBegan } = end;
      reason = failure.reason;
      noteFailure(runtime, work, end, failure);
      const replans = isReplanned(failure, end.choice, replanned);
      if (!replans) excluded.push(end.choice.replica.name);
      const others = choice.others - (ends.length - 1);
      const decision = decideAfterFailure(failure, {
        work: { kind: "generation", relay: end.record },
        earlier: states,
        answerBegan,
        patience: remainingPatience(runtime, work, end.record),
        minimumTime: MINIMUM_ATTEMPT_MILLISECONDS,
        candidatesLeft: others + (replans ? 1 : 0),
        withinBudget: isFree(failure) || runtime.retryBudget.canTake(customer),
      });
      states.push(stateAfter(failure, answerBegan));
      record = end.record;
      // An attempt that failed before it told its version does not release the
      // stream from the version that it began with.
      begun = record.weights ?? begun;
      if (end !== ends.at(-1)) continue;
      if (decision.kind === "refuse") return decision.failure;
      if (!isFree(failure)) runtime.retryBudget.tryTake(customer);
    }
  }
}

interface AttemptStart {
  readonly choice: Choice;
  readonly record: RelayRecord;
  readonly excluded: readonly string[];
  /** Weight version of the stream that has begun. */
  readonly begun: string | undefined;
}

/** Runs an attempt, and a second one beside it when its first token is late. */
async function* runAttempts(
  runtime: Runtime,
  work: ChatWork,
  start: AttemptStart,
): AsyncGenerator<RelayPart, readonly AttemptEnd[], void> {
  const launch = (choice: Choice): Runner<AttemptEnd> => {
    const controller = new AbortController();
    const signal = AbortSignal.any([work.signal, controller.signal]);
    const record = switchAttempt(start.record, `att_${randomUUID()}`);
    const parts = runAttempt(runtime, { ...work, signal }, { choice, record });
    return { parts, controller };
  };
  const first = launch(start.choice);
  const delay = planHedge(runtime, work, start);
  if (delay === undefined) return [yield* first.parts];
  return yield* raceAttempts(first, {
    clock: runtime.clock,
    delay,
    isWhole: (end) => end.failure === undefined,
    async start() {
      const { replica, estimate } = start.choice;
      // The loser of a race never shows its first token, so the wait is what
      // the detector of slow replicas learns from it.
      runtime.fleet.noteLate(replica, { gap: delay, expected: estimate });
      const second = await chooseHedge(runtime, work, start);
      if (second === undefined) return undefined;
      runtime.meters.attempts.add(1, {
        model: work.chat.model,
        kind: "hedge",
        reason: "late",
      });
      runtime.log(
        "hedge_started",
        { waited: delay, first: replica.name },
        subjectOf(work, second),
      );
      return launch(second);
    },
  });
}

/** Time to the second attempt; undefined when there is to be none. */
function planHedge(
  runtime: Runtime,
  work: ChatWork,
  { choice, record }: AttemptStart,
): number | undefined {
  if (record.offset > 0) return undefined;
  if (!runtime.hedgeBudget.canTake(work.identity.name)) return undefined;
  return hedgeDelayOf({
    quantile: runtime.firstTokens.of(work.chat.model).quantile(HEDGE_QUANTILE),
    patience: remainingPatience(runtime, work, record),
    repeatable: true,
    candidatesLeft: choice.others,
  });
}

async function chooseHedge(
  runtime: Runtime,
  work: ChatWork,
  { choice, begun, excluded }: AttemptStart,
): Promise<Choice | undefined> {
  const second = await chooseReplica(runtime, work, {
    excluded: [...excluded, choice.replica.name],
    begun,
  });
  if (second === undefined) return undefined;
  return runtime.hedgeBudget.tryTake(work.identity.name) ? second : undefined;
}

/**
 * A refusal by a replica put no load on it, so it costs no retry budget; nor
 * does an attempt that was not sent because its replica leaves.
 */
function isFree(failure: AttemptFailure): boolean {
  if (failure.reason === "leaving") return true;
  if (failure.reason === "withdrawn") return true;
  return failure.sent === "refused" && failure.reason !== "busy";
}

/**
 * True when the replica may take the request when it is planned anew: it has
 * swapped its weights, or the attempt was withdrawn; once for each replica, so
 * that it ends.
 */
function isReplanned(
  failure: AttemptFailure,
  { replica }: Choice,
  replanned: Set<string>,
): boolean {
  const isMoved = failure.reason === "weights mismatch" &&
    failure.weights !== undefined;
  if (!isMoved && failure.reason !== "withdrawn") return false;
  if (replanned.has(replica.name)) return false;
  replanned.add(replica.name);
  return true;
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
  const { limits } = choice.configuration;
  const resume = resumePointOf(record);
  const dispatch = runtime.fleet.begin(choice.replica, {
    attempt: record.attempt,
    tokens: choice.tokens,
  });
  const expected = await prepareBlocks(runtime, work, choice);
  if (!await runtime.fleet.confirm(choice.replica)) {
    dispatch.end();
    return { choice, record, failure: LEAVING, answerBegan };
  }
  noteDispatch(runtime, choice);
  const begun = runtime.clock.monotonic();
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
    // It may have waited for a connection through a pause.
    shouldSend: () => runtime.fleet.ranSince(begun),
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
        // A stream that was given up may still run at the engine.
        isOpen = step.value?.sent === "sent";
        return { choice, record, failure: step.value, answerBegan };
      }
      const event = step.value;
      const applied = applyEvent(record, event);
      if (applied.isErr()) {
        const failure = protocolFailure(applied.error);
        return { choice, record, failure, answerBegan };
      }
      record = applied.value;
      answerBegan ||= event.kind === "token";
      if (event.kind === "end" && event.finish === "cancelled") {
        return {
          choice,
          record: { ...record, finished: false },
          failure: cut(),
          answerBegan,
        };
      }
      if (event.kind === "token" && event.offset === 0) {
        const elapsed = runtime.clock.monotonic() - begun;
        runtime.firstTokens.of(work.chat.model).record(elapsed);
      }
      runtime.fleet.observe(choice.replica, event, {
        begun,
        expected,
        sampleGap: dispatch.sampleGap,
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
  { choice, record }: AttemptEnd,
  failure: AttemptFailure,
): void {
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
