/**
 * Admission during a graceful shutdown. A request that arrives after its start
 * is admitted only if it will be complete before the process exits; any other
 * one is better sent to another daemon at once.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface ExpectedWork {
  /** Time that the request is expected to take from now on. */
  readonly duration: Milliseconds;
  /** Time at which the request ends at the latest, on the monotonic clock. */
  readonly deadline: Milliseconds;
  /** True when the request may be sent again if it is cut. */
  readonly isRepeatable: boolean;
}

export interface ShutdownAdmission {
  /** Starts the shutdown; the process exits at `exit` on the monotonic clock. */
  begin(exit: Milliseconds): void;
  hasBegun(): boolean;
  /**
   * Returns true when the request is expected to end before the exit. One that
   * cannot be repeated must end by then in any case.
   */
  admits(work: ExpectedWork): boolean;
}

export function createShutdownAdmission(clock: Clock): ShutdownAdmission {
  let exit = Infinity;

  return {
    begin(at) {
      exit = at;
    },
    hasBegun: () => exit < Infinity,
    admits({ duration, deadline, isRepeatable }) {
      if (deadline <= exit) return true;
      return isRepeatable && clock.monotonic() + duration <= exit;
    },
  };
}
