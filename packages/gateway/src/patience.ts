/**
 * How long a silent replica is waited for, from what callers wait for.
 */
import type { Route } from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";

/**
 * Silence, in latency targets of the route, after which a call that may be
 * repeated goes to another replica.
 */
const SILENT_TARGETS = 2.4;
const LEAST_SILENCE: Milliseconds = 400;

/**
 * A replica that says nothing at all for so long is taken as dead; one that
 * only lets this request wait is busy, and another would have to start anew.
 */
export const DEAD_SILENCE: Milliseconds = 900;

/**
 * Callers give a stream up after a gap of two seconds, four latency targets or
 * eight of its longest pauses, whichever is longest.
 */
const LEAST_GAP: Milliseconds = 2_000;
const GAP_TARGETS = 4;
const GAP_PAUSES = 8;

/** Part of the caller's gap after which a busy replica is given up. */
const GAP_SHARE = 0.7;

/** Silence after which a call of the route goes to another replica. */
export function callSilence({ latencyTarget }: Route): Milliseconds {
  return Math.max(LEAST_SILENCE, latencyTarget * SILENT_TARGETS);
}

/** Gap in a stream of the route for which a busy replica is waited for. */
export function longestGap(route: Route): Milliseconds {
  const { latencyTarget, longestPause } = route;
  const gap = Math.max(
    LEAST_GAP,
    latencyTarget * GAP_TARGETS,
    longestPause * GAP_PAUSES,
  );
  return gap * GAP_SHARE;
}
