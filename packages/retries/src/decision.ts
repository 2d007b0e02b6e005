/**
 * Decides what follows a failed attempt: a repeat, a resumption or a refusal.
 * The same rules apply to engines and to plain services.
 */
import type { Failure, FailureCode } from "@peridotvalve/errors";
import type { Milliseconds, ResumePoint } from "@peridotvalve/types";
import type { AttemptFailure, ServiceFailure } from "@peridotvalve/upstreams";
import { type AttemptState, ranOf } from "./attempt.ts";
import { type RelayRecord, resumePointOf } from "./relay.ts";

/** Failures of engines and of plain services. */
export type UpstreamFailure = AttemptFailure | ServiceFailure;

/** The kind of a request, which determines whether it may be repeated. */
export type Work =
  /** A chat completion, with the record of what the caller has received. */
  | { readonly kind: "generation"; readonly relay: RelayRecord }
  /** A call to a plain service. */
  | { readonly kind: "call"; readonly idempotent: boolean };

export interface FailureContext {
  readonly work: Work;
  /** States of the request's earlier attempts. */
  readonly earlier: readonly AttemptState[];
  /** True if the upstream had started to respond to the failed attempt. */
  readonly answerBegan: boolean;
  /** Time left until the caller's patience ends. */
  readonly patience: Milliseconds;
  /** Minimum time that another attempt needs. */
  readonly minimumTime: Milliseconds;
  /** Number of candidates that have not been tried. */
  readonly candidatesLeft: number;
  /** Whether the retry budget allows another attempt. */
  readonly withinBudget: boolean;
}

export type RetryDecision =
  | { readonly kind: "repeat"; readonly weights?: string }
  | { readonly kind: "resume"; readonly from: ResumePoint }
  | { readonly kind: "refuse"; readonly failure: Failure };

type RefusalCause =
  | "cancelled"
  | "not repeatable"
  | "patience"
  | "candidates"
  | "budget";

/** The state of an attempt at the time of its failure. */
export function stateAfter(
  failure: UpstreamFailure,
  answerBegan: boolean,
): AttemptState {
  if (answerBegan) return "answered";
  return failure.sent === "sent" ? "sent" : "not sent";
}

/**
 * Decides what follows a failed attempt. A refusal has `ran: "no"` only if
 * every attempt of the request was not sent or was refused before it ran.
 */
export function decideAfterFailure(
  failure: UpstreamFailure,
  context: FailureContext,
): RetryDecision {
  const state = stateAfter(failure, context.answerBegan);
  const states = [...context.earlier, state];
  const cause = findRefusalCause(failure, state, context);
  if (cause !== undefined) {
    return { kind: "refuse", failure: createRefusal(cause, failure, states) };
  }
  return continueRequest(failure, context.work);
}

function continueRequest(failure: UpstreamFailure, work: Work): RetryDecision {
  if (work.kind === "generation") {
    const from = resumePointOf(work.relay);
    if (from !== undefined) return { kind: "resume", from };
  }
  const weights = "weights" in failure ? failure.weights : undefined;
  return { kind: "repeat", ...(weights === undefined ? {} : { weights }) };
}

function findRefusalCause(
  failure: UpstreamFailure,
  state: AttemptState,
  context: FailureContext,
): RefusalCause | undefined {
  if (failure.reason === "cancelled") return "cancelled";
  if (!isRepeatable(state, context)) return "not repeatable";
  if (context.patience < context.minimumTime) return "patience";
  if (context.candidatesLeft <= 0) return "candidates";
  return context.withinBudget ? undefined : "budget";
}

function isRepeatable(state: AttemptState, context: FailureContext): boolean {
  const { work, earlier } = context;
  // A generation has no side effects, and the relay record prevents a second
  // run from repeating tokens to the caller.
  if (work.kind === "generation") return !work.relay.finished;
  if (work.idempotent) return state !== "answered";
  return ranOf([...earlier, state]) === "no";
}

function createRefusal(
  cause: RefusalCause,
  failure: UpstreamFailure,
  states: readonly AttemptState[],
): Failure {
  return {
    code: codeFor(cause, failure),
    ran: ranOf(states),
    message: messageFor(cause, failure),
  };
}

function codeFor(cause: RefusalCause, failure: UpstreamFailure): FailureCode {
  if (cause === "cancelled") return "cancelled";
  if (cause === "patience") return "patience_exceeded";
  if (failure.reason === "timeout") return "upstream_timeout";
  if (failure.reason === "protocol") return "upstream_protocol";
  return failure.sent === "sent" ? "upstream_failed" : "upstream_unavailable";
}

function messageFor(cause: RefusalCause, failure: UpstreamFailure): string {
  const prefix = `the upstream failed (${failure.reason})`;
  switch (cause) {
    case "cancelled":
      return "the request was cancelled";
    case "not repeatable":
      return `${prefix} and the call may have run`;
    case "patience":
      return `${prefix} and too little of the caller's patience is left`;
    case "candidates":
      return `${prefix} and no other upstream is left`;
    case "budget":
      return `${prefix} and the retry budget is used up`;
  }
}
