/**
 * One request and its response on a connection of undici's pool.
 *
 * undici calls `onRequestStart` immediately before it writes the request to an
 * established connection. Until then nothing has been sent; from then on the
 * request counts as sent, whatever happens to the connection.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  closeByReset,
  createByteQueue,
  isEndedByReset,
} from "@peridotvalve/connections";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "undici";
import type { HttpFailure } from "./http_failure.ts";

export interface HttpExchange {
  readonly handler: Dispatcher.DispatchHandler;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Resolves with undefined when the response headers have arrived. */
  waitForHeaders(timeout: Milliseconds): Promise<HttpFailure | undefined>;
  /** Reads the next part of the body; undefined at its end. */
  read(
    timeout: Milliseconds,
  ): Promise<Result<Uint8Array | undefined, HttpFailure>>;
  /** Reads the rest of the body; the deadline is on the monotonic clock. */
  readAll(
    limits: { readonly deadline: Milliseconds; readonly bytes: Bytes },
  ): Promise<Result<Uint8Array, HttpFailure>>;
  /** Fails the exchange and destroys its connection. */
  fail(reason: HttpFailure["reason"], message: string): HttpFailure;
  /** Discards the body; the connection is reused if the body ends soon. */
  release(): void;
}

interface ExchangeOptions {
  readonly signal?: AbortSignal;
  /** Called before the first byte is written; false withdraws the request. */
  readonly shouldSend?: () => boolean;
  /** Called when a request that was sent misses a deadline. */
  readonly onTimeout: () => void;
}

// The end of a chunked body follows the last event in the same or the next
// packet. Reading on for longer costs more than a new connection.
const RELEASE_TIMEOUT: Milliseconds = 1_000;
const MAX_BUFFERED_BYTES: Bytes = 256 * 1024;

export function createHttpExchange(
  clock: Clock,
  options: ExchangeOptions,
): HttpExchange {
  const received = createByteQueue();
  let controller: Dispatcher.DispatchController | undefined;
  let failure: HttpFailure | undefined;
  let status = 0;
  let headers: Readonly<Record<string, string>> = {};
  let ended = false;
  let released = false;
  let onChange: (() => void) | undefined;

  function signalChange(): void {
    onChange?.();
    onChange = undefined;
  }

  function finish(): void {
    options.signal?.removeEventListener("abort", cancel);
    signalChange();
  }

  function fail(reason: HttpFailure["reason"], message: string): HttpFailure {
    if (failure !== undefined) return failure;
    failure = { sent: controller !== undefined, reason, message };
    if (reason === "timeout" && failure.sent) options.onTimeout();
    if (!ended) closeByReset(() => controller?.abort(new Error(message)));
    finish();
    return failure;
  }

  function cancel(): void {
    fail("cancelled", "the caller cancelled the exchange");
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(requestController) {
      if (failure !== undefined) {
        requestController.abort(new Error("the exchange was withdrawn"));
      } else if (controller !== undefined) {
        requestController.abort(
          new Error("the exchange must not be sent again"),
        );
        fail("cut", "the connection ended before the response");
      } else if (options.shouldSend?.() === false) {
        fail("withdrawn", "the request waited too long for a connection");
        requestController.abort(new Error("the request was withdrawn"));
      } else {
        controller = requestController;
      }
    },
    onResponseStart(_, statusCode, rawHeaders) {
      if (statusCode < 200) return;
      status = statusCode;
      headers = flattenHeaders(rawHeaders);
      signalChange();
    },
    onResponseData(_, chunk) {
      if (released) return;
      received.push(chunk);
      if (received.size > MAX_BUFFERED_BYTES) controller?.pause();
      signalChange();
    },
    onResponseEnd() {
      if (isEndedByReset()) {
        fail("cut", "the connection was reset");
        return;
      }
      ended = true;
      finish();
    },
    onResponseError(_, error) {
      const { reason, message } = classifyError(error, controller);
      fail(reason, message);
    },
  };

  /** Waits for the next change of state; fails the exchange at the timeout. */
  async function waitForChange(timeout: Milliseconds): Promise<void> {
    const timer = new AbortController();
    const changed = new Promise<void>((resolve) => {
      onChange = () => {
        timer.abort();
        resolve();
      };
    });
    const expired = clock.sleep(Math.max(0, timeout), timer.signal).then(() => {
      if (!timer.signal.aborted) fail("timeout", "a deadline has passed");
    });
    await Promise.race([changed, expired]);
  }

  async function waitForHeaders(
    timeout: Milliseconds,
  ): Promise<HttpFailure | undefined> {
    if (status === 0 && failure === undefined) await waitForChange(timeout);
    return failure;
  }

  async function read(
    timeout: Milliseconds,
  ): Promise<Result<Uint8Array | undefined, HttpFailure>> {
    const hasNext = received.size > 0 || ended;
    if (!hasNext && failure === undefined) await waitForChange(timeout);
    const chunk = received.shift();
    if (chunk === undefined) {
      return failure === undefined ? Ok(undefined) : Err(failure);
    }
    if (received.size === 0 && controller?.paused) controller.resume();
    return Ok(chunk);
  }

  async function readAll(
    limits: { readonly deadline: Milliseconds; readonly bytes: Bytes },
  ): Promise<Result<Uint8Array, HttpFailure>> {
    const parts = createByteQueue();
    for (;;) {
      const part = await read(limits.deadline - clock.monotonic());
      if (part.isErr()) return part;
      if (part.value === undefined) return Ok(parts.drain());
      if (clock.monotonic() > limits.deadline) {
        return Err(fail("timeout", "a deadline has passed"));
      }
      if (parts.size + part.value.length > limits.bytes) {
        return Err(fail("protocol", "the response body is too large"));
      }
      parts.push(part.value);
    }
  }

  async function release(): Promise<void> {
    if (ended || failure !== undefined) return;
    released = true;
    if (controller?.paused) controller.resume();
    received.clear();
    const done = new AbortController();
    onChange = () => done.abort();
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
    waitForHeaders,
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
  // undici's parser errors have the name of their class, but not always a code.
  const isMalformed = error.name === "HTTPParserError" ||
    code === "UND_ERR_HEADERS_OVERFLOW";
  // A body that ends early is reported as a parser error too.
  const isTruncated = /invalid eof/i.test(error.message);
  return { reason: isMalformed && !isTruncated ? "protocol" : "cut", message };
}

function flattenHeaders(
  rawHeaders: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> {
  const entries = Object.entries(rawHeaders).flatMap(([name, value]) =>
    value === undefined
      ? []
      : [[name, Array.isArray(value) ? value.join(", ") : value]]
  );
  return Object.fromEntries(entries);
}
