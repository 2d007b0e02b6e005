/**
 * Decides whether a response is the answer to the request of its connection. A
 * replica may write an answer to an earlier request of the connection once more.
 */
import { type DispatchRequest, isRetryable } from "@peridotvalve/dispatch";
import type { EventFields } from "@peridotvalve/events";
import type { ResponseHead } from "./connection_pools.ts";
import type { HeaderCodec, ResponseMetadata } from "./header_codec.ts";

export interface ResponseCheckOptions {
  readonly request: DispatchRequest;
  readonly headerCodec: HeaderCodec;
  /** Called for each response, whichever request it belongs to. */
  readonly onResponse: () => void;
  /** Called for a response that is not taken for the answer. */
  readonly onMismatch: (
    fields: Omit<EventFields<"response_mismatched">, "number">,
  ) => void;
}

export interface ResponseCheck {
  /** Returns why the response is not taken for the answer to the request. */
  readonly findMismatch: (head: ResponseHead) => string | undefined;
  /**
   * Returns why an answer that is no refusal cannot be passed on. Without a
   * statement that the request did not run, the status of a refusal would
   * promise it all the same.
   */
  readonly findFlaw: (head: ResponseHead) => string | undefined;
  /** Contents of the head that was checked; empty before. */
  readonly metadata: () => ResponseMetadata;
}

/** Statuses that state to a caller that its request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Reason of a success that does not count, as its origin is not proved. */
const UNSEALED = "success without a seal";

export function createResponseCheck(
  { request, headerCodec, onResponse, onMismatch }: ResponseCheckOptions,
): ResponseCheck {
  let metadata: ResponseMetadata = { isRefusal: false, isMisdirected: false };

  /** A refusal without an id is believed only where a second run is harmless. */
  function compareIds(): string | undefined {
    const { requestId, isRefusal } = metadata;
    if (requestId === request.id) return undefined;
    const isAnonymousRefusal = isRefusal && requestId === undefined;
    if (!isAnonymousRefusal) return "answer to another request";
    return isRetryable(request) ? undefined : "refusal without a request id";
  }

  return {
    findMismatch({ status, headers }) {
      onResponse();
      metadata = headerCodec.readResponse(status, headers);
      const mismatch = compareIds();
      if (mismatch !== undefined) {
        const { requestId: answered = "", isRefusal } = metadata;
        onMismatch({ status, answered, isRefusal });
      }
      return mismatch;
    },
    findFlaw({ status }) {
      const isSuccess = status >= 200 && status < 300;
      if (isSuccess) return metadata.isSealed === true ? undefined : UNSEALED;
      const isUnproved = PROMISES.has(status) && !isRetryable(request);
      return isUnproved ? `replica answered ${status}` : undefined;
    },
    metadata: () => metadata,
  };
}
