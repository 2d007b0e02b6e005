/**
 * Recognizes responses that are no answer to any request: a status that HTTP
 * does not define, and an informational response in the place of the final one.
 */
import type { Milliseconds } from "@peridotvalve/types";

/** Reason of an attempt whose response is malformed. */
export const MALFORMED = "malformed response";

/**
 * Time for the final response to follow an informational one. A replica that
 * ends its answer there keeps the connection open, so that only time tells. A
 * shorter time would cut off orders that a replica acknowledges before it runs
 * them.
 */
export const FINAL_RESPONSE_WAIT: Milliseconds = 400;

/** Switch of protocols, which no request asks for. */
const SWITCHING_PROTOCOLS = 101;

const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** RFC 9110 forbids these in informational responses, which have no body. */
const FRAMING = ["content-length", "transfer-encoding"] as const;

export interface ReceivedHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Returns the reason for which a response with the head is no answer. */
export function findMalformation(
  { status, headers }: ReceivedHead,
): string | undefined {
  const isFinal = status >= 200 && status <= MAX_STATUS;
  if (isFinal) return undefined;
  const isInterim = status >= MIN_STATUS && status < 200 &&
    status !== SWITCHING_PROTOCOLS &&
    FRAMING.every((name) => headers[name] === undefined);
  return isInterim ? undefined : malformedStatus(status);
}

export function malformedStatus(status: number): string {
  return `${MALFORMED}: status ${String(status).padStart(3, "0")}`;
}

/** Errors of `undici` whose text says nothing to a caller. */
const PARSER_ERRORS: ReadonlySet<string> = new Set([
  "AssertionError",
  "HTTPParserError",
]);

/** Texts of `undici` for an unasked `100` and an unasked upgrade. */
const PARSER_REASONS: ReadonlySet<string> = new Set([
  "bad response",
  "bad upgrade",
]);

/** Returns the reason of an attempt that ended with the error. */
export function explainError({ name, message }: Error): string {
  if (PARSER_ERRORS.has(name) || PARSER_REASONS.has(message)) return MALFORMED;
  return message === "" ? name : message;
}
