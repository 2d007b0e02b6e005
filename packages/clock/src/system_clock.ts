/**
 * The clock of the operating system.
 */
import { performance } from "node:perf_hooks";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Clock } from "./clock.ts";

export function createSystemClock(): Clock {
  return new (class extends Clock {
    override now(): Timestamp {
      return Date.now();
    }

    override monotonic(): Milliseconds {
      return performance.now();
    }

    override sleep(
      duration: Milliseconds,
      signal?: AbortSignal,
    ): Promise<void> {
      return sleepUntilAborted(duration, signal);
    }
  })();
}

function sleepUntilAborted(
  duration: Milliseconds,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = setTimeout(finish, duration);
    signal?.addEventListener("abort", finish);
  });
}
