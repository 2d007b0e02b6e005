/**
 * HTTP client for one upstream address. A request is sent at most once: undici
 * is used below its retrying layers, and a request that undici would write a
 * second time is aborted.
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

export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface RequestLimits {
  readonly timeout: Milliseconds;
  readonly signal?: AbortSignal;
  /** Called before the first byte is written; false withdraws the request. */
  readonly shouldSend?: () => boolean;
  /**
   * Uses a new connection for this request only, so that no answer to an earlier
   * request can arrive on it. For requests that may run once and whose answers
   * bear no id.
   */
  readonly ownConnection?: boolean;
}

export interface HttpClientOptions {
  /** `HOST:PORT` or a base URL. */
  readonly address: string;
  readonly clock: Clock;
  /** Maximum number of connections to the address; further requests wait. */
  readonly connections?: number;
  readonly connectTimeout?: Milliseconds;
  /** Maximum length of a response body that `send` reads. */
  readonly maxResponseBytes?: Bytes;
  readonly maxHeaderBytes?: Bytes;
  /** Called for each request; its headers override the request's own. */
  readonly createHeaders?: () => Readonly<Record<string, string>>;
}

export abstract class HttpClient {
  abstract readonly address: string;

  /** Sends the request and waits for the response headers. */
  abstract open(
    request: HttpRequest,
    limits: RequestLimits,
  ): Promise<Result<HttpExchange, HttpFailure>>;

  /** Sends the request and reads the whole response. */
  abstract send(
    request: HttpRequest,
    limits: RequestLimits,
  ): Promise<Result<HttpResponse, HttpFailure>>;

  /** Aborts every exchange and closes all connections. */
  abstract close(): Promise<void>;
}

const DEFAULT_CONNECTIONS = 256;
const DEFAULT_CONNECT_TIMEOUT: Milliseconds = 2_000;
const DEFAULT_MAX_RESPONSE_BYTES: Bytes = 16 * 1024 * 1024;
const DEFAULT_MAX_HEADER_BYTES: Bytes = 16 * 1024;

// Network devices drop the state of idle connections without notifying either
// end, so idle connections are kept for a few seconds only and probed in use.
const KEEP_ALIVE_TIMEOUT: Milliseconds = 4_000;
const KEEP_ALIVE_DELAY: Milliseconds = 5_000;

function createPool(base: URL, options: HttpClientOptions): Pool {
  return new Pool(base.origin, {
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    pipelining: 1,
    // Callers enforce the deadlines, on the `Clock` that they pass.
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT,
    maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
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
  const maxResponseBytes = options.maxResponseBytes ??
    DEFAULT_MAX_RESPONSE_BYTES;
  const closingPools = new Set<Pool>();
  let pool = createPool(base, options);

  /**
   * Replaces the pool after a timeout, so that no open connection is reused.
   * Whatever made one silent has probably lost the state of the others too.
   */
  function replacePool(timedOut: Pool): void {
    if (timedOut !== pool) return;
    pool = createPool(base, options);
    closingPools.add(timedOut);
    timedOut.close().finally(() => closingPools.delete(timedOut));
  }

  /** Creates a pool of one connection, which closes after its first request. */
  function createSinglePool(): Pool {
    const single = createPool(base, { ...options, connections: 1 });
    closingPools.add(single);
    return single;
  }

  function closeAfterUse(single: Pool): void {
    // Rejects only when the pool has been destroyed.
    single.close().catch(() => {}).finally(() => closingPools.delete(single));
  }

  async function open(
    request: HttpRequest,
    limits: RequestLimits,
  ): Promise<Result<HttpExchange, HttpFailure>> {
    const isSingle = limits.ownConnection === true;
    const currentPool = isSingle ? createSinglePool() : pool;
    const exchange = createHttpExchange(clock, {
      onTimeout: () => replacePool(currentPool),
      ...(limits.signal === undefined ? {} : { signal: limits.signal }),
      ...(limits.shouldSend === undefined
        ? {}
        : { shouldSend: limits.shouldSend }),
    });
    if (!limits.signal?.aborted) {
      try {
        currentPool.dispatch({
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
    if (isSingle) closeAfterUse(currentPool);
    const failure = await exchange.waitForHeaders(limits.timeout);
    return failure === undefined ? Ok(exchange) : Err(failure);
  }

  async function send(
    request: HttpRequest,
    limits: RequestLimits,
  ): Promise<Result<HttpResponse, HttpFailure>> {
    const deadline = clock.monotonic() + limits.timeout;
    const opened = await open(request, limits);
    if (opened.isErr()) return opened;
    const exchange = opened.value;
    const body = await exchange.readAll({
      deadline,
      bytes: maxResponseBytes,
    });
    if (body.isErr()) return body;
    const { status, headers } = exchange;
    return Ok({ status, headers, body: body.value });
  }

  return new (class extends HttpClient {
    override readonly address = address;
    override open = open;
    override send = send;
    override async close(): Promise<void> {
      await Promise.all([pool, ...closingPools].map((each) => each.destroy()));
    }
  })();
}
