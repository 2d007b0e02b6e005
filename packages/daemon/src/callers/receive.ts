/**
 * Steps that the handlers of all callers' requests share: authenticating the
 * caller, receiving the body, and refusing a request.
 */
import type { Failure } from "@peridotvalve/errors";
import type { VersionedConfiguration } from "@peridotvalve/types";
import { Ok, type Result } from "ts-results-es";
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
}

/**
 * Authenticates the caller and reads the request body within the configured
 * limits. Fails when there is no configuration yet, when the body is too long
 * or too slow, and, without a legacy system, when authentication fails.
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
  const body = await readBody(exchange, bodyLimits, runtime.clock);
  if (body.isErr()) return body;
  // The configuration may have changed while the body was being received.
  const configuration = requireConfiguration(runtime).unwrapOr(
    configured.value,
  );
  const identity = authenticate(exchange, configuration.content);
  return Ok({ configuration, identity, body: body.value });
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
