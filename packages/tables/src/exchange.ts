/**
 * One HTTP exchange with a deadline. Its end says whether the request was
 * written, because only a request that was never written surely has no effect.
 */
import type { Clock } from "@peridotvalve/clock";
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
    readonly body: string;
  }
  /** No byte of the request was written and none will be. */
  | { readonly kind: "not sent"; readonly reason: string }
  /** The request was at least partly written; no whole answer came. */
  | { readonly kind: "lost"; readonly reason: string };

export interface ExchangerOptions {
  readonly origin: string;
  readonly clock: Clock;
  readonly connections: number;
  readonly maxAnswerBytes: Bytes;
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

export abstract class Exchanger {
  abstract exchange(
    request: HttpRequest,
    timeout: Milliseconds,
  ): Promise<Exchange>;
  abstract close(): Promise<void>;
}

// Idle connections are closed before common load balancers drop their state.
const KEEP_ALIVE: Milliseconds = 4_000;

// A lost packet of the handshake is sent again after 1 s, so that two can be
// lost before a connection attempt is given up and its place becomes free.
const CONNECT_TIMEOUT: Milliseconds = 4_000;

export function createExchanger(options: ExchangerOptions): Exchanger {
  let pool = openPool(options);

  /**
   * After a missed deadline the other open connections are suspect too: a
   * device between the endpoints may have lost the state of all of them. New
   * requests go to a new pool; the old one ends when its requests have ended.
   */
  function replace(suspect: Pool): void {
    if (suspect !== pool) return;
    pool = openPool(options);
    suspect.close().catch(() => {});
  }

  return new (class extends Exchanger {
    override async exchange(
      request: HttpRequest,
      timeout: Milliseconds,
    ): Promise<Exchange> {
      const used = pool;
      const missed = () => replace(used);
      return await exchangeOnce(used, request, { ...options, timeout, missed });
    }

    override async close(): Promise<void> {
      await pool.destroy();
    }
  })();
}

function openPool({ origin, connections }: ExchangerOptions): Pool {
  return new Pool(origin, {
    connections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE,
    connect: { timeout: CONNECT_TIMEOUT },
    // Each exchange has its own deadline, which covers these phases.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

interface OnceOptions extends ExchangerOptions {
  readonly timeout: Milliseconds;
  readonly missed: () => void;
}

function exchangeOnce(
  pool: Pool,
  request: HttpRequest,
  { clock, maxAnswerBytes, createHeaders, timeout, missed }: OnceOptions,
): Promise<Exchange> {
  return new Promise((resolve) => {
    const ended = new AbortController();
    let abort: ((reason: Error) => void) | undefined;
    let status = 0;
    let size = 0;
    const chunks: Uint8Array[] = [];

    function end(exchange: Exchange): void {
      if (ended.signal.aborted) return;
      ended.abort();
      resolve(exchange);
    }

    function fail(reason: string): void {
      end({ kind: abort === undefined ? "not sent" : "lost", reason });
    }

    clock.sleep(timeout, ended.signal).then(() => {
      if (ended.signal.aborted) return;
      const written = abort !== undefined;
      fail(`no answer within ${timeout} ms`);
      // Destroys the connection of the request.
      abort?.(new Error("deadline missed"));
      if (written) missed();
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
        // Runs before the first byte is written; a request that had to wait
        // for a connection past its deadline is dropped here.
        if (ended.signal.aborted) {
          controller.abort(new Error("deadline missed"));
          return;
        }
        abort = (reason) => controller.abort(reason);
      },
      onResponseStart(_controller, statusCode) {
        status = statusCode;
      },
      onResponseData(controller, chunk) {
        size += chunk.length;
        if (size <= maxAnswerBytes) {
          chunks.push(chunk);
          return;
        }
        fail(`answer is longer than ${maxAnswerBytes} bytes`);
        controller.abort(new Error("answer too long"));
      },
      onResponseEnd() {
        const body = Buffer.concat(chunks).toString("utf8");
        end({ kind: "answered", status, body });
      },
      onResponseError(_controller, error) {
        fail(error.message === "" ? error.name : error.message);
      },
    });
  });
}
