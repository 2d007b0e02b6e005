/**
 * One HTTP exchange with a caller: the request, the response, its id, its
 * deadline and a signal that fires when the caller has gone.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

const PATIENCE_HEADER = "x-peridotvalve-patience-ms";

export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Fires when the caller's connection closes before the response ended. */
  readonly signal: AbortSignal;
  /** Monotonic time at which the request arrived. */
  readonly arrived: Milliseconds;
  readonly clock: Clock;
}

export function createExchange(
  request: IncomingMessage,
  response: ServerResponse,
  clock: Clock,
): Exchange {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  const id = `req_${randomUUID()}`;
  response.setHeader("x-request-id", id);
  return {
    id,
    request,
    response,
    signal: controller.signal,
    arrived: clock.monotonic(),
    clock,
  };
}

/** How long the caller waits for the first token, or for a whole answer. */
export function readPatience(
  exchange: Exchange,
  fallback: Milliseconds,
): Milliseconds {
  const stated = Number(readHeader(exchange, PATIENCE_HEADER));
  return Number.isFinite(stated) && stated > 0 ? stated : fallback;
}

/** A request header's single value. */
export function readHeader(
  exchange: Exchange,
  name: string,
): string | undefined {
  const value = exchange.request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
