/**
 * One request and its response on a connection of undici's pool.
 *
 * undici calls `onRequestStart` immediately before it writes the request to an
 * established connection. Until then nothing has been sent; from then on the
 * request counts as sent, whatever happens to the connection.
 */
import type { Clock } from "@peridotvalve/clock";
import { isEndedByReset } from "@peridotvalve/connections";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "undici";
import type { HttpFailure } from "./http_failure.ts";

export interface HttpExchange {
  readonly handler: Dispatcher.DispatchHandler;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Undefined once the response's header is there. */
  waitForHeader(timeout: Milliseconds): Promise<HttpFailure | undefined>;
  /** The next part of the body; undefined at its end. */
  read(
    timeout: Milliseconds,
  ): Promise<Result<Uint8Array | undefined, HttpFailure>>;
  /** The rest of the body, up to a time on the monotonic clock. */
  readAll(
    limits: { readonly due: Milliseconds; readonly bytes: Bytes },
  ): Promise<Result<Uint8Array, HttpFailure>>;
  /** Ends the exchange and destroys its connection. */
  fail(reason: HttpFailure["reason"], message: string): HttpFailure;
  /** Lets the connection return to the pool if the body ends soon. */
  release(): void;
}

interface ExchangeOptions {
  readonly signal?: AbortSignal;
  /** Asked before the first byte is written; false withdraws the request. */
  readonly mayBegin?: () => boolean;
  /** Called when the request was sent and missed a deadline. */
  readonly onTimeout: () => void;
}

// The end of a chunked body follows the last event in the same or the next
// packet; a body that goes on for longer is not worth its connection.
const RELEASE_TIMEOUT: Milliseconds = 1_000;
const BUFFERED_BYTES: Bytes = 256 * 1024;

export function createHttpExchange(
  clock: Clock,
  options: ExchangeOptions,
): HttpExchange {
  const chunks: Uint8Array[] = [];
  let controller: Dispatcher.DispatchController | undefined;
  let failure: HttpFailure | undefined;
  let status = 0;
  let headers: Readonly<Record<string, string>> = {};
  let buffered: Bytes = 0;
  let ended = false;
  let released = false;
  let notify: (() => void) | undefined;

  function wake(): void {
    notify?.();
    notify = undefined;
  }

  function settle(): void {
    options.signal?.removeEventListener("abort", cancel);
    wake();
  }

  function fail(reason: HttpFailure["reason"], message: string): HttpFailure {
    if (failure !== undefined) return failure;
    failure = { sent: controller !== undefined, reason, message };
    if (reason === "timeout" && failure.sent) options.onTimeout();
    if (!ended) controller?.abort(new Error(message));
    settle();
    return failure;
  }

  function cancel(): void {
    fail("cancelled", "the caller cancelled the exchange");
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      if (failure !== undefined) {
        started.abort(new Error("the exchange was withdrawn"));
      } else if (controller !== undefined) {
        started.abort(new Error("the exchange must not be sent again"));
        fail("cut", "the connection ended before the response");
      } else if (options.mayBegin?.() === false) {
        fail("withdrawn", "the request waited too long for a connection");
        started.abort(new Error("the request was withdrawn"));
      } else {
        controller = started;
      }
    },
    onResponseStart(_, code, fields) {
      if (code < 200) return;
      status = code;
      headers = flattenHeaders(fields);
      wake();
    },
    onResponseData(_, chunk) {
      if (released) return;
      // The parser's buffer is reused after this call.
      chunks.push(Uint8Array.from(chunk));
      buffered += chunk.length;
      if (buffered > BUFFERED_BYTES) controller?.pause();
      wake();
    },
    onResponseEnd() {
      if (isEndedByReset()) {
        fail("cut", "the connection was reset");
        return;
      }
      ended = true;
      settle();
    },
    onResponseError(_, error) {
      const { reason, message } = classifyError(error, controller);
      fail(reason, message);
    },
  };

  /** Waits for the next change, or fails the exchange at its deadline. */
  async function waitForChange(timeout: Milliseconds): Promise<void> {
    const woken = new AbortController();
    const changed = new Promise<void>((resolve) => {
      notify = () => {
        woken.abort();
        resolve();
      };
    });
    const expired = clock.sleep(Math.max(0, timeout), woken.signal).then(() => {
      if (!woken.signal.aborted) fail("timeout", "a deadline has passed");
    });
    await Promise.race([changed, expired]);
  }

  async function waitForHeader(
    timeout: Milliseconds,
  ): Promise<HttpFailure | undefined> {
    if (status === 0 && failure === undefined) await waitForChange(timeout);
    return failure;
  }

  async function read(
    timeout: Milliseconds,
  ): Promise<Result<Uint8Array | undefined, HttpFailure>> {
    const next = chunks.length > 0 || ended;
    if (!next && failure === undefined) await waitForChange(timeout);
    const chunk = chunks.shift();
    if (chunk === undefined) {
      return failure === undefined ? Ok(undefined) : Err(failure);
    }
    buffered -= chunk.length;
    if (chunks.length === 0 && controller?.paused) controller.resume();
    return Ok(chunk);
  }

  async function readAll(
    limits: { readonly due: Milliseconds; readonly bytes: Bytes },
  ): Promise<Result<Uint8Array, HttpFailure>> {
    const parts: Uint8Array[] = [];
    let length: Bytes = 0;
    for (;;) {
      const part = await read(limits.due - clock.monotonic());
      if (part.isErr()) return part;
      if (part.value === undefined) return Ok(Buffer.concat(parts));
      if (clock.monotonic() > limits.due) {
        return Err(fail("timeout", "a deadline has passed"));
      }
      length += part.value.length;
      if (length > limits.bytes) {
        return Err(fail("protocol", "the response body is too large"));
      }
      parts.push(part.value);
    }
  }

  async function release(): Promise<void> {
    if (ended || failure !== undefined) return;
    released = true;
    if (controller?.paused) controller.resume();
    chunks.length = 0;
    const done = new AbortController();
    notify = () => done.abort();
    await clock.sleep(RELEASE_TIMEOUT, done.signal);
    if (!ended) fail("protocol", "the response body did not end");
  }

  if (options.signal?.aborted) cancel();
  else options.signal?.addEventListener("abort", cancel, { once: true });

  return {
    handler,
    get status() {
      return status;
    },
    get headers() {
      return headers;
    },
    waitForHeader,
    read,
    readAll,
    fail,
    release,
  };
}

function classifyError(
  error: Error,
  controller: Dispatcher.DispatchController | undefined,
): Pick<HttpFailure, "reason" | "message"> {
  const code = (error as { readonly code?: string }).code ?? error.name;
  const message = `${code}: ${error.message}`;
  if (controller === undefined) return { reason: "unreachable", message };
  // undici gives the parser's errors their class's name, but not always a code.
  const malformed = error.name === "HTTPParserError" ||
    code === "UND_ERR_HEADERS_OVERFLOW";
  // A body that ends early makes a parser error, too.
  const cut = /invalid eof/i.test(error.message);
  return { reason: malformed && !cut ? "protocol" : "cut", message };
}

function flattenHeaders(
  fields: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> {
  const entries = Object.entries(fields).flatMap(([name, value]) =>
    value === undefined
      ? []
      : [[name, Array.isArray(value) ? value.join(", ") : value]]
  );
  return Object.fromEntries(entries);
}
