/**
 * Keeps the verdicts on suspects: starts one when enough crashes count against
 * a suspect, renews it when a trial crashes a replica, merges those of other
 * daemons, lifts it when an answer or a more likely cause contradicts it, and
 * forgets it when it lapsed long ago.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { canTellApart } from "./companions.ts";
import {
  countCrashes,
  countedRecords,
  CRASHES_TO_CONDEMN,
  CRASHES_TO_SUSPECT,
  findCrashes,
  isDisputed,
  isExplained,
} from "./crash_attribution.ts";
import type { CrashRecord } from "./crash_records.ts";
import { canBeOutage } from "./outage_detection.ts";
import { isRequest } from "./suspects.ts";
import { hasTrialTurn, SAME_TIME, type TrialOptions } from "./trials.ts";

/** First duration of a verdict; it doubles with each renewal. */
export const INITIAL_HOLD: Milliseconds = 30_000;
export const MAX_HOLD: Milliseconds = 15 * 60_000;

/**
 * Strikes at which the hold reaches `MAX_HOLD`. More would have no effect, and
 * the digest between daemons admits no unbounded count.
 */
export const MAX_STRIKES = 1 + Math.ceil(Math.log2(MAX_HOLD / INITIAL_HOLD));

/**
 * Strikes of the first verdict on a request that no replica has ever answered.
 * Each trial may crash one more replica, and only its callers need the answer.
 */
export const UNANSWERED_REQUEST_STRIKES = 4;

/** Time after its end at which a verdict is forgotten that no trial renewed. */
const FORGET_AFTER: Milliseconds = 15 * 60_000;

/**
 * Minimum interval between evaluations of all suspects because of proofs.
 * Answers begin all the time on suspects that many requests share.
 */
const EVALUATION_INTERVAL: Milliseconds = 50;

/** Wait stated for a suspect while another request tries it. */
const TRIAL_WAIT: Milliseconds = 1_000;

/**
 * Delay by which the reported proof of a peer appears later than it was. A
 * suspect that was sound just before its first crash would otherwise seem sound
 * after it, and its verdict would be lifted and adopted again with each
 * heartbeat.
 */
const MAX_NEWS_DELAY: Milliseconds = 100;

const MAX_VERDICTS = 64;

/** A suspect whose requests are refused. */
export interface Verdict {
  readonly suspect: string;
  /** Crashes that count against the suspect. */
  readonly crashes: number;
  /** Number of times that the suspect was condemned in succession. */
  readonly strikes: number;
  readonly hold: Milliseconds;
}

/** Why a request must not be sent now. */
export interface CondemnedSuspect {
  readonly suspect: string;
  /** Time left until a request with the suspect may be tried. */
  readonly remaining: Milliseconds;
}

export interface ActiveVerdict {
  readonly suspect: string;
  /** Answers that began after this time contradict the verdict. */
  since: Milliseconds;
  until: Milliseconds;
  strikes: number;
  /** Time at which this daemon got to know the verdict. */
  readonly knownAt: Milliseconds;
  isTried: boolean;
  /** The verdict before its renewal, and the crash that renewed it. */
  renewal?: {
    readonly record: CrashRecord;
    readonly previous: ActiveVerdict;
  };
}

/** The content of a verdict that daemons tell each other. */
export type VerdictTerms = Pick<
  ActiveVerdict,
  "suspect" | "since" | "until" | "strikes"
>;

export interface SuspectVerdictsOptions extends TrialOptions {
  readonly onCondemned?: (verdict: Verdict) => void;
  readonly onLifted?: (suspect: string) => void;
}

export abstract class SuspectVerdicts {
  abstract list(): readonly ActiveVerdict[];
  abstract find(suspect: string): ActiveVerdict | undefined;
  /** Returns true when there are no verdicts. */
  abstract isEmpty(): boolean;
  /** Returns the suspect with the longest wait among those refused now. */
  abstract findCondemned(
    suspects: readonly string[],
  ): CondemnedSuspect | undefined;
  /** Renews and starts the verdicts that a crash leads to. */
  abstract judge(record: CrashRecord): void;
  /**
   * Condemns suspects whose crashes lost their other explanation: by a proof of
   * the suspect that explained them, or by a record that was voided or dropped.
   */
  abstract evaluate(): void;
  /** Takes a verdict of another daemon if it is later and not contradicted. */
  abstract merge(offered: VerdictTerms): void;
  /** Makes the next evaluation regard changes of the crash records. */
  abstract noteRecords(): void;
  /** Makes the next evaluation regard a new answer on any suspect. */
  abstract noteAnswer(): void;
  /**
   * Lifts the verdict that a new proof of the suspect contradicts, and makes
   * the next evaluation regard the proof.
   */
  abstract noteProof(suspect: string): void;
  /** Forgets verdicts that lapsed long ago without a trial's renewal. */
  abstract dropExpired(): void;
}

export function createSuspectVerdicts(
  options: SuspectVerdictsOptions,
): SuspectVerdicts {
  const { clock, records, proofs, unsettled } = options;
  const verdicts = new Map<string, ActiveVerdict>();
  /** Changes since the last evaluation of all suspects. */
  let staleness: "none" | "by proofs" | "by records" = "none";
  let evaluatedAt: Milliseconds = -Infinity;

  function noteAnswer(): void {
    if (staleness === "none" && records.list().length > 0) {
      staleness = "by proofs";
    }
  }

  function condemn(suspect: string): void {
    if (verdicts.has(suspect)) return;
    const crashes = findCrashes(options, suspect, CRASHES_TO_CONDEMN);
    if (crashes === undefined) {
      if (isDisputed(options, suspect, CRASHES_TO_CONDEMN)) noteAnswer();
      return;
    }
    if (canBeOutage(options, suspect, crashes)) {
      noteAnswer();
      return;
    }
    const { times } = crashes;
    // With an answer after this crash, too few would be left.
    const since = times.at(-CRASHES_TO_CONDEMN) ?? times[0] ??
      clock.monotonic();
    const last = times.at(-1) ?? since;
    const isProven = proofs.lastProof(suspect) > -Infinity;
    const isUnanswered = isRequest(suspect) && !isProven;
    const strikes = isUnanswered ? UNANSWERED_REQUEST_STRIKES : 1;
    const hold = holdOf(strikes);
    putVerdict({ suspect, since, until: last + hold, strikes });
    options.onCondemned?.({ suspect, strikes, crashes: times.length, hold });
  }

  /**
   * Renews the verdict of a suspect that crashed a replica in a trial, unless
   * another suspect of the record explains the crash. The losses of one crash
   * arrive one after the other, so that a suspect of a later one may explain
   * it.
   */
  function renew(suspect: string, record: CrashRecord): void {
    const verdict = verdicts.get(suspect);
    if (verdict === undefined) return;
    const { at } = record;
    const { renewal } = verdict;
    if (renewal?.record === record) {
      if (isTrialExplained(renewal.previous, record)) {
        verdicts.set(suspect, renewal.previous);
      }
      return;
    }
    if (at <= verdict.until || at <= proofs.lastProof(suspect)) return;
    if (isTrialExplained(verdict, record)) return;
    const strikes = Math.min(MAX_STRIKES, verdict.strikes + 1);
    const hold = holdOf(strikes);
    putVerdict({ suspect, since: at, until: at + hold, strikes });
    // Keeps no chain of all earlier verdicts in memory.
    delete verdict.renewal;
    const renewed = verdicts.get(suspect);
    if (renewed !== undefined) renewed.renewal = { record, previous: verdict };
    options.onCondemned?.({ suspect, strikes, crashes: 1, hold });
  }

  /**
   * Two crashes of the other suspect suffice, because a trial that is explained
   * wrongly costs one more replica, while a renewal refuses a sound suspect for
   * a long time. Crashes of before do not count: those that led to the verdict
   * say nothing about the trial.
   */
  function isTrialExplained(
    { suspect, until: since }: VerdictTerms,
    record: CrashRecord,
  ): boolean {
    const tried = countedRecords(options, suspect, since);
    return isExplained(options, suspect, {
      ...{ counted: [record], since, needed: CRASHES_TO_SUSPECT },
      crashes: countCrashes(suspect, tried),
    });
  }

  function putVerdict(verdict: VerdictTerms): void {
    verdicts.delete(verdict.suspect);
    const knownAt = clock.monotonic();
    verdicts.set(verdict.suspect, { ...verdict, knownAt, isTried: false });
    if (verdicts.size <= MAX_VERDICTS) return;
    const [first] = [...verdicts.values()].sort((a, b) => a.until - b.until);
    if (first !== undefined) verdicts.delete(first.suspect);
  }

  /**
   * Returns true when an answer on the suspect began after its crashes, or when
   * the crashes known here have a more likely cause: the daemon that condemned
   * the suspect may not have known its last proof.
   */
  function isContradicted(
    { suspect, since, strikes }: Pick<
      ActiveVerdict,
      "suspect" | "since" | "strikes"
    >,
  ): boolean {
    if (proofs.lastProof(suspect) - since > MAX_NEWS_DELAY) return true;
    if (strikes > 1) return false;
    const counted = countedRecords(options, suspect);
    const crashes = countCrashes(suspect, counted);
    const needed = CRASHES_TO_CONDEMN;
    return crashes >= needed &&
      isExplained(options, suspect, { counted, crashes, needed });
  }

  function liftContradicted(verdict: ActiveVerdict): void {
    if (!isContradicted(verdict)) return;
    verdicts.delete(verdict.suspect);
    staleness = "by records";
    options.onLifted?.(verdict.suspect);
  }

  /**
   * Returns true when an answer on the suspect began here after its crashes and
   * is not settled. The verdict is told again while it holds.
   */
  function isUnsettled(
    { suspect, since, until, strikes }: VerdictTerms,
  ): boolean {
    const { start, end } = unsettled.disputedTime(suspect);
    return end - since > MAX_NEWS_DELAY && until - holdOf(strikes) > start;
  }

  /** Time until a request with the suspect may be tried; 0 if one may be now. */
  function remainingOf(verdict: ActiveVerdict): Milliseconds {
    const left = verdict.until + SAME_TIME - clock.monotonic();
    if (left > 0) return left;
    const mayTry = !verdict.isTried && hasTrialTurn(options, verdict);
    return mayTry ? 0 : TRIAL_WAIT;
  }

  return new (class extends SuspectVerdicts {
    override list(): readonly ActiveVerdict[] {
      return [...verdicts.values()];
    }

    override find(suspect: string): ActiveVerdict | undefined {
      return verdicts.get(suspect);
    }

    override isEmpty(): boolean {
      return verdicts.size === 0;
    }

    override findCondemned(
      suspects: readonly string[],
    ): CondemnedSuspect | undefined {
      let worst: CondemnedSuspect | undefined;
      for (const suspect of suspects) {
        const verdict = verdicts.get(suspect);
        const remaining = verdict === undefined ? 0 : remainingOf(verdict);
        if (remaining > (worst?.remaining ?? 0)) worst = { suspect, remaining };
      }
      if (worst === undefined) return undefined;
      const condemned = [...verdicts.values()]
        .filter((verdict) => remainingOf(verdict) > 0);
      return canTellApart(options, condemned, suspects) ? undefined : worst;
    }

    override judge(record: CrashRecord): void {
      if (record.voidedAt !== undefined) return;
      for (const suspect of record.suspects) {
        renew(suspect, record);
        condemn(suspect);
      }
      for (const verdict of verdicts.values()) {
        if (!record.suspects.has(verdict.suspect)) liftContradicted(verdict);
      }
    }

    override evaluate(): void {
      if (staleness === "none") return;
      const now = clock.monotonic();
      const age = now - evaluatedAt;
      if (staleness === "by proofs" && age < EVALUATION_INTERVAL) return;
      if (staleness === "by proofs") evaluatedAt = now;
      staleness = "none";
      if (records.list().length < CRASHES_TO_CONDEMN) return;
      const suspects = [...records.listSuspects(CRASHES_TO_CONDEMN)];
      for (const suspect of suspects) condemn(suspect);
    }

    override merge(offered: VerdictTerms): void {
      const { suspect, strikes, since, until } = offered;
      if (isContradicted(offered) || isUnsettled(offered)) return;
      const known = verdicts.get(suspect);
      if (known !== undefined && !isLater(offered, known)) return;
      const isRenewal = known !== undefined && since > known.until;
      if (known !== undefined && known.strikes === strikes && !isRenewal) {
        known.since = since;
        known.until = until;
        return;
      }
      putVerdict(offered);
      const hold = holdOf(strikes);
      options.onCondemned?.({ suspect, strikes, crashes: 0, hold });
    }

    override noteRecords(): void {
      staleness = "by records";
    }

    override noteAnswer(): void {
      noteAnswer();
    }

    override noteProof(suspect: string): void {
      if (staleness === "none" && records.count(suspect) > 0) {
        staleness = "by proofs";
      }
      const verdict = verdicts.get(suspect);
      if (verdict !== undefined) liftContradicted(verdict);
    }

    override dropExpired(): void {
      const now = clock.monotonic();
      for (const [suspect, { until }] of verdicts) {
        if (now < until + FORGET_AFTER) continue;
        verdicts.delete(suspect);
        staleness = "by records";
      }
    }
  })();
}

/**
 * Orders the verdicts on one suspect. That of the latest crash prevails, so
 * that an answer that contradicts it contradicts all.
 */
function isLater(
  offered: Pick<ActiveVerdict, "since" | "until" | "strikes">,
  known: Pick<ActiveVerdict, "since" | "until" | "strikes">,
): boolean {
  const difference = offered.since - known.since;
  if (Math.abs(difference) > SAME_TIME) return difference > 0;
  if (offered.strikes !== known.strikes) return offered.strikes > known.strikes;
  return offered.until - known.until > SAME_TIME;
}

/** Duration of a verdict after a number of strikes. */
export function holdOf(strikes: number): Milliseconds {
  return Math.min(MAX_HOLD, INITIAL_HOLD * 2 ** (strikes - 1));
}
