/**
 * Kept connections to replicas and single attempts over them. The end of an
 * attempt says whether its request was written, because only a request that
 * was never written surely has not run.
 */
import { createConnector, isEndedByReset } from "@peridotvalve/connections";
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { type Dispatcher, Pool } from "undici";

export interface AttemptRequest {
  readonly origin: string;
  readonly connections: number;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: string[];
  readonly body: Uint8Array | undefined;
}

export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Flat list of names and values as the replica wrote them. */
  readonly rawHeaders: readonly string[];
}

export interface AttemptFailure {
  /** "unsent": no byte was written. "lost": the replica may have run it. */
  readonly kind: "unsent" | "lost";
  readonly reason: string;
}

export abstract class Attempt {
  abstract readonly head: Promise<Result<AnswerHead, AttemptFailure>>;
  /** The body as it arrives; the value returned is why it broke off. */
  abstract body(): AsyncGenerator<Uint8Array, AttemptFailure | undefined>;
  /** Closes the connection, by which the replica drops the request. */
  abstract cancel(reason: string): void;
}

export abstract class Channels {
  abstract open(request: AttemptRequest): Attempt;
  /**
   * Leaves the kept connections to a replica to their requests: after one went
   * silent, new requests use new ones.
   */
  abstract renew(origin: string): void;
  /** Closes the connections to a replica that is gone. */
  abstract forget(origin: string): void;
  /** Ends all attempts for the reason. */
  abstract close(reason: string): Promise<void>;
}

/**
 * Covers one lost packet of the handshake, which is sent again after a second.
 */
const CONNECT_TIMEOUT: Milliseconds = 1_500;

/** Idle connections are kept as long as the replica's own hint allows. */
const LONGEST_IDLE: Milliseconds = 600_000;

/** Idle time for a replica that gives no hint. */
const USUAL_IDLE: Milliseconds = 4_000;

/** Closes this long before the replica does, so that no request meets it. */
const IDLE_MARGIN: Milliseconds = 700;

/** Probes of the kernel after a silence of this length. */
const KEEP_ALIVE_DELAY: Milliseconds = 1_000;

/** Bytes that wait for a slow caller before the replica is told to wait. */
const MAX_WAITING = 128 * 1_024;

export function createChannels(): Channels {
  const pools = new Map<string, Pool>();

  function poolOf(origin: string, connections: number): Pool {
    const known = pools.get(origin);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${origin}`, {
      connections,
      pipelining: 1,
      keepAliveTimeout: USUAL_IDLE,
      keepAliveMaxTimeout: LONGEST_IDLE,
      keepAliveTimeoutThreshold: IDLE_MARGIN,
      connect,
      // Each attempt has its own deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(origin, pool);
    return pool;
  }

  function drop(origin: string): void {
    const pool = pools.get(origin);
    if (pool === undefined) return;
    pools.delete(origin);
    // Rejects only when the pool is closed already.
    pool.close().catch(() => {});
  }

  return new (class extends Channels {
    override open(request: AttemptRequest): Attempt {
      return openAttempt(poolOf(request.origin, request.connections), request);
    }

    override renew(origin: string): void {
      drop(origin);
    }

    override forget(origin: string): void {
      drop(origin);
    }

    override async close(reason: string): Promise<void> {
      const error = new Error(reason);
      await Promise.all([...pools.values()].map((pool) => pool.destroy(error)));
    }
  })();
}

const connect = createConnector({
  timeout: CONNECT_TIMEOUT,
  keepAliveDelay: KEEP_ALIVE_DELAY,
});

function openAttempt(pool: Pool, request: AttemptRequest): Attempt {
  const waiting: Uint8Array[] = [];
  let waitingBytes = 0;
  let controller: Dispatcher.DispatchController | undefined;
  let cancelled: string | undefined;
  let ended: { readonly failure?: AttemptFailure } | undefined;
  let wake = () => {};
  let settleHead: (head: Result<AnswerHead, AttemptFailure>) => void;
  const head = new Promise<Result<AnswerHead, AttemptFailure>>((resolve) =>
    settleHead = resolve
  );

  function fail(reason: string): void {
    const kind = controller === undefined ? "unsent" : "lost";
    const failure: AttemptFailure = { kind, reason: cancelled ?? reason };
    ended ??= { failure };
    settleHead(Err(failure));
    wake();
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // Runs before the first byte is written.
      if (cancelled !== undefined) {
        started.abort(new Error(cancelled));
        return;
      }
      controller = started;
    },
    onResponseStart(started, status, headers) {
      if (status < 200) return;
      const rawHeaders = decodeHeaders(started.rawHeaders);
      settleHead(Ok({ status, headers, rawHeaders }));
    },
    onResponseData(started, chunk) {
      waiting.push(chunk);
      waitingBytes += chunk.length;
      if (waitingBytes > MAX_WAITING) started.pause();
      wake();
    },
    onResponseEnd() {
      if (isEndedByReset()) return fail("connection reset");
      ended ??= {};
      wake();
    },
    onResponseError(_started, error) {
      fail(error.message === "" ? error.name : error.message);
    },
  };
  try {
    pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body === undefined ? null : request.body as Buffer,
    }, handler);
  } catch (error) {
    fail(String(error));
  }

  async function* body(): AsyncGenerator<
    Uint8Array,
    AttemptFailure | undefined
  > {
    for (;;) {
      const chunk = waiting.shift();
      if (chunk !== undefined) {
        waitingBytes -= chunk.length;
        if (controller?.paused === true && waitingBytes === 0) {
          controller.resume();
        }
        yield chunk;
        continue;
      }
      if (ended !== undefined) return ended.failure;
      await new Promise<void>((resolve) => wake = resolve);
    }
  }

  return new (class extends Attempt {
    override readonly head = head;

    override body() {
      return body();
    }

    override cancel(reason: string): void {
      if (ended !== undefined || cancelled !== undefined) return;
      cancelled = reason;
      controller?.abort(new Error(reason));
      fail(reason);
    }
  })();
}

function decodeHeaders(raw: unknown): readonly string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item: unknown) =>
    typeof item === "string" ? item : (item as Buffer).toString("latin1")
  );
}
