/**
 * A call to a plain service that may be repeated.
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

/** Time that another attempt needs at least to be worth its start. */
const MINIMUM_ATTEMPT: Milliseconds = 20;

export interface ServiceWork {
  readonly request: string;
  readonly customer: string;
  readonly service: string;
  readonly call: ServiceCall;
  readonly timeout: Milliseconds;
  /** Monotonic time at which the caller's patience ends. */
  readonly deadline: Milliseconds;
  readonly signal: AbortSignal;
}

export async function callRepeatable(
  runtime: Runtime,
  work: ServiceWork,
): Promise<Result<ServiceResponse, Failure>> {
  const clients = runtime.services.list(work.service);
  const states: AttemptState[] = [];
  runtime.retryBudget.recordFirstAttempt(work.customer);
  for (const [index, client] of clients.entries()) {
    const rest = work.deadline - runtime.clock.monotonic();
    const answer = await client.call(work.call, {
      timeout: Math.max(1, Math.min(work.timeout, rest)),
      signal: work.signal,
    });
    if (answer.isOk()) return answer;
    const failure = answer.error;
    if (failure.reason !== "cancelled") {
      runtime.services.noteFailure(client.address);
    }
    const decision = decideAfterFailure(failure, {
      work: { kind: "call", idempotent: true },
      earlier: states,
      answerBegan: false,
      patience: work.deadline - runtime.clock.monotonic(),
      minimumTime: MINIMUM_ATTEMPT,
      candidatesLeft: clients.length - index - 1,
      withinBudget: runtime.retryBudget.tryTake(work.customer),
    });
    states.push(stateAfter(failure, false));
    if (decision.kind === "refuse") return Err(decision.failure);
  }
  return Err({
    code: "upstream_unavailable",
    ran: "no",
    message: `the service ${work.service} has no address`,
  });
}
