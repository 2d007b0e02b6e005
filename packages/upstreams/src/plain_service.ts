/**
 * A plain service, which speaks HTTP of its own.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Sent } from "./engine.ts";

export interface ServiceCall {
  readonly method: string;
  /** Path and query behind the service's name. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface ServiceFailure {
  readonly sent: Sent;
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

  /** Sends a call exactly once; no layer below repeats it. */
  abstract call(
    call: ServiceCall,
    options: { readonly timeout: Milliseconds; readonly signal: AbortSignal },
  ): Promise<Result<ServiceAnswer, ServiceFailure>>;
}
