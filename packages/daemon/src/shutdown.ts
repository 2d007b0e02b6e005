/**
 * Graceful shutdown: readiness falls first, the balancer still sends for a
 * while, then the listener closes and the requests in progress end.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface Drain {
  /** True from the start of the shutdown on. */
  isDraining(): boolean;
  /** Counts a piece of work; the returned function ends it, once. */
  begin(): () => void;
  /** Pieces of work that have begun and not ended. */
  pending(): number;
  start(): void;
  /** Resolves when nothing is pending, or with false after the limit. */
  waitUntilIdle(limit: Milliseconds): Promise<boolean>;
}

export function createDrain(clock: Clock): Drain {
  let isDraining = false;
  let pending = 0;
  const waiters = new Set<() => void>();

  function end(): void {
    pending -= 1;
    if (pending > 0) return;
    for (const wake of waiters) wake();
  }

  return {
    isDraining: () => isDraining,
    pending: () => pending,
    begin() {
      pending += 1;
      let isOpen = true;
      return () => {
        if (!isOpen) return;
        isOpen = false;
        end();
      };
    },
    start() {
      isDraining = true;
    },
    async waitUntilIdle(limit) {
      const expiry = new AbortController();
      const deadline = clock.monotonic() + limit;
      const wake = () => expiry.abort();
      waiters.add(wake);
      if (pending > 0) await clock.sleep(limit, expiry.signal);
      waiters.delete(wake);
      return pending === 0 || clock.monotonic() < deadline;
    },
  };
}
