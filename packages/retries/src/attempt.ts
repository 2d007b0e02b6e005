/**
 * The states of an attempt and what they prove about whether work ran.
 */
import type { Ran } from "@peridotvalve/errors";

/**
 * "not sent": no byte went out, or the upstream refused before it ran anything.
 * "sent": the upstream may have run it. "answered": the upstream began to
 * answer, so it ran at least in part.
 */
export type AttemptState = "not sent" | "sent" | "answered";

const RANK: Readonly<Record<AttemptState, number>> = {
  "not sent": 0,
  "sent": 1,
  "answered": 2,
};

const RAN_BY_STATE: Readonly<Record<AttemptState, Ran>> = {
  "not sent": "no",
  "sent": "unknown",
  "answered": "yes",
};

/** The furthest state of a request's attempts. */
export function furthestState(states: readonly AttemptState[]): AttemptState {
  let furthest: AttemptState = "not sent";
  for (const state of states) {
    if (RANK[state] > RANK[furthest]) furthest = state;
  }
  return furthest;
}

/** What a refusal may say after attempts in these states. */
export function ranOf(states: readonly AttemptState[]): Ran {
  return RAN_BY_STATE[furthestState(states)];
}
