/**
 * Ends an attempt from this side: when its caller leaves, when its time is
 * over, and when its replica is silent.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { Caller } from "./caller.ts";
import type { Attempt } from "./channels.ts";
import type { AnswerTerms } from "./dialect.ts";

/** What one attempt came to. */
export type AttemptEnd =
  | { readonly kind: "done"; readonly status: number }
  /** The replica says that it did not run the request. */
  | {
    readonly kind: "not run";
    readonly reason: string;
    readonly misdirected: boolean;
    readonly terms: AnswerTerms;
  }
  | { readonly kind: "unsent"; readonly reason: string }
  /** It may have run; nothing of its answer has been passed on. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The replica ran it and failed; the answer can be passed on or dropped. */
  | { readonly kind: "failed"; readonly status: number }
  /** The answer broke off behind the caller's last event. */
  | { readonly kind: "broken"; readonly reason: string }
  | { readonly kind: "left" }
  | { readonly kind: "overdue" };

/** Why an attempt at a silent replica is lost. */
export const SILENT = "silent";

export interface Watch {
  /**
   * Ends the attempt when nothing arrives for so long from now on; up to the
   * second limit while other requests hear from the replica.
   */
  limitSilence(limit: Milliseconds, busyLimit?: Milliseconds): void;
  /** Why the attempt was ended from here. */
  cause(): AttemptEnd | undefined;
  stop(): void;
}

/** Ends an attempt when its caller leaves, its time is over or it is silent. */
export function watchAttempt(opened: Attempt, options: {
  readonly clock: Clock;
  readonly caller: Caller;
  readonly due: Milliseconds;
  /** Time since anything arrived from the replica. */
  readonly silence: () => Milliseconds;
}): Watch {
  const { clock, caller, due, silence } = options;
  let cause: AttemptEnd | undefined;
  let isStopped = false;
  let silenceTimer: NodeJS.Timeout | undefined;

  function stopFor(end: AttemptEnd, reason: string): void {
    if (isStopped || cause !== undefined) return;
    cause = end;
    opened.cancel(reason);
  }

  const overdue = setTimeout(
    () => stopFor({ kind: "overdue" }, "timeout"),
    Math.max(0, due - clock.monotonic()),
  );
  caller.onLeave(() => stopFor({ kind: "left" }, "caller left"));

  return {
    limitSilence(limit, busyLimit = limit) {
      clearTimeout(silenceTimer);
      if (limit === Infinity) return;
      const timer = setTimeout(() => {
        // Input that arrived during a pause of the process is read first.
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
          stopFor({ kind: "lost", reason: SILENT }, SILENT);
        });
      }, limit);
      silenceTimer = timer;
    },
    cause: () => cause,
    stop() {
      isStopped = true;
      clearTimeout(overdue);
      clearTimeout(silenceTimer);
    },
  };
}
