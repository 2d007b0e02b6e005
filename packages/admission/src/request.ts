/**
 * The types of requests, permits and status of admission control.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Milliseconds } from "@peridotvalve/types";

/** Orders take precedence over advice. */
export type WorkClass = "order" | "advice";

export interface AdmissionRequest {
  readonly customer: string;
  readonly workClass: WorkClass;
  /** Estimated time for which the request occupies a concurrency slot. */
  readonly serviceTime: Milliseconds;
  /** Time left until the caller's patience ends. */
  readonly patience: Milliseconds;
  /**
   * Part of the patience that is needed after admission, such as the time to
   * first token. The request is refused if it cannot start that much earlier.
   */
  readonly timeToAnswer?: Milliseconds;
}

/** The outcome of an admitted request, as input of the concurrency limit. */
export interface Observation {
  /** Observed time from admission to the first token or response. */
  readonly latency: Milliseconds;
  /** Latency expected without a queue at the upstream. */
  readonly expected: Milliseconds;
  /** True if the upstream reported overload or timed out. */
  readonly overloaded: boolean;
}

/** Permission to run one request. It must be finished once. */
export interface Permit {
  readonly request: AdmissionRequest;
  /** Time spent in the queue. */
  readonly queuedFor: Milliseconds;
  /** Engine priority; lower values run first. */
  readonly priority: number;
  /** Releases the concurrency slot; later calls have no effect. */
  finish(observation?: Observation): void;
}

/** Returns why a queued request may no longer run; undefined if it may. */
export type Revalidation = (
  request: AdmissionRequest,
) => Failure | undefined;

export interface AdmissionStatus {
  /** Current concurrency limit. */
  readonly limit: number;
  readonly running: number;
  readonly runningLong: number;
  readonly queued: number;
  /** Estimated service time of all queued requests. */
  readonly queuedServiceTime: Milliseconds;
  readonly draining: boolean;
}
