/**
 * Divides the time of one request into stages that follow each other without
 * gaps, so that they add up to its whole time.
 *
 * An attempt only notes when it was written and when its first byte came. The
 * stages are computed from these times when the attempt has ended, because only
 * then is it known whether its time was lost.
 */
import type { Milliseconds } from "@peridotvalve/types";

/** Stages in the order of a request without failed attempts. */
export const STAGES = [
  "body",
  "wait",
  "send",
  "first_byte",
  "response",
  "failed",
] as const;

export type Stage = (typeof STAGES)[number];

export type StageTimes = Readonly<Record<Stage, Milliseconds>>;

/** Times of one attempt, on the monotonic clock. */
export interface AttemptTimes {
  readonly startedAt: Milliseconds;
  /** Time at which the request was written to its connection. */
  sentAt: Milliseconds | undefined;
  /** Time at which the first byte of the response's body was read. */
  firstByteAt: Milliseconds | undefined;
}

export interface StageClock {
  /** End of the request's body. */
  readonly readAt: Milliseconds;
  /** Records an attempt that ended the request. */
  keep(attempt: AttemptTimes, endedAt: Milliseconds): void;
  /**
   * Records an attempt that failed. Its time up to `usedUntil`, when the caller
   * got the last event, was not lost; 0 when there was no event.
   */
  lose(
    attempt: AttemptTimes,
    endedAt: Milliseconds,
    usedUntil: Milliseconds,
  ): void;
  /** Ends the request; returns the time in each stage. */
  end(endedAt: Milliseconds): StageTimes;
}

/** Times are on the monotonic clock; `readAt` is the end of the body. */
export function createStageClock(
  arrivedAt: Milliseconds,
  readAt: Milliseconds,
): StageClock {
  const times: Record<Stage, Milliseconds> = {
    body: 0,
    wait: 0,
    send: 0,
    first_byte: 0,
    response: 0,
    failed: 0,
  };
  /** Time up to which the request has been divided. */
  let dividedUntil = arrivedAt;
  /** End of the last failed attempt. */
  let failedUntil = arrivedAt;

  function divide(stage: Stage, until: Milliseconds): void {
    if (until <= dividedUntil) return;
    times[stage] += until - dividedUntil;
    dividedUntil = until;
  }

  /**
   * Ends the time between attempts. An attempt that began beside a silent one
   * takes over the time from its own start on.
   */
  function begin(at: Milliseconds): void {
    divide("failed", Math.min(failedUntil, at));
    divide("wait", at);
  }

  function divideAttempt(
    { startedAt, sentAt, firstByteAt }: AttemptTimes,
    until: Milliseconds,
  ): void {
    begin(startedAt);
    divide("send", sentAt ?? until);
    divide("first_byte", firstByteAt ?? until);
    divide("response", until);
  }

  divide("body", readAt);
  return {
    readAt,
    keep: divideAttempt,
    lose(attempt, endedAt, usedUntil) {
      const { startedAt } = attempt;
      if (usedUntil > startedAt) divideAttempt(attempt, usedUntil);
      else begin(startedAt);
      failedUntil = endedAt;
    },
    end(endedAt) {
      begin(endedAt);
      return times;
    },
  };
}
