/**
 * Cancels an attempt when its caller disconnects, its deadline passes or its
 * replica is silent.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { Caller } from "./caller.ts";
import type { Attempt } from "./connection_pools.ts";
import type { ResponseMetadata } from "./header_codec.ts";

/** Outcome of one attempt. */
export type AttemptOutcome =
  | { readonly kind: "done"; readonly status: number }
  /** The replica states that it did not run the request. */
  | {
    readonly kind: "not run";
    readonly reason: string;
    readonly misdirected: boolean;
    /** Another replica has its address now, and names itself in the answer. */
    readonly replaced: boolean;
    readonly answer: ResponseMetadata;
  }
  | { readonly kind: "unsent"; readonly reason: string }
  /** The request may have run; nothing of its response has been forwarded. */
  | { readonly kind: "lost"; readonly reason: string }
  /**
   * The replica ran the request and failed; its response can be forwarded or
   * dropped.
   */
  | { readonly kind: "failed"; readonly status: number }
  /**
   * The response broke off after the last event that was sent to the caller.
   */
  | { readonly kind: "broken"; readonly reason: string }
  | { readonly kind: "left" }
  | { readonly kind: "overdue" }
  /** Cancelled, because an earlier attempt of the request goes on. */
  | { readonly kind: "withdrawn" };

/** Reason of an attempt that was cancelled because its replica was silent. */
export const SILENT = "silent";

export interface AttemptWatch {
  /**
   * Cancels the attempt when the replica sends nothing for `limit` from now on,
   * or for `busyLimit` while other requests receive data from it. The attempt
   * goes on while no other replica has accepted the request.
   */
  limitSilence(limit: Milliseconds, busyLimit?: Milliseconds): void;
  /** Cancels the attempt at once, as another replica has taken the request. */
  leave(): void;
  /** Cancels the attempt, as an earlier one goes on. */
  withdraw(): void;
  /**
   * Outcome of a cancelled attempt; undefined when it was not cancelled here.
   */
  cause(): AttemptOutcome | undefined;
  stop(): void;
}

/** Interval between tries to move to another replica than the silent one. */
const SEARCH_PERIOD: Milliseconds = 200;

/** Watches an attempt until `stop` is called. */
export function watchAttempt(attempt: Attempt, options: {
  readonly clock: Clock;
  readonly caller: Caller;
  readonly deadline: Milliseconds;
  /** Time since data was last received from the replica. */
  readonly silence: () => Milliseconds;
  /**
   * Tries another replica; returns true when one has accepted the request. It
   * is called again while the replica is silent.
   */
  readonly seekOther: () => boolean;
}): AttemptWatch {
  const { clock, caller, deadline, silence } = options;
  let cause: AttemptOutcome | undefined;
  let isStopped = false;
  let silenceTimer: NodeJS.Timeout | undefined;

  function cancelAttempt(outcome: AttemptOutcome, reason: string): void {
    if (isStopped || cause !== undefined) return;
    cause = outcome;
    attempt.cancel(reason);
  }

  function endSilence(): void {
    clearTimeout(silenceTimer);
    // The check of a timer that has fired may still be due.
    silenceTimer = undefined;
  }

  const deadlineTimer = setTimeout(
    () => cancelAttempt({ kind: "overdue" }, "timeout"),
    Math.max(0, deadline - clock.monotonic()),
  );
  caller.onDisconnect(() => cancelAttempt({ kind: "left" }, "caller left"));

  return {
    limitSilence(limit, busyLimit = limit) {
      endSilence();
      if (limit === Infinity) return;
      const timer = setTimeout(() => {
        // Process data that arrived while the process was paused before judging
        // the silence.
        setImmediate(() => {
          if (silenceTimer !== timer) return;
          const isBusy = silence() < limit;
          if (isBusy && busyLimit > limit) {
            this.limitSilence(
              Math.min(limit, busyLimit - limit),
              busyLimit - limit,
            );
            return;
          }
          if (options.seekOther()) return this.leave();
          this.limitSilence(SEARCH_PERIOD);
        });
      }, limit);
      silenceTimer = timer;
    },
    leave() {
      cancelAttempt({ kind: "lost", reason: SILENT }, SILENT);
    },
    withdraw() {
      cancelAttempt({ kind: "withdrawn" }, "an earlier attempt goes on");
    },
    cause: () => cause,
    stop() {
      isStopped = true;
      clearTimeout(deadlineTimer);
      endSilence();
    },
  };
}
