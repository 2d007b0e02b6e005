/**
 * The failures that admission returns. Nothing has been sent to an upstream at
 * that point, so all of them have `ran: "no"`.
 */
import type { Failure } from "@peridotvalve/errors";
import { type Milliseconds, SECOND } from "@peridotvalve/types";

/**
 * Bounds of a retry hint. The minimum prevents busy retry loops; the maximum
 * avoids predictions too far ahead.
 */
const MINIMUM_HINT: Milliseconds = 100;
const MAXIMUM_HINT: Milliseconds = 30 * SECOND;

function toRetryHint(time: Milliseconds): Milliseconds {
  return Math.ceil(Math.min(MAXIMUM_HINT, Math.max(MINIMUM_HINT, time)));
}

export function shuttingDown(): Failure {
  const message = "this daemon is shutting down; repeat the request";
  return { code: "shutting_down", ran: "no", message, retryAfter: 0 };
}

export function forbidden(): Failure {
  const message = "the customer may run no requests";
  return { code: "forbidden", ran: "no", message };
}

export function rateLimited(wait: Milliseconds): Failure {
  const message = "the customer's request rate is used up";
  return {
    code: "rate_limited",
    ran: "no",
    message,
    retryAfter: toRetryHint(wait),
  };
}

/** The expected wait exceeds `maxWait`, the caller's remaining patience. */
export function tooLate(
  wait: Milliseconds,
  maxWait: Milliseconds,
): Failure {
  const message = "the request would not start within the caller's patience";
  const retryAfter = toRetryHint(wait - Math.max(0, maxWait));
  return { code: "overloaded", ran: "no", message, retryAfter };
}

/** The retry hint is the time in which about half of the queue is served. */
export function queueFull(wait: Milliseconds): Failure {
  const message = "the queue is full";
  return {
    code: "overloaded",
    ran: "no",
    message,
    retryAfter: toRetryHint(wait / 2),
  };
}

export function expired(): Failure {
  const message = "the request did not start within the caller's patience";
  return { code: "patience_exceeded", ran: "no", message };
}

export function cancelled(): Failure {
  const message = "the caller cancelled the request while it was queued";
  return { code: "cancelled", ran: "no", message };
}
