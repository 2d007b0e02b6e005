/**
 * HTTP client for one origin. Each exchange has a deadline, and its outcome
 * states whether the request was written, because only a request that was never
 * written certainly has no effect.
 */
import type { Clock } from "@peridotvalve/clock";
import { type ByteBudget, createByteQueue } from "@peridotvalve/connections";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Pool } from "undici";

export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly headers?: Readonly<Record<string, string>>;
  readonly path: string;
  readonly body?: string;
  readonly contentType?: string;
}

export type Exchange =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** By lowercase name. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
  }
  /** No byte of the request was written and none will be. */
  | { readonly kind: "not sent"; readonly reason: string }
  /** At least part of the request was written; no complete response came. */
  | { readonly kind: "lost"; readonly reason: string };

export interface HttpClientOptions {
  readonly origin: string;
  readonly clock: Clock;
  readonly connections: number;
  readonly maxResponseBytes: Bytes;
  /** Shared by the long responses of several clients. */
  readonly memory?: ByteBudget;
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

export abstract class HttpClient {
  abstract send(
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<Exchange>;
  abstract close(): Promise<void>;
}

// Closes idle connections before common load balancers drop their state.
const KEEP_ALIVE_TIMEOUT: Milliseconds = 4_000;

/**
 * Length up to which a response takes nothing from the budget, so that long ones
 * keep no short one out.
 */
const FREE_RESPONSE_BYTES: Bytes = 64 * 1_024;

// A lost handshake packet is retransmitted after 1 s. Two packets may be lost
// before the attempt fails and frees its place in the pool.
const CONNECT_TIMEOUT: Milliseconds = 4_000;

export function createHttpClient(options: HttpClientOptions): HttpClient {
  let pool = createPool(options);

  /**
   * Replaces the pool after a missed deadline, because a network device between
   * the endpoints may have lost the state of all open connections. New requests
   * use a new pool; the old one closes when its requests have ended.
   */
  function replacePool(timedOut: Pool): void {
    if (timedOut !== pool) return;
    pool = createPool(options);
    timedOut.close().catch(() => {});
  }

  return new (class extends HttpClient {
    override async send(
      request: HttpRequest,
      timeout: Milliseconds,
    ): Promise<Exchange> {
      const currentPool = pool;
      const onTimeout = () => replacePool(currentPool);
      return await sendOnce(currentPool, request, {
        ...options,
        timeout,
        onTimeout,
      });
    }

    override async close(): Promise<void> {
      await pool.destroy();
    }
  })();
}

function createPool({ origin, connections }: HttpClientOptions): Pool {
  return new Pool(origin, {
    connections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
    connect: { timeout: CONNECT_TIMEOUT },
    // The deadline of each exchange covers these phases.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

interface SendOptions extends HttpClientOptions {
  readonly timeout: Milliseconds;
  readonly onTimeout: () => void;
}

function sendOnce(
  pool: Pool,
  request: HttpRequest,
  {
    clock,
    maxResponseBytes,
    memory,
    createHeaders,
    timeout,
    onTimeout,
  }: SendOptions,
): Promise<Exchange> {
  return new Promise((resolve) => {
    const finished = new AbortController();
    let abort: ((reason: Error) => void) | undefined;
    let status = 0;
    let headers: Readonly<Record<string, string | string[] | undefined>> = {};
    const received = createByteQueue();
    let budgeted: Bytes = 0;

    function finish(exchange: Exchange): void {
      if (finished.signal.aborted) return;
      finished.abort();
      received.clear();
      memory?.giveBack(budgeted);
      resolve(exchange);
    }

    function fail(reason: string): void {
      finish({ kind: abort === undefined ? "not sent" : "lost", reason });
    }

    /** Takes what the received bytes need beyond the free length. */
    function takeMemory(): boolean {
      const needed = Math.max(0, received.size - FREE_RESPONSE_BYTES) -
        budgeted;
      if (memory === undefined || memory.tryTake(needed)) {
        budgeted += needed;
        return true;
      }
      return false;
    }

    clock.sleep(timeout, finished.signal).then(() => {
      if (finished.signal.aborted) return;
      const written = abort !== undefined;
      fail(`no answer within ${timeout} ms`);
      // Destroys the connection of the request.
      abort?.(new Error("deadline exceeded"));
      if (written) onTimeout();
    });

    pool.dispatch({
      method: request.method,
      path: request.path,
      body: request.body ?? null,
      headers: {
        ...createHeaders(),
        ...request.headers,
        ...(request.body === undefined ? {} : {
          "content-type": request.contentType ?? "application/json",
        }),
      },
    }, {
      onRequestStart(controller) {
        // Called before the first byte is written. Drops a request whose
        // deadline passed while it waited for a connection.
        if (finished.signal.aborted) {
          controller.abort(new Error("deadline exceeded"));
          return;
        }
        abort = (reason) => controller.abort(reason);
      },
      onResponseStart(_controller, statusCode, responseHeaders) {
        status = statusCode;
        headers = responseHeaders;
      },
      onResponseData(controller, chunk) {
        if (finished.signal.aborted) return;
        received.push(chunk);
        if (received.size > maxResponseBytes) {
          fail(`answer is longer than ${maxResponseBytes} bytes`);
        } else if (takeMemory()) return;
        else fail("no memory for a long answer");
        controller.abort(new Error("response too long"));
      },
      onResponseEnd() {
        const body = received.drain().toString("utf8");
        finish({ kind: "answered", status, headers, body });
      },
      onResponseError(_controller, error) {
        fail(error.message === "" ? error.name : error.message);
      },
    });
  });
}
