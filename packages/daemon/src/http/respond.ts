/**
 * Writes responses. After the headers have been sent, a failure can only be
 * reported inside the stream.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { type Failure, toErrorResponse } from "@peridotvalve/errors";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { Exchange } from "./exchange.ts";

export function sendJson(
  exchange: Exchange,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  const response = exchange.response;
  if (response.headersSent) return;
  response.writeHead(status, {
    "content-type": "application/json; charset=utf-8",
    "content-length": Buffer.byteLength(text),
    ...closingHeaders(exchange),
  });
  endResponse(exchange, text);
}

export function sendText(
  exchange: Exchange,
  status: number,
  text: string,
): void {
  exchange.response.writeHead(status, {
    "content-type": "text/plain; version=0.0.4; charset=utf-8",
    "content-length": Buffer.byteLength(text),
    ...closingHeaders(exchange),
  });
  endResponse(exchange, text);
}

/** Longest body whose rest is read so that the connection can be used again. */
const MAX_READ_TO_END: Bytes = 64 * 1_024;

/** Bytes of the rest of a body that are read before the connection closes. */
const MAX_DISCARDED: Bytes = 4 * 1_024 * 1_024;

/** True for a long body that was not read to its end. */
function isLeftUnread({ request: { complete, headers } }: Exchange): boolean {
  if (complete) return false;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > MAX_READ_TO_END;
}

function closingHeaders(exchange: Exchange): { readonly connection?: string } {
  return isLeftUnread(exchange) ? { connection: "close" } : {};
}

/**
 * Closed at once, a connection would be reset while its caller still writes, and
 * the caller might not read the response. Node.js would read the rest of the body
 * for any time.
 */
function endResponse(exchange: Exchange, text: string): void {
  const { request, response, intake } = exchange;
  if (!isLeftUnread(exchange)) {
    response.end(text);
    return;
  }
  response.write(text);
  void intake.bodies.discard(request, MAX_DISCARDED)
    .then(() => response.end());
}

const failures = new WeakMap<ServerResponse, Failure>();

/** Records the failure of an exchange for the metrics. */
export function recordFailure(exchange: Exchange, failure: Failure): void {
  failures.set(exchange.response, failure);
}

export function getFailure(exchange: Exchange): Failure | undefined {
  return failures.get(exchange.response);
}

export function sendFailure(exchange: Exchange, failure: Failure): void {
  recordFailure(exchange, failure);
  const { status, headers, body } = toErrorResponse(failure, exchange.id);
  for (const [name, value] of Object.entries(headers)) {
    if (!exchange.response.headersSent) {
      exchange.response.setHeader(name, value);
    }
  }
  sendJson(exchange, status, body);
}

export function sendBytes(
  exchange: Exchange,
  answer: {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
  },
): void {
  exchange.response.writeHead(answer.status, {
    ...answer.headers,
    "content-length": answer.body.length,
  });
  exchange.response.end(answer.body);
}

/** Starts a stream of server-sent events. */
export function openEventStream(exchange: Exchange): void {
  exchange.response.writeHead(200, {
    "content-type": "text/event-stream; charset=utf-8",
    "cache-control": "no-cache",
  });
}

/** Time for which a caller may leave the send buffer full. */
const CALLER_STALL_TIMEOUT: Milliseconds = 30_000;

/** Writes one server-sent event; waits while the send buffer is full. */
export async function writeEvent(
  exchange: Exchange,
  data: string,
): Promise<void> {
  const response = exchange.response;
  if (response.destroyed) return;
  const hasRoom = response.write(`data: ${data}\n\n`);
  if (!hasRoom) await waitForDrain(exchange);
}

/**
 * A caller whose connection is dead never drains the buffer. Its stream is
 * closed, so that it does not occupy a replica indefinitely.
 */
async function waitForDrain(exchange: Exchange): Promise<void> {
  const { response, signal, clock } = exchange;
  const settled = new AbortController();
  const drained = once(response, "drain", {
    signal: AbortSignal.any([signal, settled.signal]),
  }).catch(() => {});
  const stalled = clock.sleep(CALLER_STALL_TIMEOUT, settled.signal)
    .then(() => !settled.signal.aborted);
  const isStalled = await Promise.race([drained.then(() => false), stalled]);
  settled.abort();
  if (isStalled) response.destroy();
}
