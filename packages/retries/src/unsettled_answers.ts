/**
 * Keeps the answers that have begun and have neither proven their suspects sound
 * nor been broken off. A part of a prompt can crash its replica some time after
 * the first event, even after the last one of a short answer. An answer is
 * therefore settled, and proves its suspects sound as of its begin, when its
 * replica has outlived the begin for some time. That shows by data of the
 * replica on any request, or, for a complete answer, by a later crash or closed
 * connection, or by their absence for longer.
 *
 * An unsettled answer disputes the crashes before its begin, because it will
 * prove its suspects sound unless the replica crashes. Without that, a popular
 * part would be condemned while its proofs are on the way. Crashes can only be
 * disputed for `DISPUTE_TIME`, so that requests that follow each other delay a
 * verdict for no longer.
 *
 * Answers are kept for at most `UNSETTLED_EXPIRY`, at most `MAX_UNSETTLED` of
 * them with `MAX_UNSETTLED_SUSPECTS` in all, as callers choose how many parts a
 * prompt has. The oldest are dropped first and prove nothing.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

/** Time by which a replica must outlive the begin of an answer. */
export const SETTLING_TIME: Milliseconds = 1_000;

/** The same for an answer that is complete, which is the better proof. */
export const COMPLETE_SETTLING_TIME: Milliseconds = 500;

/**
 * The same for a complete answer without later news of its replica. Includes
 * the time in which other daemons tell of a crash.
 */
export const QUIET_SETTLING_TIME: Milliseconds = 1_500;

/**
 * Time for which a crash can be disputed. An answer that begins within
 * `SETTLING_TIME` after it is settled by then.
 */
const DISPUTE_TIME: Milliseconds = 2 * SETTLING_TIME;

export const UNSETTLED_EXPIRY: Milliseconds = 30_000;

export const MAX_UNSETTLED = 2_048;

export const MAX_UNSETTLED_SUSPECTS = 32_768;

/** An answer whose first event has arrived. */
export interface Answer {
  /** Key of the replica's incarnation. */
  readonly replica: string;
  readonly suspects: readonly string[];
  /** Time of the first event, on the monotonic clock. */
  readonly beganAt: Milliseconds;
}

/** The time of disputed crashes, without both ends; empty if it ends first. */
export interface DisputedTime {
  readonly start: Milliseconds;
  readonly end: Milliseconds;
}

export abstract class UnsettledAnswers {
  /** Keeps an answer that begins now, unless it has no suspects. */
  abstract add(replica: string, suspects: readonly string[]): Answer;
  abstract has(answer: Answer): boolean;
  abstract remove(answer: Answer): void;
  abstract complete(answer: Answer): void;
  /** Removes and returns the answers that data from a replica settles now. */
  abstract takeOutlived(replica: string): readonly Answer[];
  /** Removes and returns the complete answers that no news has unsettled. */
  abstract takeQuiet(): readonly Answer[];
  /**
   * Removes and returns the complete answers that a replica has outlived, if its
   * connections ended at a time. From now on only data settles its other complete
   * ones.
   */
  abstract takeCompleteUntil(
    replica: string,
    time: Milliseconds,
  ): readonly Answer[];
  /**
   * Returns the complete answers of a replica that has crashed, except those
   * that were returned before.
   */
  abstract implicate(replica: string): readonly Answer[];
  /**
   * Time at which the connections of a replica ended after answers that are
   * complete and neither settled nor returned by `implicate`; undefined if there
   * are none.
   */
  abstract closedAt(replica: string): Milliseconds | undefined;
  /**
   * Time of the last begin of a kept answer on the suspect, also if its replica
   * has crashed since; `-Infinity` if there is none.
   */
  abstract lastBegin(suspect: string): Milliseconds;
  /** The time of the crashes that an unsettled answer disputes. */
  abstract disputedTime(suspect: string): DisputedTime;
}

export interface UnsettledAnswersOptions {
  readonly clock: Clock;
  /** Returns true if the replica is known to have crashed since then. */
  readonly hasCrashed: (replica: string, since: Milliseconds) => boolean;
}

interface AnswerState {
  isComplete: boolean;
  /** Time at which a connection of the replica ended; only data settles it then. */
  closedAt?: Milliseconds;
  isImplicated: boolean;
}

export function createUnsettledAnswers(
  { clock, hasCrashed }: UnsettledAnswersOptions,
): UnsettledAnswers {
  /** In the order of their begins. */
  const answers = new Map<Answer, AnswerState>();
  const byReplica = new Map<string, Set<Answer>>();
  let suspectCount = 0;

  function ageOf({ beganAt }: Answer): Milliseconds {
    return clock.monotonic() - beganAt;
  }

  function remove(answer: Answer): void {
    if (!answers.delete(answer)) return;
    suspectCount -= answer.suspects.length;
    const own = byReplica.get(answer.replica);
    own?.delete(answer);
    if (own?.size === 0) byReplica.delete(answer.replica);
  }

  function dropOldest(): void {
    for (const answer of answers.keys()) {
      const isExcess = answers.size > MAX_UNSETTLED ||
        suspectCount > MAX_UNSETTLED_SUSPECTS;
      if (!isExcess && ageOf(answer) < UNSETTLED_EXPIRY) return;
      remove(answer);
    }
  }

  /** Time of the last begin of such an answer on the suspect. */
  function findLastBegin(
    suspect: string,
    isMet: (answer: Answer) => boolean,
  ): Milliseconds {
    let last = -Infinity;
    for (const answer of answers.keys()) {
      if (answer.beganAt <= last) continue;
      if (!answer.suspects.includes(suspect)) continue;
      if (isMet(answer)) last = answer.beganAt;
    }
    return last;
  }

  return new (class extends UnsettledAnswers {
    override add(replica: string, suspects: readonly string[]): Answer {
      const answer = { replica, suspects, beganAt: clock.monotonic() };
      if (suspects.length === 0) return answer;
      suspectCount += suspects.length;
      answers.set(answer, { isComplete: false, isImplicated: false });
      const own = byReplica.get(replica) ?? new Set();
      byReplica.set(replica, own.add(answer));
      dropOldest();
      return answer;
    }

    override has(answer: Answer): boolean {
      return answers.has(answer);
    }

    override remove(answer: Answer): void {
      remove(answer);
    }

    override complete(answer: Answer): void {
      const state = answers.get(answer);
      if (state !== undefined) state.isComplete = true;
    }

    override takeOutlived(replica: string): readonly Answer[] {
      const taken: Answer[] = [];
      for (const answer of byReplica.get(replica) ?? []) {
        const age = ageOf(answer);
        if (age < COMPLETE_SETTLING_TIME) break;
        const isComplete = answers.get(answer)?.isComplete === true;
        if (isComplete || age >= SETTLING_TIME) taken.push(answer);
      }
      for (const answer of taken) remove(answer);
      return taken;
    }

    override takeQuiet(): readonly Answer[] {
      const taken: Answer[] = [];
      for (const [answer, { isComplete, closedAt }] of answers) {
        if (ageOf(answer) < QUIET_SETTLING_TIME) break;
        if (isComplete && closedAt === undefined) taken.push(answer);
      }
      for (const answer of taken) remove(answer);
      return taken;
    }

    override takeCompleteUntil(
      replica: string,
      time: Milliseconds,
    ): readonly Answer[] {
      const taken: Answer[] = [];
      for (const answer of byReplica.get(replica) ?? []) {
        const state = answers.get(answer);
        if (state?.isComplete !== true) continue;
        const isOutlived = time - answer.beganAt >= COMPLETE_SETTLING_TIME;
        if (isOutlived && state.closedAt === undefined) taken.push(answer);
        else state.closedAt ??= time;
      }
      for (const answer of taken) remove(answer);
      return taken;
    }

    override implicate(replica: string): readonly Answer[] {
      const listed: Answer[] = [];
      for (const answer of byReplica.get(replica) ?? []) {
        const state = answers.get(answer);
        if (state?.isComplete !== true || state.isImplicated) continue;
        state.isImplicated = true;
        listed.push(answer);
      }
      return listed;
    }

    override closedAt(replica: string): Milliseconds | undefined {
      let first: Milliseconds | undefined;
      for (const answer of byReplica.get(replica) ?? []) {
        const { closedAt, isImplicated = true } = answers.get(answer) ?? {};
        if (closedAt === undefined || isImplicated) continue;
        first = Math.min(first ?? Infinity, closedAt);
      }
      return first;
    }

    override lastBegin(suspect: string): Milliseconds {
      return findLastBegin(suspect, () => true);
    }

    override disputedTime(suspect: string): DisputedTime {
      const start = clock.monotonic() - DISPUTE_TIME;
      const end = findLastBegin(
        suspect,
        ({ replica, beganAt }) => !hasCrashed(replica, beganAt),
      );
      return { start, end };
    }
  })();
}
