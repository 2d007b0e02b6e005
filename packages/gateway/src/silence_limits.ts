/**
 * Limits on the silence of a replica, derived from how long callers wait.
 */
import type { Route } from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";

/**
 * Silence after which a retryable call is sent to another replica, as a
 * multiple of the latency target.
 */
const SILENCE_LATENCY_TARGETS = 2.4;
const MIN_SILENCE_LIMIT: Milliseconds = 400;

/**
 * A replica that sends nothing on any request for this time is treated as dead.
 * One that only delays a single request is busy, and another replica would have
 * to start the request anew.
 */
export const MAX_SILENCE: Milliseconds = 900;

/**
 * Callers abandon a stream after a gap of 2 seconds, four latency targets or
 * eight event gap targets, whichever is longest.
 */
const MIN_CALLER_GAP: Milliseconds = 2_000;
const GAP_LATENCY_TARGETS = 4;
const GAP_EVENT_GAP_TARGETS = 8;

/**
 * Share of the caller's gap after which a stream on a busy replica is
 * abandoned.
 */
const GAP_SHARE = 0.7;

/**
 * Returns the silence after which a call of the route goes to another replica.
 */
export function silenceLimit({ latencyTarget }: Route): Milliseconds {
  return Math.max(MIN_SILENCE_LIMIT, latencyTarget * SILENCE_LATENCY_TARGETS);
}

/**
 * Returns the longest gap in a stream of the route that is tolerated from a
 * busy replica.
 */
export function gapLimit(route: Route): Milliseconds {
  const { latencyTarget, eventGapTarget } = route;
  const gap = Math.max(
    MIN_CALLER_GAP,
    latencyTarget * GAP_LATENCY_TARGETS,
    eventGapTarget * GAP_EVENT_GAP_TARGETS,
  );
  return gap * GAP_SHARE;
}
