/**
 * Finds what of requests crashes every replica that runs it, from the replicas
 * that ended under requests and from the answers that began. What can be the
 * cause is a suspect: a part that prompts share, or a request as a whole, which
 * callers repeat. Requests with a condemned suspect are to be refused, until a
 * trial shows that it is sound again.
 *
 * - All attempts that one replica broke off form one crash record with the
 *   suspects of these requests. Data from the same incarnation soon afterwards
 *   shows that only connections were reset, and voids it. So does a later loss:
 *   an incarnation crashes at most once.
 * - A replica that ends while no request is on it crashed as well, if it ended
 *   just after complete answers. These are then its suspects.
 * - An answer proves the parts of its request sound as of its first event: only
 *   crashes after it count against them. It does so once its replica has
 *   outlived the first event for some time, as a part can crash a replica a
 *   little later. Until then the parts are suspects of a crash. A request is
 *   proven sound only by its complete answer.
 * - A suspect is condemned after three crashes that are most of those in their
 *   time, or after five if it was sound just before or its answers had begun,
 *   unless other suspects explain them: those that stand in the same crash
 *   records and were proven sound less recently, or never.
 * - Crashes a different time after the begin of an answer do not add up: an
 *   answer that outlived the shorter one shows that this had another cause.
 * - A suspect that was sound before is condemned only if answers on other
 *   suspects began while it crashed replicas, which an outage does not admit.
 * - A suspect whose crashes ended begun answers is condemned only if answers on
 *   others lived longer, at several replicas, as they do not in an outage.
 * - Crashes count for `RECORD_EXPIRY`, however far apart they are. Those of long
 *   ago alone condemn nothing that was answered since.
 * - Crashes of a part that coincide count once, but five at two times condemn it.
 * - Suspects of the same crashes are told apart by a request that lacks some.
 * - Requests are judged by the crashes and answers of their service alone. One
 *   that was never answered is refused for longer, because each trial can crash
 *   one more replica.
 * - A request explains the crashes of its parts until another request with them
 *   crashes a replica too.
 *
 * Daemons exchange crash records, proofs and verdicts. Times travel as ages and
 * appear later by the delays on the way, which the tolerances allow for. News
 * that repeat what a daemon holds, at the same times, change nothing. Of
 * different news, the order can matter: a verdict that starts here has the
 * times of the crashes known then, and a proof up to `MAX_NEWS_DELAY` after the
 * first of the last three crashes prevents the verdict when it arrives before
 * them, but does not lift it when it arrives after them.
 *
 * Memory is bounded whatever suspects callers invent: `MAX_RECORDS` crash
 * records of at most `MAX_SUSPECTS` suspects, `MAX_VERDICTS` verdicts,
 * `MAX_PROOFS` times of proofs for parts and as many for requests, 1.8 MB as
 * measured with ids of 64 characters, and the suspects of recent answers:
 * `MAX_UNSETTLED_SUSPECTS`, `MAX_SAMPLED_SUSPECTS` and `MAX_COMMON` for each
 * interval. Work for one request is bounded by these numbers and by the suspects
 * of the request, and does not depend on the numbers of daemons and replicas.
 *
 * This module states the interface and connects the modules: `crash_records.ts`,
 * `unsettled_answers.ts`, `outlived_answers.ts` and `suspect_proofs.ts` hold
 * what was observed, `begun_answers.ts` turns answers into proofs or evidence,
 * `crash_attribution.ts` decides which crashes count against a suspect,
 * `outage_detection.ts` whether these can be those of an outage,
 * `suspect_verdicts.ts` holds the verdicts, `trials.ts` and `companions.ts` let
 * requests through in spite of one, and `crash_digest.ts` exchanges what daemons
 * must know of each other.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import {
  countedRecords,
  CRASHES_TO_SUSPECT,
  findCrashes,
  type Observations,
  rankSuspects,
} from "./crash_attribution.ts";
import { type CrashNews, createCrashDigest } from "./crash_digest.ts";
import { type BegunAnswer, createBegunAnswers } from "./begun_answers.ts";
import {
  type Audience,
  type CrashRecord,
  createCrashRecords,
  isUsable,
  type RecordedSuspects,
} from "./crash_records.ts";
import { createOutlivedAnswers } from "./outlived_answers.ts";
import { groupOf } from "./suspects.ts";
import { createSuspectProofs } from "./suspect_proofs.ts";
import {
  type CondemnedSuspect,
  createSuspectVerdicts,
  type Verdict,
} from "./suspect_verdicts.ts";
import { createUnsettledAnswers } from "./unsettled_answers.ts";

export {
  CRASHES_DESPITE_PROOF,
  CRASHES_TO_CONDEMN,
  CRASHES_TO_SUSPECT,
  PROOF_VALIDITY,
} from "./crash_attribution.ts";
export {
  type CrashNews,
  MAX_TOLD_SUSPECTS,
  TELL_DELAY,
} from "./crash_digest.ts";
export {
  type Audience,
  DETAIL_EXPIRY,
  MAX_SUSPECT_LENGTH,
  RECORD_EXPIRY,
  type RecordedSuspects,
} from "./crash_records.ts";
export { fingerprintOfSuspect, isRequest, requestSuspect } from "./suspects.ts";
export {
  COMPLETE_SETTLING_TIME,
  MAX_UNSETTLED,
  MAX_UNSETTLED_SUSPECTS,
  QUIET_SETTLING_TIME,
  SETTLING_TIME,
} from "./unsettled_answers.ts";
export type { BegunAnswer } from "./begun_answers.ts";
export {
  type CondemnedSuspect,
  holdOf,
  INITIAL_HOLD,
  MAX_HOLD,
  MAX_STRIKES,
  UNANSWERED_REQUEST_STRIKES,
  type Verdict,
} from "./suspect_verdicts.ts";

/**
 * A replica that ended under a request, with the keys of what of the request
 * can be the cause.
 */
export interface Loss extends RecordedSuspects {
  /** Key of the replica's incarnation. */
  readonly replica: string;
}

export type Admission =
  | { readonly kind: "admitted"; readonly end: () => void }
  | { readonly kind: "condemned"; readonly condemned: CondemnedSuspect };

export abstract class CrashEvidence {
  /**
   * Records that a replica broke off an attempt before its answer was settled.
   * Not to be called for attempts that were never written or were cancelled
   * here, nor for replicas that were about to leave. Returns true when it is
   * the first loss of a crash.
   */
  abstract recordLoss(loss: Loss): boolean;
  /**
   * Records the first event of an answer on these suspects. It proves them sound
   * as of now, once the replica has outlived it for some time.
   */
  abstract recordBegin(
    replica: string,
    suspects: readonly string[],
  ): BegunAnswer;
  /** Records that these suspects are proven sound as of now. */
  abstract recordSuccess(suspects: readonly string[]): void;
  /** Records that data was received from a replica's incarnation. */
  abstract recordReceived(replica: string): void;
  /** Records that a replica's incarnation closed a connection. */
  abstract recordDisconnect(replica: string): void;
  /**
   * Returns true when a replica's incarnation closed connections just after
   * complete answers. If it has ended, these are evidence.
   */
  abstract mayHaveCrashed(replica: string): boolean;
  /**
   * Records that a replica's incarnation, which closed connections, has ended.
   * Not to be called for replicas that were about to leave. Returns true when
   * that is the first evidence of a crash.
   */
  abstract recordEnd(replica: string): boolean;
  /** Returns the suspect for which a request must not be sent now. */
  abstract check(suspects: readonly string[]): CondemnedSuspect | undefined;
  /**
   * Admits one attempt, or returns the suspect for which it must not be sent.
   * After a verdict lapses, one attempt with the suspect is admitted at a time,
   * and only in the turn of this daemon.
   */
  abstract admit(suspects: readonly string[]): Admission;
  /**
   * Returns true when the crashes so far may be due to a suspect of the
   * request, which therefore must not be repeated after a crash.
   */
  abstract isSuspect(suspects: readonly string[]): boolean;
  /**
   * Takes the news for one datagram, at most `limit` bytes of JSON. Each crash
   * record is returned a limited number of times to each audience.
   */
  abstract compose(limit: Bytes, audience: Audience): CrashNews | undefined;
  abstract apply(news: CrashNews): void;
  /** Returns true when a crash of the replica counts as evidence. */
  abstract hasRecord(replica: string): boolean;
}

export interface CrashEvidenceOptions {
  readonly clock: Clock;
  /**
   * Returns true when this daemon has a turn, in which it may try what was
   * condemned. `share` is the share of the fleet that may have it, from 0 to 1;
   * one daemon always does. By default, each turn is this daemon's.
   */
  readonly hasTurn?: (turn: string, share: number) => boolean;
  readonly onCondemned?: (verdict: Verdict) => void;
  readonly onLifted?: (suspect: string) => void;
  /** Reports an answer after which crashes no longer count against a suspect. */
  readonly onProven?: (suspect: string, crashes: number) => void;
}

export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  const { clock } = options;
  const proofs = createSuspectProofs(clock);
  const records = createCrashRecords({
    clock,
    rankSuspects: (record) => rankSuspects(observations, record),
    lastProof: (suspect) => proofs.lastProof(suspect),
  });
  const unsettled = createUnsettledAnswers({
    clock,
    hasCrashed: (replica, since) => records.find(replica, since) !== undefined,
  });
  const outlived = createOutlivedAnswers(clock);
  const observations: Observations = {
    ...{ clock, records, proofs, unsettled, outlived },
  };
  const verdicts = createSuspectVerdicts({
    hasTurn: () => true,
    ...options,
    ...observations,
  });
  const answers = createBegunAnswers({
    ...{ clock, unsettled, records },
    prove: ({ suspects, beganAt }) => proveAll(suspects, beganAt),
  });
  const digest = createCrashDigest({
    ...{ verdicts, ...observations },
    onCrash: implicateComplete,
  });

  function isEmpty(): boolean {
    return records.list().length === 0 && verdicts.isEmpty();
  }

  function dropExpired(): void {
    answers.settleQuiet();
    if (records.dropExpired()) verdicts.noteRecords();
    proofs.dropExpired();
    verdicts.dropExpired();
  }

  /** Records an answer on suspects that began at a time as their proof. */
  function proveAll(suspects: readonly string[], at: Milliseconds): void {
    recordAnswer(suspects, at);
    for (const suspect of suspects) if (isUsable(suspect)) prove(suspect, at);
  }

  function recordAnswer(suspects: readonly string[], at: Milliseconds): void {
    if (records.list().length === 0) return;
    const usable = suspects.filter(isUsable);
    for (const group of new Set(usable.map(groupOf))) {
      if (proofs.recordAnswer(group, at, usable)) verdicts.noteAnswer();
    }
  }

  /** Adds the answers to a crash that were complete just before it. */
  function implicateComplete(crash: CrashRecord): void {
    for (const suspects of answers.implicate(crash)) {
      records.add(crash.replica, crash.at, suspects);
    }
  }

  /** Records a crash; returns true when nothing was known of it. */
  function recordCrash(
    replica: string,
    at: Milliseconds,
    suspects: RecordedSuspects,
  ): boolean {
    const { record, isNew, isChanged } = records.add(replica, at, suspects);
    implicateComplete(record);
    if (isChanged) verdicts.noteRecords();
    verdicts.judge(record);
    return isNew;
  }

  function prove(suspect: string, at: Milliseconds): void {
    const disproved = countedRecords(observations, suspect)
      .filter((record) => record.at <= at).length;
    if (!proofs.recordProof(suspect, at)) return;
    if (disproved > 0) options.onProven?.(suspect, disproved);
    verdicts.noteProof(suspect);
  }

  function check(suspects: readonly string[]): CondemnedSuspect | undefined {
    if (isEmpty()) return undefined;
    dropExpired();
    verdicts.evaluate();
    return verdicts.findCondemned(suspects);
  }

  return new (class extends CrashEvidence {
    override recordLoss({ replica, ...suspects }: Loss): boolean {
      dropExpired();
      outlived.recordDisconnect(replica);
      return recordCrash(replica, clock.monotonic(), suspects);
    }

    override recordBegin(
      replica: string,
      suspects: readonly string[],
    ): BegunAnswer {
      answers.settleQuiet();
      const usable = suspects.filter(isUsable);
      recordAnswer(usable, clock.monotonic());
      outlived.recordBegin(replica, usable);
      return answers.begin(replica, usable);
    }

    override recordSuccess(suspects: readonly string[]): void {
      proveAll(suspects, clock.monotonic());
    }

    override recordReceived(replica: string): void {
      if (records.voidByData(replica)) verdicts.noteRecords();
      outlived.recordReceived(replica);
      answers.recordReceived(replica);
    }

    override recordDisconnect(replica: string): void {
      outlived.recordDisconnect(replica);
      answers.recordDisconnect(replica);
    }

    override mayHaveCrashed(replica: string): boolean {
      return answers.closedAt(replica) !== undefined;
    }

    override recordEnd(replica: string): boolean {
      dropExpired();
      const at = answers.closedAt(replica);
      return at !== undefined && recordCrash(replica, at, { suspects: [] });
    }

    override check(suspects: readonly string[]): CondemnedSuspect | undefined {
      return check(suspects);
    }

    override admit(suspects: readonly string[]): Admission {
      const condemned = check(suspects);
      if (condemned !== undefined) return { kind: "condemned", condemned };
      const tried = suspects.flatMap((suspect) => verdicts.find(suspect) ?? []);
      for (const verdict of tried) verdict.isTried = true;
      const end = () => {
        for (const verdict of tried) verdict.isTried = false;
      };
      return { kind: "admitted", end };
    }

    override isSuspect(suspects: readonly string[]): boolean {
      if (records.list().length < CRASHES_TO_SUSPECT) return false;
      dropExpired();
      return suspects.some((suspect) =>
        findCrashes(observations, suspect, CRASHES_TO_SUSPECT) !== undefined
      );
    }

    override compose(limit: Bytes, audience: Audience): CrashNews | undefined {
      if (isEmpty()) return undefined;
      dropExpired();
      return digest.compose(limit, audience);
    }

    override apply(news: CrashNews): void {
      dropExpired();
      digest.apply(news);
    }

    override hasRecord(replica: string): boolean {
      return records.list().some((record) =>
        record.replica === replica && record.voidedAt === undefined
      );
    }
  })();
}
