/**
 * Encodes a failure as an HTTP response. The body is the error object of the
 * chat-completions API with three additional fields.
 */
import { errorTypeOf, type Failure, httpStatusOf } from "./failure.ts";

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

/** Converts a failure to its HTTP response. */
export function toErrorResponse(
  failure: Failure,
  requestId: string,
): ErrorResponse {
  return {
    status: httpStatusOf(failure.code),
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
    // The `openai` client retries 408, 409, 429 and 5xx automatically. Whether
    // to retry a request that may have been executed is up to the caller.
    "x-should-retry": failure.ran === "no" ? "true" : "false",
  };
  if (failure.retryAfter !== undefined) {
    const seconds = Math.ceil(failure.retryAfter / MILLISECONDS_PER_SECOND);
    headers["retry-after"] = String(seconds);
    headers["retry-after-ms"] = String(failure.retryAfter);
  }
  return headers;
}
