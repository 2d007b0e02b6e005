/**
 * The common start and the refusal of an exchange with a caller.
 */
import type { Failure } from "@peridotvalve/errors";
import type { VersionedConfiguration } from "@peridotvalve/types";
import { Ok, type Result } from "ts-results-es";
import { readBody } from "../http/body.ts";
import type { Exchange } from "../http/exchange.ts";
import { sendFailure } from "../http/respond.ts";
import { readConfigured, type Runtime } from "../runtime.ts";
import { authenticate, type Identity } from "./authentication.ts";

export interface Received {
  /** In force when the whole body had arrived. */
  readonly configuration: VersionedConfiguration;
  /** An unknown key is a failure only for duties that are on. */
  readonly identity: Result<Identity, Failure>;
  readonly body: Buffer;
}

export async function receive(
  runtime: Runtime,
  exchange: Exchange,
): Promise<Result<Received, Failure>> {
  const configured = readConfigured(runtime);
  if (configured.isErr()) return configured;
  const { limits, legacy } = configured.value.content;
  const early = authenticate(exchange, configured.value.content);
  // Only the legacy system may know the key; otherwise no body is read for it.
  if (early.isErr() && legacy === undefined) return early;
  const bounds = { bytes: limits.requestBytes, timeout: limits.bodyTimeout };
  const body = await readBody(exchange, bounds, runtime.clock);
  if (body.isErr()) return body;
  // Read again: a change may have come into force while the body arrived.
  const configuration = readConfigured(runtime).unwrapOr(configured.value);
  const identity = authenticate(exchange, configuration.content);
  return Ok({ configuration, identity, body: body.value });
}

export function refuse(
  runtime: Runtime,
  exchange: Exchange,
  failure: Failure,
): void {
  const { code, ran } = failure;
  runtime.log("request_refused", { code, ran }, { request: exchange.id });
  sendFailure(exchange, failure);
}
