/**
 * Graceful shutdown: readiness falls first, the balancer still sends for a
 * while, then the listener closes and the requests in progress end.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

/**
 * A caller's request, or the outcome of an order that is stored after its
 * caller has its response.
 */
export type Pending = "request" | "outcome";

export interface Drain {
  /** True from the start of the shutdown on. */
  isDraining(): boolean;
  /** Fires at the start of the shutdown. */
  readonly started: AbortSignal;
  /** Counts a piece of work; the returned function ends it, once. */
  begin(kind: Pending): () => void;
  /** Pieces of work that have begun and not ended, of one kind or all. */
  pending(kind?: Pending): number;
  start(): void;
  /** Resolves when no request is pending, with false after the limit. */
  waitForRequests(limit: Milliseconds): Promise<boolean>;
  /**
   * Resolves with true when nothing is pending and the background work after
   * it has ended, or with false after the limit.
   */
  waitUntilIdle(
    limit: Milliseconds,
    options?: { readonly background?: () => Promise<void> },
  ): Promise<boolean>;
}

export function createDrain(clock: Clock): Drain {
  const started = new AbortController();
  // Each open exchange listens.
  setMaxListeners(0, started.signal);
  const pending: Record<Pending, number> = { request: 0, outcome: 0 };
  const waiters = new Set<() => void>();

  const countAll = () => pending.request + pending.outcome;

  function end(kind: Pending): void {
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

  async function finishWithin(
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
    pending: (kind) => kind === undefined ? countAll() : pending[kind],
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
      finishWithin(
        limit,
        (signal) => waitForCount(() => pending.request, signal),
      ),
    async waitUntilIdle(limit, { background = async () => {} } = {}) {
      return await finishWithin(
        limit,
        (signal) => waitForCount(countAll, signal).then(background),
      );
    },
  };
}
