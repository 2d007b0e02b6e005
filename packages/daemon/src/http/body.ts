/**
 * Reads a request body with limits on its size and on its duration, within the
 * memory that the daemon has for bodies.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { createBusyFailure } from "./busy.ts";
import { type Exchange, readHeader } from "./exchange.ts";

export interface BodyLimits {
  readonly bytes: Bytes;
  readonly timeout: Milliseconds;
}

export interface RequestBody {
  readonly bytes: Buffer;
  /** Call this once when nothing refers to the bytes any more. */
  release(): void;
}

/**
 * Returns a failure if the body is too large, too late or truncated, or if there
 * is no memory for it.
 */
export async function readBody(
  exchange: Exchange,
  limits: BodyLimits,
): Promise<Result<RequestBody, Failure>> {
  const { request, intake, clock } = exchange;
  const declared = Number(readHeader(exchange, "content-length") ?? 0);
  if (declared > limits.bytes) return Err(tooLarge(exchange, limits.bytes));
  const endsAt = clock.monotonic() + limits.timeout;
  const received = await intake.bodies.read(request, limits.bytes, endsAt);
  switch (received.kind) {
    case "complete":
      return Ok({
        bytes: toBuffer(received.body.bytes),
        release: () => received.body.release(),
      });
    case "too long":
      return Err(tooLarge(exchange, limits.bytes));
    case "broken off":
      return Err(truncated());
    case "stalled":
      return Err(late(exchange, limits.timeout));
    case "no room":
    case "too many pieces":
      closeAfterwards(exchange);
      return Err(createBusyFailure());
  }
}

function toBuffer(bytes: Uint8Array = new Uint8Array()): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

/** The rest of the body is not read, so the connection cannot be reused. */
function closeAfterwards({ response }: Exchange): void {
  response.setHeader("connection", "close");
}

function tooLarge(exchange: Exchange, limit: Bytes): Failure {
  closeAfterwards(exchange);
  return {
    code: "request_too_large",
    ran: "no",
    message: `the request body exceeds ${limit} bytes`,
  };
}

function late(exchange: Exchange, timeout: Milliseconds): Failure {
  closeAfterwards(exchange);
  const elapsed = exchange.clock.monotonic() - exchange.arrivedAt;
  return {
    code: "request_timeout",
    ran: "no",
    message: elapsed >= timeout
      ? `the request body did not arrive within ${timeout} ms`
      : "the request body stopped arriving",
  };
}

function truncated(): Failure {
  return {
    code: "invalid_request",
    ran: "no",
    message: "the request body ended early",
  };
}
