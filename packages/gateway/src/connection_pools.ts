/**
 * Connection pools to replicas, and single attempts over them. A failed attempt
 * states whether its request was written, because only a request that was never
 * written has certainly not run.
 */
import {
  closeByReset,
  createByteQueue,
  createConnector,
  isEndedByReset,
} from "@peridotvalve/connections";
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { type Dispatcher, Pool } from "undici";
import {
  explainError,
  FINAL_RESPONSE_WAIT,
  findMalformation,
  malformedStatus,
} from "./malformed_responses.ts";

export interface AttemptRequest {
  readonly origin: string;
  readonly connections: number;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: string[];
  readonly body: Uint8Array | undefined;
  /**
   * True for a request that the replica has answered before. A second copy of
   * that answer bears the id of the request and may come at any time, but only
   * on the connection of the answer, so the request gets one of its own.
   */
  readonly isRepeat?: boolean;
  /**
   * Asked before the first byte is written; when it returns false, the attempt
   * fails unsent with the reason `START_PUT_OFF`.
   */
  readonly mayStart?: () => boolean;
  /**
   * Asked when the head of the response arrives. When it returns a reason, the
   * response is not the answer to the request: the attempt fails with that
   * reason, and its connection is reset before another request can use it. A
   * short response ends in the same read as its head, so a later `cancel` would
   * leave the connection in use with the answer still to come.
   */
  readonly findMismatch?: (head: ResponseHead) => string | undefined;
}

/** Reason of an attempt that may not start when its connection is ready. */
export const START_PUT_OFF = "the start was put off";

/** Reason of an attempt whose response has a head made of two. */
const MERGED_HEADS = "a response begins within the head of another";

export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Flat list of names and values as sent by the replica. */
  readonly rawHeaders: readonly string[];
}

export interface AttemptFailure {
  /**
   * "unsent": no byte was written. "lost": the replica may have run the
   * request.
   */
  readonly kind: "unsent" | "lost";
  readonly reason: string;
}

export abstract class Attempt {
  abstract readonly head: Promise<Result<ResponseHead, AttemptFailure>>;
  /** Yields the body as it arrives; returns the failure when it breaks off. */
  abstract body(): AsyncGenerator<Uint8Array, AttemptFailure | undefined>;
  /** Resets the connection, upon which the replica drops the request. */
  abstract cancel(reason: string): void;
  /**
   * Returns true when the connection of a written request ended before its
   * response was complete, and not because the attempt was cancelled.
   */
  abstract wasBrokenOff(): boolean;
}

export abstract class ConnectionPools {
  abstract open(request: AttemptRequest): Attempt;
  /**
   * Opens new connections for further requests to a replica. Used after a
   * request found the replica silent; the requests on the old connections
   * continue.
   */
  abstract replace(origin: string): void;
  /** Closes the pool of a removed replica once its requests have ended. */
  abstract remove(origin: string): void;
  /** Ends all attempts with the reason. */
  abstract close(reason: string): Promise<void>;
}

/**
 * Allows for one lost handshake packet, which is retransmitted after one
 * second.
 */
const CONNECT_TIMEOUT: Milliseconds = 1_500;

/** Upper limit for the keep-alive hint of a replica. */
const MAX_IDLE: Milliseconds = 600_000;

/** Idle timeout for a replica that gives no hint. */
const DEFAULT_IDLE: Milliseconds = 4_000;

/**
 * Margin before the replica's idle timeout, so that no request meets a closing
 * connection.
 */
const IDLE_MARGIN: Milliseconds = 700;

/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_DELAY: Milliseconds = 1_000;

/**
 * Bytes buffered for a slow caller before reading from the replica is paused.
 */
const MAX_BUFFERED_BYTES = 128 * 1_024;

/** `onDisconnect` is called when the other side closes a connection. */
export function createConnectionPools(
  onDisconnect: (origin: string) => void = () => {},
): ConnectionPools {
  const pools = new Map<string, Pool>();
  /** Pools of one request each. */
  const singles = new Set<Pool>();

  function poolOf(origin: string, connections: number): Pool {
    const known = pools.get(origin);
    if (known !== undefined) return known;
    const pool = createPool(origin, connections);
    pool.on("disconnect", (_url, _targets, { code }) => {
      if (code === "UND_ERR_SOCKET") onDisconnect(origin);
    });
    pools.set(origin, pool);
    return pool;
  }

  function openAlone(request: AttemptRequest): Attempt {
    const pool = createPool(request.origin, 1);
    singles.add(pool);
    const attempt = openAttempt(pool, request);
    // Closes once the request has ended; rejects only when the pool is already
    // closed.
    pool.close().catch(() => {}).finally(() => singles.delete(pool));
    return attempt;
  }

  function drop(origin: string): void {
    const pool = pools.get(origin);
    if (pool === undefined) return;
    pools.delete(origin);
    // Rejects only when the pool is already closed.
    pool.close().catch(() => {});
  }

  return new (class extends ConnectionPools {
    override open(request: AttemptRequest): Attempt {
      if (request.isRepeat === true) return openAlone(request);
      return openAttempt(poolOf(request.origin, request.connections), request);
    }

    override replace(origin: string): void {
      drop(origin);
    }

    override remove(origin: string): void {
      drop(origin);
    }

    override async close(reason: string): Promise<void> {
      const error = new Error(reason);
      const all = [...pools.values(), ...singles];
      await Promise.all(all.map((pool) => pool.destroy(error)));
    }
  })();
}

const connect = createConnector({
  timeout: CONNECT_TIMEOUT,
  keepAliveDelay: KEEP_ALIVE_DELAY,
});

function createPool(origin: string, connections: number): Pool {
  return new Pool(`http://${origin}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: DEFAULT_IDLE,
    keepAliveMaxTimeout: MAX_IDLE,
    keepAliveTimeoutThreshold: IDLE_MARGIN,
    connect,
    // Each attempt sets its own deadlines.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function openAttempt(pool: Pool, request: AttemptRequest): Attempt {
  const buffered = createByteQueue();
  let controller: Dispatcher.DispatchController | undefined;
  let cancelReason: string | undefined;
  let end: { readonly failure?: AttemptFailure } | undefined;
  let wake = () => {};
  let finalResponseTimer: NodeJS.Timeout | undefined;
  let settleHead: (head: Result<ResponseHead, AttemptFailure>) => void;
  const head = new Promise<Result<ResponseHead, AttemptFailure>>((resolve) =>
    settleHead = resolve
  );

  function fail(reason: string): void {
    const kind = controller === undefined ? "unsent" : "lost";
    const failure: AttemptFailure = { kind, reason: cancelReason ?? reason };
    end ??= { failure };
    clearTimeout(finalResponseTimer);
    settleHead(Err(failure));
    wake();
  }

  function cancel(reason: string): void {
    if (end !== undefined || cancelReason !== undefined) return;
    cancelReason = reason;
    closeByReset(() => controller?.abort(new Error(reason)));
    fail(reason);
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // Runs before the first byte is written. `undici` keeps the connection
      // open for other requests when this throws, and closes it on an abort.
      if (cancelReason !== undefined) throw new Error(cancelReason);
      if (request.mayStart?.() === false) throw new Error(START_PUT_OFF);
      controller = started;
    },
    onResponseStart(started, status, headers, statusText) {
      const malformation = findMalformation({ status, headers });
      if (malformation !== undefined) return cancel(malformation);
      if (status < 200) {
        finalResponseTimer ??= setTimeout(
          () => cancel(malformedStatus(status)),
          FINAL_RESPONSE_WAIT,
        );
        return;
      }
      clearTimeout(finalResponseTimer);
      const rawHeaders = decodeHeaders(started.rawHeaders);
      if (containsStatusLine([statusText ?? "", ...rawHeaders])) {
        return cancel(MERGED_HEADS);
      }
      const received = { status, headers, rawHeaders };
      const mismatch = request.findMismatch?.(received);
      if (mismatch === undefined) settleHead(Ok(received));
      else cancel(mismatch);
    },
    onResponseData(started, chunk) {
      buffered.push(chunk);
      if (buffered.size > MAX_BUFFERED_BYTES) started.pause();
      wake();
    },
    onResponseEnd() {
      if (isEndedByReset()) return fail("connection reset");
      end ??= {};
      wake();
    },
    onResponseError(_started, error) {
      fail(explainError(error));
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
      const chunk = buffered.shift();
      if (chunk !== undefined) {
        if (controller?.paused === true && buffered.size === 0) {
          controller.resume();
        }
        yield chunk;
        continue;
      }
      if (end !== undefined) return end.failure;
      await new Promise<void>((resolve) => wake = resolve);
    }
  }

  return new (class extends Attempt {
    override readonly head = head;

    override body() {
      return body();
    }

    override cancel = cancel;

    override wasBrokenOff(): boolean {
      return end?.failure?.kind === "lost" && cancelReason === undefined;
    }
  })();
}

const STATUS_LINE = /HTTP\/1\.[01] \d{3}/;

/**
 * A replica may break off in the head of an extra response. The parser then takes
 * the status line of the next response for a part of that head, whose status and
 * headers belong to another request than its id.
 */
function containsStatusLine(texts: readonly string[]): boolean {
  return texts.some((text) => STATUS_LINE.test(text));
}

function decodeHeaders(raw: unknown): readonly string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item: unknown) =>
    typeof item === "string" ? item : (item as Buffer).toString("latin1")
  );
}
