/**
 * Orders: calls to plain services that must run at most once. A claim on the
 * idempotency key is stored before the first byte is sent, and the outcome is
 * stored in the claim afterwards. An order continues when its caller
 * disconnects.
 */
import {
  type ClaimResult,
  fingerprintOf,
  type Outcome,
  type OwnedClaim,
} from "@peridotvalve/claims";
import type { Failure } from "@peridotvalve/errors";
import type { ServiceFailure, ServiceResponse } from "@peridotvalve/upstreams";
import { Err, Ok, type Result } from "ts-results-es";
import type { Runtime } from "../runtime.ts";
import type { ServiceWork } from "./idempotent_call.ts";

export interface Order extends ServiceWork {
  readonly idempotencyKey: string;
}

const IN_PROGRESS_RETRY_MILLISECONDS = 1_000;
const PLATFORM_RETRY_MILLISECONDS = 2_000;
const STORE_WAIT_MILLISECONDS = 300;

/**
 * Claims the idempotency key and sends the order. When the key has been claimed
 * before, returns the stored response, or a failure that says whether the
 * order ran.
 */
export async function runOrder(
  runtime: Runtime,
  order: Order,
): Promise<Result<ServiceResponse, Failure>> {
  const { method, path, body } = order.call;
  const call = {
    customer: order.customer,
    idempotencyKey: order.idempotencyKey,
    fingerprint: fingerprintOf({
      method,
      path: `/${order.service}${path}`,
      body,
    }),
  };
  const patience = order.deadline - runtime.clock.monotonic();
  const answer = await runtime.claims.claimOrWait(call, {
    patience,
    signal: order.signal,
  });
  logClaim(runtime, order, answer);
  if (answer.kind === "owned") return await send(runtime, order, answer.claim);
  return answerExistingClaim(answer);
}

function answerExistingClaim(
  answer: Exclude<ClaimResult, { readonly kind: "owned" }>,
): Result<ServiceResponse, Failure> {
  switch (answer.kind) {
    case "finished":
      if (answer.outcome.bodyOmitted) return Err(bodyNotStored());
      return Ok({
        status: answer.outcome.status,
        headers: { ...answer.outcome.headers, "idempotent-replayed": "true" },
        body: Buffer.from(answer.outcome.body),
      });
    case "in progress":
      return Err({
        code: "order_in_progress",
        ran: "unknown",
        message: "another request with this idempotency key is in progress",
        retryAfter: IN_PROGRESS_RETRY_MILLISECONDS,
      });
    case "unknown outcome":
      return Err(outcomeUnknown("an earlier request with this key was lost"));
    case "different call":
      return Err({
        code: "idempotency_key_reused",
        ran: "no",
        message: "the idempotency key was used for a different call",
      });
    case "not claimed":
      return Err({
        code: "platform_unavailable",
        ran: "no",
        message: `the order could not be claimed: ${answer.reason}`,
        retryAfter: PLATFORM_RETRY_MILLISECONDS,
      });
  }
}

async function send(
  runtime: Runtime,
  order: Order,
  claim: OwnedClaim,
): Promise<Result<ServiceResponse, Failure>> {
  let failure: ServiceFailure | undefined;
  for (const client of runtime.services.list(order.service)) {
    if (!claim.startSending()) break;
    const answer = await client.call(order.call, {
      timeout: order.timeout,
      // Never aborted: the order may have run when the caller disconnects.
      signal: new AbortController().signal,
      ownConnection: true,
    });
    if (answer.isOk()) {
      await waitForStore(runtime, claim.complete(toOutcome(answer.value)));
      return answer;
    }
    failure = answer.error;
    runtime.services.recordFailure(client.address);
    if (failure.sent === "sent") {
      await waitForStore(runtime, claim.markUnknown());
      return Err(outcomeUnknown(describe(failure)));
    }
    claim.markUnsent();
  }
  await waitForStore(runtime, claim.release());
  return Err({
    code: "upstream_unavailable",
    ran: "no",
    message: failure === undefined
      ? "the order was not sent in time"
      : `the service could not be reached: ${describe(failure)}`,
    retryAfter: PLATFORM_RETRY_MILLISECONDS,
  });
}

/**
 * Waits briefly until the outcome is stored, so that a retry by the caller
 * finds it. When the platform is slow or unavailable, storing continues in the
 * background, and a shutdown waits for it.
 */
async function waitForStore(
  runtime: Runtime,
  storing: Promise<unknown>,
): Promise<void> {
  const end = runtime.drain.begin("outcome");
  const background = storing.finally(end);
  const expiry = new AbortController();
  await Promise.race([
    background,
    runtime.clock.sleep(STORE_WAIT_MILLISECONDS, expiry.signal),
  ]);
  expiry.abort();
}

function toOutcome(answer: ServiceResponse): Outcome {
  return { ...answer, bodyOmitted: false };
}

function describe(failure: ServiceFailure): string {
  return `${failure.reason}: ${failure.message}`;
}

function bodyNotStored(): Failure {
  return {
    code: "order_finished",
    ran: "yes",
    message: "the order ran; its answer was too long to be kept",
  };
}

function outcomeUnknown(cause: string): Failure {
  return {
    code: "outcome_unknown",
    ran: "unknown",
    message: `it is not known whether the order ran (${cause})`,
  };
}

function logClaim(runtime: Runtime, order: Order, answer: ClaimResult): void {
  const subject = { request: order.request, customer: order.customer };
  runtime.meters.claims.add(1, { answer: answer.kind });
  if (answer.kind === "owned") {
    return runtime.log(
      "claim_inserted",
      { claim: order.idempotencyKey },
      subject,
    );
  }
  runtime.log("order_refused", { reason: answer.kind }, subject);
}
