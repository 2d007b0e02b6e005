/**
 * The `Failure` type and its error codes. The code determines the HTTP status
 * and the API error type; `ran` is set by the code that creates the failure.
 */
import type { Milliseconds } from "@peridotvalve/types";

/**
 * Whether the request was executed. "no" guarantees that nothing was executed
 * and nothing will be.
 */
export type ExecutionStatus = "no" | "unknown" | "yes";

interface CodeTraits {
  readonly status: number;
  readonly type: string;
}

const FAILURE_CODES = {
  invalid_request: { status: 400, type: "invalid_request_error" },
  idempotency_key_required: { status: 400, type: "invalid_request_error" },
  invalid_api_key: { status: 401, type: "authentication_error" },
  forbidden: { status: 403, type: "permission_error" },
  model_not_found: { status: 404, type: "invalid_request_error" },
  service_not_found: { status: 404, type: "invalid_request_error" },
  not_found: { status: 404, type: "invalid_request_error" },
  request_timeout: { status: 408, type: "invalid_request_error" },
  order_in_progress: { status: 409, type: "conflict_error" },
  order_finished: { status: 409, type: "conflict_error" },
  outcome_unknown: { status: 409, type: "conflict_error" },
  request_too_large: { status: 413, type: "invalid_request_error" },
  idempotency_key_reused: { status: 422, type: "invalid_request_error" },
  rate_limited: { status: 429, type: "rate_limit_error" },
  overloaded: { status: 429, type: "rate_limit_error" },
  cancelled: { status: 499, type: "cancelled_error" },
  internal_error: { status: 500, type: "server_error" },
  upstream_failed: { status: 502, type: "server_error" },
  upstream_protocol: { status: 502, type: "server_error" },
  upstream_unavailable: { status: 503, type: "server_error" },
  platform_unavailable: { status: 503, type: "server_error" },
  daemon_busy: { status: 503, type: "server_error" },
  shutting_down: { status: 503, type: "server_error" },
  not_configured: { status: 503, type: "server_error" },
  upstream_timeout: { status: 504, type: "server_error" },
  patience_exceeded: { status: 504, type: "server_error" },
} as const satisfies Readonly<Record<string, CodeTraits>>;

export type FailureCode = keyof typeof FAILURE_CODES;

export interface Failure {
  readonly code: FailureCode;
  readonly ran: ExecutionStatus;
  readonly message: string;
  /** Name of the invalid request parameter. */
  readonly param?: string;
  /** Delay from now before a retry can succeed. */
  readonly retryAfter?: Milliseconds;
}

/** Returns every failure code, ordered by HTTP status. */
export function listFailureCodes(): readonly FailureCode[] {
  return Object.keys(FAILURE_CODES) as FailureCode[];
}

/** Returns the HTTP status of a failure code. */
export function httpStatusOf(code: FailureCode): number {
  return FAILURE_CODES[code].status;
}

/** Returns the API error type of a failure code. */
export function errorTypeOf(code: FailureCode): string {
  return FAILURE_CODES[code].type;
}
