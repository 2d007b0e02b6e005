/**
 * The refusal of a request for which a daemon has no room.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Milliseconds } from "@peridotvalve/types";

/** Earliest useful repeat of a refused request; up to twice that is stated. */
const BUSY_RETRY: Milliseconds = 1_000;

export function createBusyFailure(): Failure {
  return {
    code: "daemon_busy",
    ran: "no",
    message: "the daemon has no room for the request now",
    // Spread, so that refused callers do not come back at once.
    retryAfter: Math.ceil(BUSY_RETRY * (1 + Math.random())),
  };
}
