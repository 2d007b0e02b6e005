/**
 * What may follow the failure of an attempt, as one function over the failures
 * of engines and plain services.
 */
import type { Failure, FailureCode } from "@peridotvalve/errors";
import type { Milliseconds, ResumePoint } from "@peridotvalve/types";
import type { AttemptFailure, ServiceFailure } from "@peridotvalve/upstreams";
import { type AttemptState, ranOf } from "./attempt.ts";
import { type RelayRecord, resumePointOf } from "./relay.ts";

/** The failures of both kinds of upstream. */
export type UpstreamFailure = AttemptFailure | ServiceFailure;

/** What the request's kind allows. */
export type Work =
  /** A chat completion; its relay record says what the caller has. */
  | { readonly kind: "generation"; readonly relay: RelayRecord }
  /** A call to a plain service. */
  | { readonly kind: "call"; readonly idempotent: boolean };

export interface Situation {
  readonly work: Work;
  /** States of the attempts before the failed one. */
  readonly earlier: readonly AttemptState[];
  /** True when the upstream had begun to answer the failed attempt. */
  readonly answerBegan: boolean;
  /** Rest of the caller's patience. */
  readonly patience: Milliseconds;
  /** Time that another attempt needs at least. */
  readonly minimumTime: Milliseconds;
  /** Candidates that were not tried. */
  readonly candidatesLeft: number;
  /** Whether the retry budget has room for another attempt. */
  readonly withinBudget: boolean;
}

export type Decision =
  | { readonly kind: "repeat"; readonly weights?: string }
  | { readonly kind: "resume"; readonly from: ResumePoint }
  | { readonly kind: "refuse"; readonly failure: Failure };

type Obstacle =
  | "cancelled"
  | "not repeatable"
  | "patience"
  | "candidates"
  | "budget";

/** The state that an attempt had reached when it failed. */
export function stateAfter(
  failure: UpstreamFailure,
  answerBegan: boolean,
): AttemptState {
  if (answerBegan) return "answered";
  return failure.sent === "sent" ? "sent" : "not sent";
}

/**
 * Decides what follows a failed attempt. A refusal has `ran: "no"` only if
 * nothing of this request was sent, or each upstream refused before it ran.
 */
export function decideAfterFailure(
  failure: UpstreamFailure,
  situation: Situation,
): Decision {
  const state = stateAfter(failure, situation.answerBegan);
  const states = [...situation.earlier, state];
  const obstacle = findObstacle(failure, state, situation);
  if (obstacle !== undefined) {
    return { kind: "refuse", failure: refuse(obstacle, failure, states) };
  }
  return continueWork(failure, situation.work);
}

function continueWork(failure: UpstreamFailure, work: Work): Decision {
  if (work.kind === "generation") {
    const from = resumePointOf(work.relay);
    if (from !== undefined) return { kind: "resume", from };
  }
  const weights = "weights" in failure ? failure.weights : undefined;
  return { kind: "repeat", ...(weights === undefined ? {} : { weights }) };
}

function findObstacle(
  failure: UpstreamFailure,
  state: AttemptState,
  situation: Situation,
): Obstacle | undefined {
  if (failure.reason === "cancelled") return "cancelled";
  if (!isRepeatable(state, situation)) return "not repeatable";
  if (situation.patience < situation.minimumTime) return "patience";
  if (situation.candidatesLeft <= 0) return "candidates";
  return situation.withinBudget ? undefined : "budget";
}

function isRepeatable(state: AttemptState, situation: Situation): boolean {
  const { work, earlier } = situation;
  // A generation has no effect outside its stream. The relay keeps a second
  // run of it from repeating tokens.
  if (work.kind === "generation") return !work.relay.finished;
  if (work.idempotent) return state !== "answered";
  return ranOf([...earlier, state]) === "no";
}

function refuse(
  obstacle: Obstacle,
  failure: UpstreamFailure,
  states: readonly AttemptState[],
): Failure {
  return {
    code: codeFor(obstacle, failure),
    ran: ranOf(states),
    message: messageFor(obstacle, failure),
  };
}

function codeFor(obstacle: Obstacle, failure: UpstreamFailure): FailureCode {
  if (obstacle === "cancelled") return "cancelled";
  if (obstacle === "patience") return "patience_exceeded";
  if (failure.reason === "timeout") return "upstream_timeout";
  if (failure.reason === "protocol") return "upstream_protocol";
  return failure.sent === "sent" ? "upstream_failed" : "upstream_unavailable";
}

function messageFor(obstacle: Obstacle, failure: UpstreamFailure): string {
  const cause = `the upstream failed (${failure.reason})`;
  switch (obstacle) {
    case "cancelled":
      return "the request was cancelled";
    case "not repeatable":
      return `${cause} and the call may have run`;
    case "patience":
      return `${cause} and too little of the caller's patience is left`;
    case "candidates":
      return `${cause} and no other upstream is left`;
    case "budget":
      return `${cause} and the retry budget is used up`;
  }
}
