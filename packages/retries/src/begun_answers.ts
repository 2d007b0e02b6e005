/**
 * Follows each answer from its first event until it proves its suspects sound,
 * is evidence against them, or says nothing.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type {
  CrashRecord,
  CrashRecords,
  RecordedSuspects,
} from "./crash_records.ts";
import {
  type Answer,
  SETTLING_TIME,
  UNSETTLED_EXPIRY,
  type UnsettledAnswers,
} from "./unsettled_answers.ts";

/**
 * Age of an answer up to which its loss counts as if it had not begun. The first
 * event and the loss can arrive one right after the other.
 */
const RECENT_BEGIN: Milliseconds = 50;

/** An answer whose first event has arrived; one of the calls ends it. */
export interface BegunAnswer {
  /** Time of the first event, on the monotonic clock. */
  readonly beganAt: Milliseconds;
  /** Ends an answer that is complete. */
  complete(): void;
  /** Ends an answer that its replica broke off; returns the suspects. */
  breakOff(): RecordedSuspects;
  /** Ends an answer that was cancelled here. */
  abandon(): void;
}

export abstract class BegunAnswers {
  abstract begin(replica: string, suspects: readonly string[]): BegunAnswer;
  /** Settles the answers that a replica has outlived. */
  abstract recordReceived(replica: string): void;
  /** Settles the complete answers without news of their replicas for long. */
  abstract settleQuiet(): void;
  /** Records that a replica closed a connection, and so may have crashed. */
  abstract recordDisconnect(replica: string): void;
  /**
   * Time at which a replica closed connections just after complete answers, none
   * of which is evidence yet; undefined if it did not.
   */
  abstract closedAt(replica: string): Milliseconds | undefined;
  /** Returns the suspects of complete answers that a crash can be due to. */
  abstract implicate(crash: CrashRecord): readonly RecordedSuspects[];
}

export interface BegunAnswersOptions {
  readonly clock: Clock;
  readonly unsettled: UnsettledAnswers;
  readonly records: Pick<CrashRecords, "find">;
  /** Records an answer as the proof of its suspects. */
  readonly prove: (answer: Answer) => void;
}

export function createBegunAnswers(
  { clock, unsettled, records, prove }: BegunAnswersOptions,
): BegunAnswers {
  function settle(answers: readonly Answer[]): void {
    for (const answer of answers) prove(answer);
  }

  return new (class extends BegunAnswers {
    override begin(
      replica: string,
      suspects: readonly string[],
    ): BegunAnswer {
      const answer = unsettled.add(replica, suspects);
      const { beganAt } = answer;
      return {
        beganAt,
        complete: () => unsettled.complete(answer),
        breakOff() {
          const age = clock.monotonic() - beganAt;
          const isSettled = !unsettled.has(answer) || age > UNSETTLED_EXPIRY;
          unsettled.remove(answer);
          if (isSettled) return { suspects: [] };
          return toRecorded(suspects, age);
        },
        abandon: () => unsettled.remove(answer),
      };
    }

    override recordReceived(replica: string): void {
      const since = clock.monotonic() - SETTLING_TIME;
      // Data from before a crash can be processed after it.
      if (records.find(replica, since) !== undefined) return;
      settle(unsettled.takeOutlived(replica));
    }

    override settleQuiet(): void {
      settle(unsettled.takeQuiet());
    }

    override implicate(
      { replica, at }: CrashRecord,
    ): readonly RecordedSuspects[] {
      settle(unsettled.takeCompleteUntil(replica, at));
      return unsettled.implicate(replica)
        .map(({ suspects, beganAt }) => toRecorded(suspects, at - beganAt));
    }

    override recordDisconnect(replica: string): void {
      settle(unsettled.takeCompleteUntil(replica, clock.monotonic()));
    }

    override closedAt(replica: string): Milliseconds | undefined {
      return unsettled.closedAt(replica);
    }
  })();
}

function toRecorded(
  suspects: readonly string[],
  age: Milliseconds,
): RecordedSuspects {
  if (age <= RECENT_BEGIN) return { suspects };
  return { suspects: [], begun: suspects.map((suspect) => [suspect, age]) };
}
