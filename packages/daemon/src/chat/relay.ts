/**
 * Runs a chat completion in one or more attempts. After a failure the request
 * is retried on another replica, or resumed there at the offset that the caller
 * has reached, so that the caller receives each token exactly once.
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
import { importBlocks, publishBlocks, recordDispatch } from "./blocks.ts";
import { type CancellableAttempt, raceAttempts } from "./hedge.ts";
import { chooseReplica, type ReplicaChoice } from "./replica_choice.ts";
import type { ChatWork, RelayPart } from "./work.ts";

/**
 * An attempt is hedged when its first token takes longer than this quantile.
 */
const HEDGE_QUANTILE = 0.95;

/** With less time left before the deadline, no further attempt is started. */
const MINIMUM_ATTEMPT_TIME_MILLISECONDS = 50;

/** Timeout of the request that cancels an abandoned attempt at the engine. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/** The replica started to leave after it was chosen and before the attempt. */
const REPLICA_LEAVING: AttemptFailure = {
  sent: "not sent",
  reason: "leaving",
  message: "the replica leaves",
};

interface AttemptOutcome {
  readonly choice: ReplicaChoice;
  readonly record: RelayRecord;
  readonly failure: AttemptFailure | undefined;
  readonly answerBegan: boolean;
}

/**
 * Yields the parts of the completion. Returns undefined when it is complete, or
 * the failure to report to the caller, who may have received some parts.
 */
export async function* relayChat(
  runtime: Runtime,
  work: ChatWork,
): AsyncGenerator<RelayPart, Failure | undefined, void> {
  let record = createRelayRecord("");
  const attemptStates: AttemptState[] = [];
  const excluded: string[] = [];
  const replanned = new Set<string>();
  let pinned: string | undefined;
  let retryReason = "";
  const customer = work.identity.name;
  runtime.retryBudget.recordFirstAttempt(customer);
  runtime.hedgeBudget.recordFirstAttempt(customer);
  for (;;) {
    const choice = await chooseReplica(runtime, work, {
      excluded,
      pinned,
    });
    if (choice === undefined) return noReplicaAvailable(attemptStates);
    const attemptKind = record.offset === 0 ? "repeated" : "resumed";
    runtime.meters.attempts.add(1, {
      model: work.chat.model,
      kind: attemptStates.length === 0 ? "first" : attemptKind,
      reason: retryReason,
    });
    const outcomes = yield* runAttempts(runtime, work, {
      choice,
      record,
      excluded,
      pinned,
    });
    for (const outcome of outcomes) {
      if (outcome.failure === undefined) {
        publishBlocks(runtime, work, outcome.choice);
        return undefined;
      }
      const { failure, answerBegan } = outcome;
      retryReason = failure.reason;
      recordFailure(runtime, work, outcome, failure);
      const isReplanned = takeReplan(failure, outcome.choice, replanned);
      if (!isReplanned) excluded.push(outcome.choice.replica.name);
      const otherCandidates = choice.otherCandidates - (outcomes.length - 1);
      const decision = decideAfterFailure(failure, {
        work: { kind: "generation", relay: outcome.record },
        earlier: attemptStates,
        answerBegan,
        patience: remainingPatience(runtime, work, outcome.record),
        minimumTime: MINIMUM_ATTEMPT_TIME_MILLISECONDS,
        candidatesLeft: otherCandidates + (isReplanned ? 1 : 0),
        withinBudget: isBudgetExempt(failure) ||
          runtime.retryBudget.canTake(customer),
      });
      attemptStates.push(stateAfter(failure, answerBegan));
      record = outcome.record;
      // An attempt that failed before its first event reports no version; the
      // stream then stays pinned to the version with which it started.
      pinned = record.weights ?? pinned;
      if (outcome !== outcomes.at(-1)) continue;
      if (decision.kind === "refuse") return decision.failure;
      if (!isBudgetExempt(failure)) runtime.retryBudget.tryTake(customer);
    }
  }
}

interface AttemptStart {
  readonly choice: ReplicaChoice;
  readonly record: RelayRecord;
  readonly excluded: readonly string[];
  /** Weight version to which a started stream is pinned. */
  readonly pinned: string | undefined;
}

/**
 * Runs an attempt, and a concurrent second one when its first token is late.
 */
async function* runAttempts(
  runtime: Runtime,
  work: ChatWork,
  start: AttemptStart,
): AsyncGenerator<RelayPart, readonly AttemptOutcome[], void> {
  const startAttempt = (
    choice: ReplicaChoice,
  ): CancellableAttempt<AttemptOutcome> => {
    const controller = new AbortController();
    const signal = AbortSignal.any([work.signal, controller.signal]);
    const record = switchAttempt(start.record, `att_${randomUUID()}`);
    const parts = runAttempt(runtime, { ...work, signal }, { choice, record });
    return { parts, controller };
  };
  const first = startAttempt(start.choice);
  const delay = planHedgeDelay(runtime, work, start);
  if (delay === undefined) return [yield* first.parts];
  return yield* raceAttempts(first, {
    clock: runtime.clock,
    delay,
    isSuccess: (outcome) => outcome.failure === undefined,
    async startSecond() {
      const { replica, estimate } = start.choice;
      // If the first attempt loses the race, its time to first token is never
      // known. The slowness detector gets the wait so far instead.
      runtime.fleet.recordLateFirstToken(replica, {
        gap: delay,
        expected: estimate,
      });
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
        logSubjectOf(work, second),
      );
      return startAttempt(second);
    },
  });
}

/** Delay in milliseconds of the second attempt; undefined without hedging. */
function planHedgeDelay(
  runtime: Runtime,
  work: ChatWork,
  { choice, record }: AttemptStart,
): number | undefined {
  if (record.offset > 0) return undefined;
  if (!runtime.hedgeBudget.canTake(work.identity.name)) return undefined;
  return hedgeDelayOf({
    quantile: runtime.firstTokenLatencies.of(work.chat.model).quantile(
      HEDGE_QUANTILE,
    ),
    patience: remainingPatience(runtime, work, record),
    repeatable: true,
    candidatesLeft: choice.otherCandidates,
  });
}

async function chooseHedge(
  runtime: Runtime,
  work: ChatWork,
  { choice, pinned, excluded }: AttemptStart,
): Promise<ReplicaChoice | undefined> {
  const second = await chooseReplica(runtime, work, {
    excluded: [...excluded, choice.replica.name],
    pinned,
  });
  if (second === undefined) return undefined;
  return runtime.hedgeBudget.tryTake(work.identity.name) ? second : undefined;
}

/**
 * A replica that refuses a request does not spend work on it, so a retry does
 * not count against the retry budget unless the replica refused because it is
 * busy. Neither does a retry of an attempt that was not sent because its
 * replica leaves, or that was withdrawn.
 */
function isBudgetExempt(failure: AttemptFailure): boolean {
  if (failure.reason === "leaving") return true;
  if (failure.reason === "withdrawn") return true;
  return failure.sent === "refused" && failure.reason !== "busy";
}

/**
 * Returns true when the same replica may serve the request after replanning,
 * because it has swapped its weights or the attempt was withdrawn. Each replica
 * is allowed once, which bounds the number of attempts.
 */
function takeReplan(
  failure: AttemptFailure,
  { replica }: ReplicaChoice,
  replanned: Set<string>,
): boolean {
  const hasSwappedWeights = failure.reason === "weights mismatch" &&
    failure.weights !== undefined;
  if (!hasSwappedWeights && failure.reason !== "withdrawn") return false;
  if (replanned.has(replica.name)) return false;
  replanned.add(replica.name);
  return true;
}

/**
 * The time in milliseconds until the caller's deadline. Unlimited after the
 * first token: from then on only the time between tokens is limited.
 */
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
  start: { readonly choice: ReplicaChoice; readonly record: RelayRecord },
): AsyncGenerator<RelayPart, AttemptOutcome, void> {
  const { choice } = start;
  let record = start.record;
  let answerBegan = false;
  const { limits } = choice.configuration;
  const resume = resumePointOf(record);
  const dispatch = runtime.fleet.startDispatch(choice.replica, {
    attempt: record.attempt,
    tokens: choice.tokens,
  });
  const expectedFirstToken = await importBlocks(runtime, work, choice);
  if (!await runtime.fleet.confirm(choice.replica)) {
    dispatch.end();
    return { choice, record, failure: REPLICA_LEAVING, answerBegan };
  }
  recordDispatch(runtime, choice);
  const startedAt = runtime.clock.monotonic();
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
    // The process may have been paused while the request waited for a
    // connection; the replica may have started to leave in that time.
    shouldSend: () => runtime.fleet.wasRunningSince(startedAt),
  });
  runtime.log("attempt_started", {
    attempt: record.attempt,
    kind: resume === undefined ? "first" : "resumed",
  }, logSubjectOf(work, choice));
  let isOpen = true;
  try {
    for (;;) {
      const step = await stream.next();
      if (step.done) {
        // The engine may still run an attempt whose stream failed here.
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
          failure: cancelledByEngine(),
          answerBegan,
        };
      }
      if (event.kind === "token" && event.offset === 0) {
        const elapsed = runtime.clock.monotonic() - startedAt;
        runtime.firstTokenLatencies.of(work.chat.model).record(elapsed);
      }
      runtime.fleet.recordEvent(choice.replica, event, {
        startedAt,
        expected: expectedFirstToken,
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

/** Does not wait for the response, because the replica may be unresponsive. */
function cancelAttempt(
  choice: ReplicaChoice,
  work: ChatWork,
  attempt: string,
): void {
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

function recordFailure(
  runtime: Runtime,
  work: ChatWork,
  { choice, record }: AttemptOutcome,
  failure: AttemptFailure,
): void {
  if (failure.reason === "cancelled") return;
  const { reason, message } = failure;
  runtime.log("attempt_failed", {
    attempt: record.attempt,
    reason: `${reason}: ${message}`,
  }, logSubjectOf(work, choice));
  runtime.fleet.recordFailure(choice.replica, failure);
}

function logSubjectOf(work: ChatWork, choice: ReplicaChoice) {
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

function cancelledByEngine(): AttemptFailure {
  return { sent: "sent", reason: "cut", message: "cancelled by the engine" };
}

function noReplicaAvailable(states: readonly AttemptState[]): Failure {
  return {
    code: "upstream_unavailable",
    ran: ranOf(states),
    message: "no replica of this model can take the request",
    retryAfter: 1_000,
  };
}
