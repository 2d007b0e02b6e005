/**
 * The abstract clock.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";

export abstract class Clock {
  /** Wall-clock time. It can jump; use it for display and across processes. */
  abstract now(): Timestamp;

  /** Time since an arbitrary start. It never goes back. */
  abstract monotonic(): Milliseconds;

  /** Resolves after the duration, or earlier when the signal aborts. */
  abstract sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}
