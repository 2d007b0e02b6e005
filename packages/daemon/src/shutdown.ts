/**
 * Graceful shutdown: the readiness check fails first while the load balancer
 * still sends requests, then the listener closes and the requests in progress
 * complete.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

/**
 * A caller's request, or the outcome of an order that is still being stored
 * after its caller has received the response.
 */
export type PendingWork = "request" | "outcome";

export interface Drain {
  /** True once the shutdown has started. */
  isDraining(): boolean;
  /** Aborts when the shutdown starts. */
  readonly started: AbortSignal;
  /** Registers pending work; the returned function ends it and is idempotent. */
  begin(kind: PendingWork): () => void;
  /** Number of pieces of work in progress, of one kind or of all. */
  pending(kind?: PendingWork): number;
  start(): void;
  /** Resolves with true when no request is pending, or false at the limit. */
  waitForRequests(limit: Milliseconds): Promise<boolean>;
  /**
   * Resolves with true when nothing is pending and the background work, which
   * starts then, has ended; or with false at the limit.
   */
  waitUntilIdle(
    limit: Milliseconds,
    options?: { readonly background?: () => Promise<void> },
  ): Promise<boolean>;
}

export function createDrain(clock: Clock): Drain {
  const started = new AbortController();
  // Each open exchange adds a listener.
  setMaxListeners(0, started.signal);
  const pending: Record<PendingWork, number> = { request: 0, outcome: 0 };
  const waiters = new Set<() => void>();

  const countPending = () => pending.request + pending.outcome;

  function end(kind: PendingWork): void {
    pending[kind] -= 1;
    for (const wake of waiters) wake();
  }

  async function waitForCount(
    count: () => number,
    signal: AbortSignal,
  ): Promise<void> {
    while (count() > 0 && !signal.aborted) {
      await new Promise<void>((resolve) => {
        waiters.add(resolve);
        signal.addEventListener("abort", () => resolve(), { once: true });
      });
      waiters.clear();
    }
  }

  async function completesWithin(
    limit: Milliseconds,
    work: (signal: AbortSignal) => Promise<void>,
  ): Promise<boolean> {
    const expiry = new AbortController();
    const done = work(expiry.signal).then(() => !expiry.signal.aborted);
    const late = clock.sleep(limit, expiry.signal).then(() => false);
    const isDone = await Promise.race([done, late]);
    expiry.abort();
    return isDone;
  }

  return {
    isDraining: () => started.signal.aborted,
    started: started.signal,
    pending: (kind) => kind === undefined ? countPending() : pending[kind],
    begin(kind) {
      pending[kind] += 1;
      let isOpen = true;
      return () => {
        if (!isOpen) return;
        isOpen = false;
        end(kind);
      };
    },
    start() {
      started.abort();
    },
    waitForRequests: (limit) =>
      completesWithin(
        limit,
        (signal) => waitForCount(() => pending.request, signal),
      ),
    async waitUntilIdle(limit, { background = async () => {} } = {}) {
      return await completesWithin(
        limit,
        (signal) => waitForCount(countPending, signal).then(background),
      );
    },
  };
}
