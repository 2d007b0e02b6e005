/**
 * The interface that all clocks implement.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";

export abstract class Clock {
  /** Wall-clock time. Can jump; use it for display and across processes. */
  abstract now(): Timestamp;

  /** Time since an arbitrary origin. Never decreases. */
  abstract monotonic(): Milliseconds;

  /** Resolves after `duration`, or as soon as the signal aborts. */
  abstract sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}
