/**
 * Passes a request unchanged to the legacy system, which serves the duties
 * that are off. Nothing is repeated: what the legacy system may repeat is not
 * known here.
 */
import { pipeline } from "node:stream/promises";
import type { Failure } from "@peridotvalve/errors";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent, type Dispatcher, errors } from "undici";
import type { Exchange } from "../http/exchange.ts";
import { listEndToEnd } from "../http/headers.ts";

// Answers of the legacy system may stream for long; a connection without any
// bytes for this long is taken for dead.
const SILENCE_LIMIT_MILLISECONDS = 120_000;

export interface LegacyProxy {
  /** Answers the exchange with the legacy system's response. */
  pass(
    exchange: Exchange,
    options: { readonly address: string; readonly body: Buffer },
  ): Promise<Result<void, Failure>>;
  close(): Promise<void>;
}

export function createLegacyProxy(): LegacyProxy {
  const agent = new Agent({
    pipelining: 1,
    headersTimeout: SILENCE_LIMIT_MILLISECONDS,
    bodyTimeout: SILENCE_LIMIT_MILLISECONDS,
  });

  return {
    async pass(exchange, { address, body }) {
      const answer = await send(agent, exchange, { address, body });
      if (answer.isErr()) return answer;
      await relay(exchange, answer.value);
      return Ok(undefined);
    },
    close: () => agent.destroy(),
  };
}

async function send(
  agent: Agent,
  exchange: Exchange,
  options: { readonly address: string; readonly body: Buffer },
): Promise<Result<Dispatcher.ResponseData, Failure>> {
  const { method = "GET", url = "/", rawHeaders } = exchange.request;
  try {
    const answer = await agent.request({
      origin: `http://${options.address}`,
      path: url,
      method: method as Dispatcher.HttpMethod,
      headers: [...listEndToEnd(rawHeaders)].flat(),
      body: options.body.length > 0 ? options.body : null,
      signal: exchange.signal,
    });
    return Ok(answer);
  } catch (error) {
    return Err(describe(error));
  }
}

async function relay(
  exchange: Exchange,
  answer: Dispatcher.ResponseData,
): Promise<void> {
  const headers = Object.entries(answer.headers)
    .filter(([name]) => name !== "transfer-encoding" && name !== "connection");
  exchange.response.writeHead(
    answer.statusCode,
    Object.fromEntries(headers) as Record<string, string | string[]>,
  );
  try {
    await pipeline(answer.body, exchange.response);
  } catch {
    // Headers are sent, so a cut can only be shown by cutting.
    exchange.response.destroy();
  }
}

function describe(error: unknown): Failure {
  const code = (error as NodeJS.ErrnoException).code;
  const isUnsent = code === "ECONNREFUSED" ||
    error instanceof errors.ConnectTimeoutError;
  return {
    code: isUnsent ? "upstream_unavailable" : "upstream_failed",
    ran: isUnsent ? "no" : "unknown",
    message: `the legacy system did not answer (${code ?? "no code"})`,
  };
}
