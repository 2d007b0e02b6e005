/**
 * Proxy to the legacy system, which serves the duties that are off. Requests
 * are forwarded unchanged and never retried, because it is not known which of
 * them the legacy system can safely run twice.
 */
import { pipeline } from "node:stream/promises";
import type { Failure } from "@peridotvalve/errors";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent, type Dispatcher, errors } from "undici";
import type { Exchange } from "../http/exchange.ts";
import { listEndToEnd } from "../http/headers.ts";

// Responses may stream for a long time. Only a connection without any bytes for
// this long is considered dead.
const INACTIVITY_TIMEOUT_MILLISECONDS = 120_000;

export interface LegacyProxy {
  /**
   * Answers the exchange with the response of the legacy system. Fails with
   * `upstream_unavailable` when no connection could be made and with
   * `upstream_failed` when no response headers arrived; nothing was written to
   * the caller then.
   */
  forward(
    exchange: Exchange,
    options: { readonly address: string; readonly body: Buffer },
  ): Promise<Result<void, Failure>>;
  close(): Promise<void>;
}

export function createLegacyProxy(): LegacyProxy {
  const agent = new Agent({
    pipelining: 1,
    headersTimeout: INACTIVITY_TIMEOUT_MILLISECONDS,
    bodyTimeout: INACTIVITY_TIMEOUT_MILLISECONDS,
  });

  return {
    async forward(exchange, { address, body }) {
      const response = await sendRequest(agent, exchange, { address, body });
      if (response.isErr()) return response;
      await relayResponse(exchange, response.value);
      return Ok(undefined);
    },
    close: () => agent.destroy(),
  };
}

async function sendRequest(
  agent: Agent,
  exchange: Exchange,
  options: { readonly address: string; readonly body: Buffer },
): Promise<Result<Dispatcher.ResponseData, Failure>> {
  const { method = "GET", url = "/", rawHeaders } = exchange.request;
  try {
    const response = await agent.request({
      origin: `http://${options.address}`,
      path: url,
      method: method as Dispatcher.HttpMethod,
      headers: [...listEndToEnd(rawHeaders)].flat(),
      body: options.body.length > 0 ? options.body : null,
      signal: exchange.signal,
    });
    return Ok(response);
  } catch (error) {
    return Err(toFailure(error));
  }
}

async function relayResponse(
  exchange: Exchange,
  response: Dispatcher.ResponseData,
): Promise<void> {
  const headers = Object.entries(response.headers)
    .filter(([name]) => name !== "transfer-encoding" && name !== "connection");
  exchange.response.writeHead(
    response.statusCode,
    Object.fromEntries(headers) as Record<string, string | string[]>,
  );
  try {
    await pipeline(response.body, exchange.response);
  } catch {
    // The status has already been sent, so the only way to signal an
    // incomplete body is to reset the caller's connection.
    exchange.response.destroy();
  }
}

function toFailure(error: unknown): Failure {
  const code = (error as NodeJS.ErrnoException).code;
  const isUnsent = code === "ECONNREFUSED" ||
    error instanceof errors.ConnectTimeoutError;
  return {
    code: isUnsent ? "upstream_unavailable" : "upstream_failed",
    ran: isUnsent ? "no" : "unknown",
    message: `the legacy system did not answer (${code ?? "no code"})`,
  };
}
