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

export interface CallLimits {
  readonly timeout: Milliseconds;
  readonly signal: AbortSignal;
  /**
   * Sends the call over a connection of its own. Services return no id, so on a
   * connection that has carried other calls a late copy of an earlier answer
   * cannot be told from the answer to this one.
   */
  readonly ownConnection?: boolean;
}

export abstract class PlainService {
  abstract readonly address: string;

  /** Sends a call at most once; no lower layer retries it. */
  abstract call(
    call: ServiceCall,
    limits: CallLimits,
  ): Promise<Result<ServiceResponse, ServiceFailure>>;
}
