/**
 * Idempotent calls to plain services, which are retried on the addresses of the
 * service within the customer's retry budget.
 */
import type { Failure } from "@peridotvalve/errors";
import {
  type AttemptState,
  decideAfterFailure,
  stateAfter,
} from "@peridotvalve/retries";
import type { Milliseconds } from "@peridotvalve/types";
import type { ServiceCall, ServiceResponse } from "@peridotvalve/upstreams";
import { Err, type Result } from "ts-results-es";
import type { Runtime } from "../runtime.ts";

/** With less time left before the deadline, no further attempt is started. */
const MINIMUM_ATTEMPT_TIME: Milliseconds = 20;

export interface ServiceWork {
  readonly request: string;
  readonly customer: string;
  readonly service: string;
  readonly call: ServiceCall;
  readonly timeout: Milliseconds;
  /** Monotonic time until which the caller waits for the response. */
  readonly deadline: Milliseconds;
  readonly signal: AbortSignal;
}

/**
 * Tries the addresses of the service one after the other. Returns the first
 * response, or the failure with which the retry policy ends the request.
 */
export async function callIdempotent(
  runtime: Runtime,
  work: ServiceWork,
): Promise<Result<ServiceResponse, Failure>> {
  const clients = runtime.services.list(work.service);
  const attemptStates: AttemptState[] = [];
  runtime.retryBudget.recordFirstAttempt(work.customer);
  for (const [index, client] of clients.entries()) {
    const remaining = work.deadline - runtime.clock.monotonic();
    const answer = await client.call(work.call, {
      timeout: Math.max(1, Math.min(work.timeout, remaining)),
      signal: work.signal,
    });
    if (answer.isOk()) return answer;
    const failure = answer.error;
    if (failure.reason !== "cancelled") {
      runtime.services.recordFailure(client.address);
    }
    const decision = decideAfterFailure(failure, {
      work: { kind: "call", idempotent: true },
      earlier: attemptStates,
      answerBegan: false,
      patience: work.deadline - runtime.clock.monotonic(),
      minimumTime: MINIMUM_ATTEMPT_TIME,
      candidatesLeft: clients.length - index - 1,
      withinBudget: runtime.retryBudget.tryTake(work.customer),
    });
    attemptStates.push(stateAfter(failure, false));
    if (decision.kind === "refuse") return Err(decision.failure);
  }
  return Err({
    code: "upstream_unavailable",
    ran: "no",
    message: `the service ${work.service} has no address`,
  });
}
