/**
 * Steps that the handlers of all callers' requests share: authenticating the
 * caller, receiving the body, and refusing a request.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Bytes, VersionedConfiguration } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { readBody } from "../http/body.ts";
import type { Exchange } from "../http/exchange.ts";
import { sendFailure } from "../http/respond.ts";
import { requireConfiguration, type Runtime } from "../runtime.ts";
import { authenticate, type Identity } from "./authentication.ts";

export interface ReceivedRequest {
  /** Configuration that was current once the whole body had been received. */
  readonly configuration: VersionedConfiguration;
  /**
   * A failure matters only for duties that are on: the legacy system may know
   * keys that are unknown here.
   */
  readonly identity: Result<Identity, Failure>;
  readonly body: Buffer;
  /** Call this once when nothing refers to the body any more. */
  release(): void;
}

/** Objects of a request in progress, apart from its body. */
const REQUEST_MEMORY: Bytes = 16 * 1_024;

/** The caller left before anything was done for its request. */
const CALLER_LEFT: Failure = {
  code: "cancelled",
  ran: "no",
  message: "the caller disconnected",
};

/**
 * Authenticates the caller and reads the request body within the configured
 * limits. Fails when there is no configuration yet, when the body is too long
 * or too slow, when there is no memory for it, when the caller has left, and,
 * without a legacy system, when authentication fails.
 */
export async function receiveRequest(
  runtime: Runtime,
  exchange: Exchange,
): Promise<Result<ReceivedRequest, Failure>> {
  const configured = requireConfiguration(runtime);
  if (configured.isErr()) return configured;
  const { limits, legacy } = configured.value.content;
  const earlyIdentity = authenticate(exchange, configured.value.content);
  // Without a legacy system an unknown key is refused before its body is read.
  if (earlyIdentity.isErr() && legacy === undefined) return earlyIdentity;
  const bodyLimits = {
    bytes: limits.requestBytes,
    timeout: limits.bodyTimeout,
  };
  const work = await runtime.intake.takeForWork(REQUEST_MEMORY);
  if (work.isErr()) return work;
  const { release: releaseWork } = work.value;
  const body = await readBody(exchange, bodyLimits);
  function release(): void {
    releaseWork();
    if (body.isOk()) body.value.release();
  }
  if (body.isErr()) {
    release();
    return body;
  }
  await runtime.sendGate.pass();
  if (exchange.signal.aborted) {
    release();
    return Err(CALLER_LEFT);
  }
  // The configuration may have changed while the body was being received.
  const configuration = requireConfiguration(runtime).unwrapOr(
    configured.value,
  );
  const identity = authenticate(exchange, configuration.content);
  return Ok({ configuration, identity, body: body.value.bytes, release });
}

/** Logs the refusal of a request and sends the failure to the caller. */
export function refuse(
  runtime: Runtime,
  exchange: Exchange,
  failure: Failure,
): void {
  const { code, ran } = failure;
  runtime.log("request_refused", { code, ran }, { request: exchange.id });
  sendFailure(exchange, failure);
}
