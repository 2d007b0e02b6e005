/**
 * Reads a request body with limits on its size and on its duration.
 */
import type { Clock } from "@peridotvalve/clock";
import { createByteQueue } from "@peridotvalve/connections";
import type { Failure } from "@peridotvalve/errors";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { type Exchange, readHeader } from "./exchange.ts";

export interface BodyLimits {
  readonly bytes: Bytes;
  readonly timeout: Milliseconds;
}

/** Returns a failure if the body is too large, too late or truncated. */
export async function readBody(
  exchange: Exchange,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<Buffer, Failure>> {
  const declared = Number(readHeader(exchange, "content-length") ?? 0);
  if (declared > limits.bytes) return Err(tooLarge(exchange, limits.bytes));
  const finished = new AbortController();
  const expiry = clock.sleep(limits.timeout, finished.signal).then(() => {
    if (finished.signal.aborted) return undefined;
    return Err<Failure>({
      code: "request_timeout",
      ran: "no",
      message: `the request body did not arrive within ${limits.timeout} ms`,
    });
  });
  const outcome = await Promise.race([
    collectChunks(exchange, limits.bytes),
    expiry,
  ]);
  finished.abort();
  return outcome ?? Err(truncated());
}

async function collectChunks(
  exchange: Exchange,
  limit: Bytes,
): Promise<Result<Buffer, Failure>> {
  // A chunk of one byte costs an object of over 100 bytes.
  const received = createByteQueue();
  try {
    const stream = exchange.request.iterator({ destroyOnReturn: false });
    for await (const chunk of stream) {
      received.push(chunk);
      if (received.size > limit) return Err(tooLarge(exchange, limit));
    }
  } catch {
    return Err(truncated());
  }
  return Ok(received.drain());
}

function tooLarge(exchange: Exchange, limit: Bytes): Failure {
  // The rest of the body stays unread, so the connection cannot be reused.
  exchange.response.setHeader("connection", "close");
  return {
    code: "request_too_large",
    ran: "no",
    message: `the request body exceeds ${limit} bytes`,
  };
}

function truncated(): Failure {
  return {
    code: "invalid_request",
    ran: "no",
    message: "the request body ended early",
  };
}
