/**
 * A clock for tests that advances only on request.
 */
import { setImmediate } from "node:timers/promises";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Clock } from "./clock.ts";

interface PendingSleep {
  readonly due: Milliseconds;
  readonly wake: () => void;
}

export abstract class ManualClock extends Clock {
  /** Advances time and resolves each sleep at its due time, in order. */
  abstract advance(duration: Milliseconds): Promise<void>;
}

export function createManualClock(start: Timestamp = 0): ManualClock {
  let elapsed: Milliseconds = 0;
  const pendingSleeps = new Set<PendingSleep>();

  function nextDue(limit: Milliseconds): PendingSleep | undefined {
    const due = [...pendingSleeps].filter((pending) => pending.due <= limit);
    return due.sort((left, right) => left.due - right.due)[0];
  }

  return new (class extends ManualClock {
    override now(): Timestamp {
      return start + elapsed;
    }

    override monotonic(): Milliseconds {
      return elapsed;
    }

    override sleep(
      duration: Milliseconds,
      signal?: AbortSignal,
    ): Promise<void> {
      return new Promise((resolve) => {
        if (signal?.aborted) return resolve();
        const wake = () => {
          pendingSleeps.delete(pending);
          signal?.removeEventListener("abort", wake);
          resolve();
        };
        const pending = { due: elapsed + duration, wake };
        pendingSleeps.add(pending);
        signal?.addEventListener("abort", wake);
      });
    }

    override async advance(duration: Milliseconds): Promise<void> {
      const target = elapsed + duration;
      // Lets code that is about to sleep register its sleep first.
      await setImmediate();
      for (;;) {
        const pending = nextDue(target);
        if (pending === undefined) break;
        elapsed = Math.max(elapsed, pending.due);
        pending.wake();
        await setImmediate();
      }
      elapsed = target;
    }
  })();
}
