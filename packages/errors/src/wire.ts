/**
 * The form of a failure on the wire: the error shape of the chat-completions
 * API with three more fields.
 */
import { errorTypeOf, type Failure, statusOf } from "./failure.ts";

const MILLISECONDS_PER_SECOND = 1_000;

export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly param: string | null;
    readonly code: string;
    readonly ran: string;
    readonly retry_after_ms: number | null;
    readonly request_id: string;
  };
}

export interface ErrorResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: ErrorBody;
}

/** The HTTP response for a failure. */
export function toResponse(failure: Failure, requestId: string): ErrorResponse {
  return {
    status: statusOf(failure.code),
    headers: headersOf(failure, requestId),
    body: {
      error: {
        message: failure.message,
        type: errorTypeOf(failure.code),
        param: failure.param ?? null,
        code: failure.code,
        ran: failure.ran,
        retry_after_ms: failure.retryAfter ?? null,
        request_id: requestId,
      },
    },
  };
}

function headersOf(
  failure: Failure,
  requestId: string,
): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {
    "x-request-id": requestId,
    // The `openai` client repeats 408, 409, 429 and 5xx by itself; a repeat of
    // work that may have run is the caller's decision.
    "x-should-retry": failure.ran === "no" ? "true" : "false",
  };
  if (failure.retryAfter !== undefined) {
    const seconds = Math.ceil(failure.retryAfter / MILLISECONDS_PER_SECOND);
    headers["retry-after"] = String(seconds);
    headers["retry-after-ms"] = String(failure.retryAfter);
  }
  return headers;
}
