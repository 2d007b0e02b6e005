/**
 * Reads a request body with a bound on its size and on the time it may take.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Failure } from "@peridotvalve/errors";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { type Exchange, readHeader } from "./exchange.ts";

export interface BodyLimits {
  readonly bytes: Bytes;
  readonly timeout: Milliseconds;
}

export async function readBody(
  exchange: Exchange,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<Buffer, Failure>> {
  const announced = Number(readHeader(exchange, "content-length") ?? 0);
  if (announced > limits.bytes) return Err(tooLarge(exchange, limits.bytes));
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
    collect(exchange, limits.bytes),
    expiry,
  ]);
  finished.abort();
  return outcome ?? Err(truncated());
}

async function collect(
  exchange: Exchange,
  limit: Bytes,
): Promise<Result<Buffer, Failure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    const stream = exchange.request.iterator({ destroyOnReturn: false });
    for await (const chunk of stream) {
      size += chunk.length;
      if (size > limit) return Err(tooLarge(exchange, limit));
      chunks.push(chunk);
    }
  } catch {
    return Err(truncated());
  }
  return Ok(Buffer.concat(chunks));
}

function tooLarge(exchange: Exchange, limit: Bytes): Failure {
  // The rest of the body is not read, so the connection cannot be used again.
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
