/**
 * What admission takes and gives.
 */
import type { Failure } from "@peridotvalve/errors";
import type { Milliseconds } from "@peridotvalve/types";

/** Orders go before advice. */
export type WorkClass = "order" | "advice";

export interface AdmissionRequest {
  readonly customer: string;
  readonly workClass: WorkClass;
  /** Estimated time for which the request occupies a place. */
  readonly serviceTime: Milliseconds;
  /** Rest of the caller's patience. */
  readonly patience: Milliseconds;
  /**
   * Part of the patience that the work needs after its admission, such as the
   * time to first token. The request is refused if it cannot start earlier.
   */
  readonly timeToAnswer?: Milliseconds;
}

/** How admitted work went. */
export interface Observation {
  /** Observed time to first token or answer, from admission. */
  readonly latency: Milliseconds;
  /** The same as expected without a queue at the upstream. */
  readonly expected: Milliseconds;
  /** True when the upstream said that it is overloaded, or timed out. */
  readonly overloaded: boolean;
}

/** The right to run one request. It must be finished exactly once. */
export interface Permit {
  readonly request: AdmissionRequest;
  /** Time spent in the queue. */
  readonly queued: Milliseconds;
  /** Priority for the engine; lower runs first. */
  readonly priority: number;
  /** Gives the place back; later calls do nothing. */
  finish(observation?: Observation): void;
}

/** Says why queued work may no longer run, or nothing. */
export type Revalidation = (
  request: AdmissionRequest,
) => Failure | undefined;

export interface AdmissionStatus {
  readonly limit: number;
  readonly running: number;
  readonly runningLong: number;
  readonly queued: number;
  readonly queuedServiceTime: Milliseconds;
  readonly draining: boolean;
}
