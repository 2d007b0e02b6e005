/**
 * HTTP exchanges with one upstream address. An exchange is sent at most once:
 * undici is used below its retrying layers, and an exchange that undici would
 * write a second time is aborted.
 */
import type { Clock } from "@peridotvalve/clock";
import { createConnector } from "@peridotvalve/connections";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { Pool } from "undici";
import { createHttpExchange, type HttpExchange } from "./http_exchange.ts";
import type { HttpFailure } from "./http_failure.ts";

export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
}

export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface HttpLimits {
  readonly timeout: Milliseconds;
  readonly signal?: AbortSignal;
  /** Asked before the first byte is written; false withdraws the request. */
  readonly mayBegin?: () => boolean;
}

export interface HttpClientOptions {
  /** `HOST:PORT` or a base URL. */
  readonly address: string;
  readonly clock: Clock;
  /** Connections to the address at once; further requests wait. */
  readonly connections?: number;
  readonly connectTimeout?: Milliseconds;
  /** Bound of a whole response body. */
  readonly responseBytes?: Bytes;
  readonly headerBytes?: Bytes;
  /** Headers of every request, made anew for each; they go over its own. */
  readonly createHeaders?: () => Readonly<Record<string, string>>;
}

export abstract class HttpClient {
  abstract readonly address: string;

  /** Sends the request and waits for the response's header. */
  abstract open(
    request: HttpRequest,
    limits: HttpLimits,
  ): Promise<Result<HttpExchange, HttpFailure>>;

  /** Sends the request and reads the whole response. */
  abstract send(
    request: HttpRequest,
    limits: HttpLimits,
  ): Promise<Result<HttpAnswer, HttpFailure>>;

  /** Ends every exchange and closes all connections. */
  abstract close(): Promise<void>;
}

const DEFAULT_CONNECTIONS = 256;
const DEFAULT_CONNECT_TIMEOUT: Milliseconds = 2_000;
const DEFAULT_RESPONSE_BYTES: Bytes = 16 * 1024 * 1024;
const DEFAULT_HEADER_BYTES: Bytes = 16 * 1024;

// Network devices forget idle connections without telling either end, so idle
// connections are kept for a few seconds only and probed while in use.
const IDLE_TIMEOUT: Milliseconds = 4_000;
const KEEP_ALIVE_DELAY: Milliseconds = 5_000;

function createPool(base: URL, options: HttpClientOptions): Pool {
  return new Pool(base.origin, {
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    pipelining: 1,
    // The callers hold the deadlines, on the clock of this project.
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_TIMEOUT,
    keepAliveMaxTimeout: IDLE_TIMEOUT,
    maxHeaderSize: options.headerBytes ?? DEFAULT_HEADER_BYTES,
    connect: createConnector({
      timeout: options.connectTimeout ?? DEFAULT_CONNECT_TIMEOUT,
      keepAliveDelay: KEEP_ALIVE_DELAY,
    }),
  });
}

export function createHttpClient(options: HttpClientOptions): HttpClient {
  const { address, clock } = options;
  const base = new URL(address.includes("://") ? address : `http://${address}`);
  const prefix = base.pathname.replace(/\/$/, "");
  const responseBytes = options.responseBytes ?? DEFAULT_RESPONSE_BYTES;
  const retiring = new Set<Pool>();
  let pool = createPool(base, options);

  /**
   * Stops the reuse of all connections that are open now. Whatever made one
   * connection silent has likely also forgotten the others.
   */
  function renewPool(silent: Pool): void {
    if (silent !== pool) return;
    pool = createPool(base, options);
    retiring.add(silent);
    silent.close().finally(() => retiring.delete(silent));
  }

  async function open(
    request: HttpRequest,
    limits: HttpLimits,
  ): Promise<Result<HttpExchange, HttpFailure>> {
    const used = pool;
    const exchange = createHttpExchange(clock, {
      onTimeout: () => renewPool(used),
      ...(limits.signal === undefined ? {} : { signal: limits.signal }),
      ...(limits.mayBegin === undefined ? {} : { mayBegin: limits.mayBegin }),
    });
    if (!limits.signal?.aborted) {
      try {
        used.dispatch({
          method: request.method,
          path: prefix + request.path,
          headers: { ...request.headers, ...options.createHeaders?.() },
          body: request.body ?? null,
          idempotent: false,
        }, exchange.handler);
      } catch (error) {
        exchange.fail("protocol", String(error));
      }
    }
    const failure = await exchange.waitForHeader(limits.timeout);
    return failure === undefined ? Ok(exchange) : Err(failure);
  }

  async function send(
    request: HttpRequest,
    limits: HttpLimits,
  ): Promise<Result<HttpAnswer, HttpFailure>> {
    const due = clock.monotonic() + limits.timeout;
    const opened = await open(request, limits);
    if (opened.isErr()) return opened;
    const exchange = opened.value;
    const body = await exchange.readAll({ due, bytes: responseBytes });
    if (body.isErr()) return body;
    const { status, headers } = exchange;
    return Ok({ status, headers, body: body.value });
  }

  return new (class extends HttpClient {
    override readonly address = address;
    override open = open;
    override send = send;
    override async close(): Promise<void> {
      await Promise.all([pool, ...retiring].map((each) => each.destroy()));
    }
  })();
}
