/**
 * The states of an attempt and what they imply about whether the work ran.
 */
import type { ExecutionStatus } from "@peridotvalve/errors";

/**
 * "not sent": no byte was sent, or the upstream refused the attempt before it
 * ran. "sent": the upstream may have run it. "answered": the upstream started
 * to respond, so the attempt ran at least in part.
 */
export type AttemptState = "not sent" | "sent" | "answered";

const RANK: Readonly<Record<AttemptState, number>> = {
  "not sent": 0,
  "sent": 1,
  "answered": 2,
};

const RAN_BY_STATE: Readonly<Record<AttemptState, ExecutionStatus>> = {
  "not sent": "no",
  "sent": "unknown",
  "answered": "yes",
};

/** The most advanced state of a request's attempts. */
export function furthestState(states: readonly AttemptState[]): AttemptState {
  let furthest: AttemptState = "not sent";
  for (const state of states) {
    if (RANK[state] > RANK[furthest]) furthest = state;
  }
  return furthest;
}

/** Whether the work ran, given the states of all attempts of a request. */
export function ranOf(states: readonly AttemptState[]): ExecutionStatus {
  return RAN_BY_STATE[furthestState(states)];
}
