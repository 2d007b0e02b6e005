/**
 * Interface of a plain service: an HTTP service with an API of its own, in
 * contrast to a model engine.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Delivery } from "./engine.ts";

export interface ServiceCall {
  readonly method: string;
  /** Path and query after the name of the service. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceFailure {
  readonly sent: Delivery;
  readonly reason:
    | "unreachable"
    | "timeout"
    | "cut"
    | "protocol"
    | "cancelled"
    | "withdrawn";
  readonly message: string;
}

export abstract class PlainService {
  abstract readonly address: string;

  /** Sends a call at most once; no lower layer retries it. */
  abstract call(
    call: ServiceCall,
    options: { readonly timeout: Milliseconds; readonly signal: AbortSignal },
  ): Promise<Result<ServiceResponse, ServiceFailure>>;
}
