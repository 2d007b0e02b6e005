/**
 * One HTTP exchange with a caller: the request, the response, the request id,
 * the caller's patience and a signal that aborts when the caller disconnects.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { Intake } from "./intake.ts";

const PATIENCE_HEADER = "x-peridotvalve-patience-ms";

export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborts when the connection closes before the response has been sent. */
  readonly signal: AbortSignal;
  /** Monotonic time in ms at which the request arrived. */
  readonly arrivedAt: Milliseconds;
  readonly clock: Clock;
  readonly intake: Intake;
}

export function createExchange(
  request: IncomingMessage,
  response: ServerResponse,
  { clock, intake }: Pick<Exchange, "clock" | "intake">,
): Exchange {
  const controller = new AbortController();
  const { socket } = request;
  const recordClose = () => {
    if (!response.writableFinished) controller.abort();
  };
  // The end of the socket is read some turns of the event loop before the
  // response closes.
  socket.once("end", recordClose);
  response.once("close", () => {
    socket.off("end", recordClose);
    recordClose();
  });
  const id = `req_${randomUUID()}`;
  response.setHeader("x-request-id", id);
  return {
    id,
    request,
    response,
    signal: controller.signal,
    arrivedAt: clock.monotonic(),
    clock,
    intake,
  };
}

/** Time in ms the caller waits for the first token or a complete response. */
export function readPatience(
  exchange: Exchange,
  fallback: Milliseconds,
): Milliseconds {
  const stated = Number(readHeader(exchange, PATIENCE_HEADER));
  return Number.isFinite(stated) && stated > 0 ? stated : fallback;
}

/** Returns a request header's value, or the first of several. */
export function readHeader(
  exchange: Exchange,
  name: string,
): string | undefined {
  const value = exchange.request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
