/**
 * Finds prompt parts that crash every replica that begins to write an answer on
 * them, from the replicas that ended under requests and from the answers that
 * began. Requests with such a part are to be refused, until a trial shows that
 * the part is sound again.
 *
 * - All attempts that one replica broke off before an event form one crash
 *   record with the parts of these requests. Data from the same incarnation
 *   soon afterwards shows that only connections were reset, and voids it. So
 *   does a later loss: an incarnation crashes at most once.
 * - An answer that begins proves the parts of its request sound at that time:
 *   only crashes after it count against them.
 * - A part is condemned after three crashes that are most of those in their
 *   time, or after five if it was sound just before, unless other parts explain
 *   them: those that stand in the same crash records and were proven sound less
 *   recently, or never.
 * - A part that was sound before is condemned only if answers on other parts
 *   began while it crashed replicas, which an outage does not admit.
 *
 * Daemons exchange crash records, proofs and verdicts. Times travel as ages and
 * appear later by the delays on the way, which the tolerances below allow for.
 * Merging news is idempotent, and its order does not matter.
 *
 * Memory is bounded whatever parts callers invent: `MAX_RECORDS` crash records
 * of at most `MAX_PARTS` parts, `MAX_VERDICTS` verdicts and `MAX_PROOFS` times
 * of proofs, 1.6 MB as measured with ids of 64 characters. Work for one request is
 * bounded by the parts of the request and the crash records, and does not
 * depend on the numbers of daemons and replicas.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";

/** A replica that ended under requests. */
export interface Loss {
  /** Key of the replica's incarnation. */
  readonly replica: string;
  /** Keys of the request's parts that other requests can share. */
  readonly parts: readonly string[];
}

/** A part whose requests are refused. */
export interface Verdict {
  readonly part: string;
  /** Crashes that count against the part. */
  readonly crashes: number;
  /** Number of times that the part was condemned in succession. */
  readonly strikes: number;
  readonly hold: Milliseconds;
}

/** Why a request must not be sent now. */
export interface CondemnedPart {
  readonly part: string;
  /** Time left until a request with the part may be tried. */
  readonly remaining: Milliseconds;
}

/** What daemons tell each other; all times are ages or remaining times. */
export interface CrashNews {
  readonly verdicts: readonly (readonly [
    part: string,
    age: Milliseconds,
    remaining: Milliseconds,
    strikes: number,
  ])[];
  readonly records: readonly (readonly [
    replica: string,
    age: Milliseconds,
    parts: readonly string[],
  ])[];
  /** Newest proofs that parts are sound. */
  readonly proofs: readonly (readonly [part: string, age: Milliseconds])[];
}

/** News are counted separately for neighbors and for other zones. */
export type Audience = "neighbors" | "zones";

export type Admission =
  | { readonly kind: "admitted"; readonly end: () => void }
  | { readonly kind: "condemned"; readonly condemned: CondemnedPart };

export abstract class CrashEvidence {
  /**
   * Records that a replica broke off an attempt before an event of its answer.
   * Not to be called for attempts that were never written or were cancelled
   * here, nor for replicas that were about to leave. Returns true when it is
   * the first loss of a crash.
   */
  abstract recordLoss(loss: Loss): boolean;
  /** Records that an answer on these parts began. */
  abstract recordSuccess(parts: readonly string[]): void;
  /** Records that data was received from a replica's incarnation. */
  abstract recordReceived(replica: string): void;
  /** Returns the part for which a request must not be sent now. */
  abstract check(parts: readonly string[]): CondemnedPart | undefined;
  /**
   * Admits one attempt, or returns the part for which it must not be sent. After
   * a verdict lapses, one attempt with the part is admitted at a time.
   */
  abstract admit(parts: readonly string[]): Admission;
  /**
   * Returns true when the crashes so far may be due to a part of the request,
   * which therefore must not be repeated after a crash.
   */
  abstract isSuspect(parts: readonly string[]): boolean;
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
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly onCondemned?: (verdict: Verdict) => void;
  readonly onLifted?: (part: string) => void;
}

/**
 * Two can be due to chance: the loss of one replica and of the replica that
 * repeats its requests.
 */
export const CRASHES_TO_CONDEMN = 3;

/** Crashes after which a request with the part is not repeated. */
export const CRASHES_TO_SUSPECT = 2;

/** In an outage, few crashes follow each other this often before an answer. */
export const CRASHES_DESPITE_PROOF = 5;

/**
 * Share of all crashes during its own that a part must have. A deadly part is
 * the cause of almost all crashes, while in an outage any one conversation is on
 * few of the replicas.
 */
const MIN_SHARE = 0.5;

/**
 * Crashes within this time count once against a part, because an outage ends
 * many replicas at once.
 */
const CRASH_SPACING: Milliseconds = 100;

/**
 * A part on which an answer began less than this before its last crash is
 * condemned only after `CRASHES_DESPITE_PROOF` crashes. An outage ends replicas
 * under all parts in use, and no answers begin while it lasts.
 */
export const PROOF_VALIDITY: Milliseconds = 2_000;

/**
 * Precision of the times at which answers began. Exact times would need memory
 * by the rate of requests.
 */
const ANSWER_PRECISION: Milliseconds = 100;

/** Age after which a crash record is dropped. */
export const RECORD_EXPIRY: Milliseconds = 30_000;

/**
 * Losses of one replica within this time belong to one crash. A replica that
 * starts again needs longer.
 */
const SAME_CRASH: Milliseconds = 1_500;

/**
 * Data of a crashed replica that was received before its end is processed at
 * most this long afterwards.
 */
const LATE_DATA: Milliseconds = 100;

/** A replica that starts again sends no data within this time. */
const RESET_NOTICE: Milliseconds = 1_200;

/**
 * Age at which a crash record is told to others, so that data of a live replica
 * can void it before.
 */
export const TELL_DELAY: Milliseconds = 250;

/** First duration of a verdict; it doubles with each renewal. */
export const INITIAL_HOLD: Milliseconds = 30_000;
export const MAX_HOLD: Milliseconds = 15 * 60_000;

/**
 * Strikes at which the hold reaches `MAX_HOLD`. More would have no effect, and
 * the digest between daemons admits no unbounded count.
 */
export const MAX_STRIKES = 1 + Math.ceil(Math.log2(MAX_HOLD / INITIAL_HOLD));

/** Time after its end at which a verdict is forgotten that no trial renewed. */
const FORGET_AFTER: Milliseconds = 15 * 60_000;

/**
 * Shares of the hold by which a daemon delays its trial, so that not all
 * daemons try at once.
 */
const MIN_TRIAL_DELAY = 0.05;
const MAX_TRIAL_DELAY = 0.5;

/**
 * Minimum interval between evaluations of all parts because of proofs. Answers
 * begin all the time on parts that many requests share.
 */
const EVALUATION_INTERVAL: Milliseconds = 50;

/** Wait stated for a part while another request tries it. */
const TRIAL_WAIT: Milliseconds = 1_000;

/** With half of the datagrams lost, 1 of 64 peers misses all rounds. */
const TOLD_ROUNDS = 6;

/**
 * Changes after which a record is told again. Daemons that know more than
 * `MAX_PARTS` parts of one crash may keep different ones, and would otherwise
 * tell each other about them until the record expires.
 */
const MAX_RETOLD_CHANGES = 8;

/**
 * Times of one verdict differ by less between daemons. Without this tolerance,
 * the delays of datagrams would add up while daemons adopt it from each other.
 */
const SAME_TIME: Milliseconds = 500;

/**
 * Delay by which the reported proof of a peer appears later than it was. A part
 * that was sound just before its first crash would otherwise seem sound after
 * it, and its verdict would be lifted and adopted again with each heartbeat.
 */
const MAX_NEWS_DELAY: Milliseconds = 100;

/** Minimum interval between two reports of the same part's proof. */
const PROOF_INTERVAL: Milliseconds = 1_000;

/**
 * A proof is told again only when it is this much newer, because the time of a
 * proof that comes back from others differs by the delays on its way.
 */
const PROOF_STEP: Milliseconds = 100;

/** Reports of a proof that no newer one replaces, as datagrams can be lost. */
const PROOF_ROUNDS = 3;

const MAX_RECORDS = 32;
const MAX_PARTS = 128;
/** Parts of one crash record in a datagram. */
export const MAX_TOLD_PARTS = 64;
const MAX_VERDICTS = 64;
const MAX_PROOFS = 4_096;
const PROOFS_DROPPED = 512;
const MAX_TOLD_VERDICTS = 8;
const MAX_TOLD_PROOFS = 16;

/**
 * Longer keys are ignored, which bounds the memory and the news. Admits ids of
 * 128 characters with the scope of their evidence.
 */
export const MAX_PART_LENGTH = 140;

interface CrashRecord {
  readonly replica: string;
  at: Milliseconds;
  /** Time of the first report here; it is told `TELL_DELAY` later. */
  readonly notedAt: Milliseconds;
  readonly parts: Set<string>;
  isFromPeer: boolean;
  /** Time of data from the same incarnation, which voids the record. */
  voidedAt?: Milliseconds;
  /** Number of times that the rounds were started again. */
  changes: number;
  readonly roundsLeft: Record<Audience, number>;
}

interface ActiveVerdict {
  readonly part: string;
  /** Answers that began after this time contradict the verdict. */
  since: Milliseconds;
  until: Milliseconds;
  strikes: number;
  /** Share of the hold by which this daemon delays its trial. */
  readonly trialDelay: number;
  isTried: boolean;
  /** The verdict before its renewal, and the crash that renewed it. */
  renewal?: {
    readonly record: CrashRecord;
    readonly previous: ActiveVerdict;
  };
}

interface ProofReport {
  readonly at: Milliseconds;
  readonly proof: Milliseconds;
  /** Number of reports of this proof. */
  readonly rounds: number;
}

interface Proof {
  at: Milliseconds;
  /** The last report to each audience; absent before the first. */
  told?: Partial<Record<Audience, ProofReport>>;
}

const UNTOLD: ProofReport = { at: -Infinity, proof: -Infinity, rounds: 0 };

export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  const { clock, random } = options;
  /** Ordered by time; void ones are kept until their reports stop. */
  let records: CrashRecord[] = [];
  /** Number of records by part; undefined after records were dropped. */
  let recordCounts: Map<string, number> | undefined;
  const verdicts = new Map<string, ActiveVerdict>();
  /** Changes since the last evaluation of all parts. */
  let staleness: "none" | "by proofs" | "by records" = "none";
  let evaluatedAt: Milliseconds = -Infinity;
  /** Intervals of `ANSWER_PRECISION` in which answers on any parts began. */
  const answerIntervals = new Set<number>();
  /** Least recently proven parts first. */
  const proofs = new Map<string, Proof>();

  function lastProof(part: string): Milliseconds {
    return proofs.get(part)?.at ?? -Infinity;
  }

  function dropExpired(): void {
    const now = clock.monotonic();
    if (records.some(({ at }) => now - at >= RECORD_EXPIRY)) {
      records = records.filter(({ at }) => now - at < RECORD_EXPIRY);
      recordCounts = undefined;
      staleness = "by records";
    }
    const oldest = intervalOf(now - RECORD_EXPIRY);
    for (const interval of answerIntervals) {
      if (interval >= oldest) break;
      answerIntervals.delete(interval);
    }
    for (const [part, { until }] of verdicts) {
      if (now < until + FORGET_AFTER) continue;
      verdicts.delete(part);
      staleness = "by records";
    }
  }

  /** Number of records with a part, also of those before its last proof. */
  function countRecords(part: string): number {
    if (recordCounts === undefined) {
      recordCounts = new Map();
      for (const { parts, voidedAt } of records) {
        if (voidedAt !== undefined) continue;
        for (const one of parts) {
          recordCounts.set(one, (recordCounts.get(one) ?? 0) + 1);
        }
      }
    }
    return recordCounts.get(part) ?? 0;
  }

  function countedRecords(part: string): readonly CrashRecord[] {
    if (countRecords(part) === 0) return [];
    const proof = lastProof(part);
    return records.filter(({ at, parts, voidedAt }) =>
      voidedAt === undefined && at > proof && parts.has(part)
    );
  }

  /** Crashes that count against a part, by their times. */
  function listCrashes(counted: readonly CrashRecord[]): Milliseconds[] {
    const crashes: Milliseconds[] = [];
    for (const { at } of counted) {
      if (at - (crashes.at(-1) ?? -Infinity) >= CRASH_SPACING) crashes.push(at);
    }
    return crashes;
  }

  /**
   * Returns true when each of the records has another part that is more likely
   * the cause.
   */
  function isExplained(
    part: string,
    counted: readonly CrashRecord[],
    crashes: number,
    needed: number,
  ): boolean {
    const proof = lastProof(part);
    const known = new Map<string, boolean>();
    const explains = (other: string): boolean => {
      const cached = known.get(other);
      if (cached !== undefined) return cached;
      const otherProof = lastProof(other);
      const isCandidate = otherProof <= proof && countRecords(other) >= needed;
      const otherCrashes = isCandidate
        ? listCrashes(countedRecords(other)).length
        : 0;
      const result = other !== part && otherCrashes >= needed &&
        (otherProof < proof || otherCrashes > crashes);
      known.set(other, result);
      return result;
    };
    return counted.every(({ parts }) => [...parts].some(explains));
  }

  /**
   * Returns true when the records are at least the stated share of all records
   * of their time.
   */
  function isCommon(
    counted: readonly CrashRecord[],
    start: Milliseconds,
  ): boolean {
    const end = counted.at(-1)?.at ?? start;
    const isWithin = ({ at, voidedAt }: CrashRecord) =>
      voidedAt === undefined && at >= start && at <= end;
    return counted.filter(isWithin).length >=
      records.filter(isWithin).length * MIN_SHARE;
  }

  /** The crashes that count against a part, if they reach the number needed. */
  function findCrashes(
    part: string,
    needed: number,
  ): readonly Milliseconds[] | undefined {
    if (countRecords(part) < needed) return undefined;
    const counted = countedRecords(part);
    if (counted.length < needed) return undefined;
    const crashes = listCrashes(counted);
    if (crashes.length < needed) return undefined;
    const last = crashes.at(-1) ?? -Infinity;
    const isProven = last - lastProof(part) < PROOF_VALIDITY;
    if (isProven && crashes.length < CRASHES_DESPITE_PROOF) return undefined;
    if (!isCommon(counted, crashes.at(-needed) ?? last)) return undefined;
    if (isExplained(part, counted, crashes.length, needed)) return undefined;
    return crashes;
  }

  /**
   * Returns true when an answer on any part began after the second crash and
   * before the last. Without one, the crashes of a part that was sound before
   * can be those of an outage, and if all requests have the part, its refusal
   * would protect no other.
   */
  function hasAnswerBetween(crashes: readonly Milliseconds[]): boolean {
    const second = intervalOf(crashes[1] ?? Infinity);
    const last = intervalOf(crashes.at(-1) ?? -Infinity);
    for (const interval of answerIntervals) {
      if (interval > second && interval < last) return true;
    }
    return false;
  }

  function recordAnswer(at: Milliseconds): void {
    if (clock.monotonic() - at >= RECORD_EXPIRY) return;
    const interval = intervalOf(at);
    if (answerIntervals.has(interval)) return;
    answerIntervals.add(interval);
    if (staleness === "none" && records.length > 0) staleness = "by proofs";
  }

  function condemn(part: string): void {
    if (verdicts.has(part)) return;
    const crashes = findCrashes(part, CRASHES_TO_CONDEMN);
    if (crashes === undefined) return;
    if (lastProof(part) > -Infinity && !hasAnswerBetween(crashes)) return;
    // With an answer after this crash, too few would be left.
    const since = crashes.at(-CRASHES_TO_CONDEMN) ?? clock.monotonic();
    const last = crashes.at(-1) ?? since;
    putVerdict({ part, since, until: last + INITIAL_HOLD, strikes: 1 });
    options.onCondemned?.({
      part,
      strikes: 1,
      crashes: crashes.length,
      hold: INITIAL_HOLD,
    });
  }

  /**
   * Renews the verdict of a part that crashed a replica in a trial, unless
   * another part of the record explains the crash. The losses of one crash
   * arrive one after the other, so that a part of a later one may explain it.
   */
  function renew(part: string, record: CrashRecord): void {
    const verdict = verdicts.get(part);
    if (verdict === undefined) return;
    const { at } = record;
    const { renewal } = verdict;
    if (renewal?.record === record) {
      if (isTrialExplained(part, record)) verdicts.set(part, renewal.previous);
      return;
    }
    if (at <= verdict.until || at <= lastProof(part)) return;
    if (isTrialExplained(part, record)) return;
    const strikes = Math.min(MAX_STRIKES, verdict.strikes + 1);
    const hold = holdOf(strikes);
    putVerdict({ part, since: at, until: at + hold, strikes });
    // Keeps no chain of all earlier verdicts in memory.
    delete verdict.renewal;
    const renewed = verdicts.get(part);
    if (renewed !== undefined) renewed.renewal = { record, previous: verdict };
    options.onCondemned?.({ part, strikes, crashes: 1, hold });
  }

  /**
   * Two crashes of the other part suffice, because a trial that is explained
   * wrongly costs one more replica, while a renewal refuses a sound part for a
   * long time.
   */
  function isTrialExplained(part: string, record: CrashRecord): boolean {
    const crashes = listCrashes(countedRecords(part)).length;
    return isExplained(part, [record], crashes, CRASHES_TO_SUSPECT);
  }

  function putVerdict(
    verdict: Pick<ActiveVerdict, "part" | "since" | "until" | "strikes">,
  ): void {
    const range = MAX_TRIAL_DELAY - MIN_TRIAL_DELAY;
    verdicts.delete(verdict.part);
    verdicts.set(verdict.part, {
      ...verdict,
      trialDelay: MIN_TRIAL_DELAY + random() * range,
      isTried: false,
    });
    if (verdicts.size <= MAX_VERDICTS) return;
    const [first] = [...verdicts.values()].sort((a, b) => a.until - b.until);
    if (first !== undefined) verdicts.delete(first.part);
  }

  function recordProof(part: string, at: Milliseconds): void {
    const known = proofs.get(part);
    if (known === undefined) {
      proofs.set(part, { at });
    } else {
      if (at <= known.at) return;
      known.at = at;
      proofs.delete(part);
      proofs.set(part, known);
    }
    if (proofs.size >= MAX_PROOFS) dropOldestProofs();
    if (staleness === "none" && countRecords(part) > 0) {
      staleness = "by proofs";
    }
    const verdict = verdicts.get(part);
    if (verdict === undefined || !isContradicted(verdict)) return;
    verdicts.delete(part);
    staleness = "by records";
    options.onLifted?.(part);
  }

  /**
   * Drops many at once, because a map finds its first entry only after a pass
   * over those that were deleted before.
   */
  function dropOldestProofs(): void {
    let excess = PROOFS_DROPPED;
    for (const part of proofs.keys()) {
      if (excess <= 0) return;
      proofs.delete(part);
      excess -= 1;
    }
  }

  /**
   * Returns true when an answer on the part began after its crashes, or when
   * the crashes known here have a more likely cause: the daemon that condemned
   * the part may not have known its last proof.
   */
  function isContradicted(
    { part, since, strikes }: Pick<
      ActiveVerdict,
      "part" | "since" | "strikes"
    >,
  ): boolean {
    if (lastProof(part) - since > MAX_NEWS_DELAY) return true;
    if (strikes > 1) return false;
    const counted = countedRecords(part);
    const crashes = listCrashes(counted).length;
    return crashes >= CRASHES_TO_CONDEMN &&
      isExplained(part, counted, crashes, CRASHES_TO_CONDEMN);
  }

  function isUsable(part: string): boolean {
    return part.length <= MAX_PART_LENGTH;
  }

  /**
   * Adds parts to the record of a crash. Returns the record and whether that
   * changed anything.
   */
  function addToRecord(
    replica: string,
    at: Milliseconds,
    parts: readonly string[],
  ): { record: CrashRecord; isNew: boolean; isChanged: boolean } {
    const known = findRecord(replica, at);
    const record = known ?? {
      replica,
      at,
      notedAt: clock.monotonic(),
      parts: new Set<string>(),
      isFromPeer: false,
      changes: 0,
      roundsLeft: { neighbors: TOLD_ROUNDS, zones: TOLD_ROUNDS },
    };
    if (known === undefined) records.push(record);
    record.at = Math.min(record.at, at);
    const added = parts.filter((part) =>
      isUsable(part) && !record.parts.has(part)
    );
    for (const part of added) changeParts(record, part, 1);
    trimParts(record);
    const isChanged = known === undefined ||
      added.some((part) => record.parts.has(part));
    records.sort((a, b) => a.at - b.at);
    if (known === undefined) voidEarlier(replica);
    if (isChanged) staleness = "by records";
    if (records.length > MAX_RECORDS) {
      records.shift();
      recordCounts = undefined;
    }
    if (isChanged && record.changes < MAX_RETOLD_CHANGES) {
      record.changes += 1;
      record.roundsLeft.neighbors = TOLD_ROUNDS;
      record.roundsLeft.zones = TOLD_ROUNDS;
    }
    return { record, isNew: known === undefined, isChanged };
  }

  /** The record of the same crash: the closest one, as times differ by delays. */
  function findRecord(
    replica: string,
    at: Milliseconds,
  ): CrashRecord | undefined {
    const distance = (record: CrashRecord) => Math.abs(record.at - at);
    return records.filter((record) =>
      record.replica === replica && distance(record) < SAME_CRASH &&
      at < (record.voidedAt ?? Infinity)
    ).sort((a, b) => distance(a) - distance(b))[0];
  }

  /**
   * Voids all records of a replica but the last. The replica was alive until
   * then, so that one live replica whose connections are reset again and again
   * counts at most once against a part.
   */
  function voidEarlier(replica: string): void {
    const own = records.filter((record) => record.replica === replica);
    for (const [index, record] of own.entries()) {
      const next = own[index + 1];
      if (next === undefined || record.voidedAt !== undefined) continue;
      record.voidedAt = next.at;
      recordCounts = undefined;
    }
  }

  function trimParts(record: CrashRecord): void {
    if (record.parts.size <= MAX_PARTS) return;
    for (const part of rankParts(record.parts).slice(MAX_PARTS)) {
      changeParts(record, part, -1);
    }
  }

  /** Adds a part to a record or removes it, and counts it. */
  function changeParts(
    { parts, voidedAt }: CrashRecord,
    part: string,
    change: 1 | -1,
  ): void {
    if (change > 0 === parts.has(part)) return;
    if (change > 0) parts.add(part);
    else parts.delete(part);
    if (recordCounts === undefined || voidedAt !== undefined) return;
    recordCounts.set(part, (recordCounts.get(part) ?? 0) + change);
  }

  /** Parts of several records first, then those proven sound least recently. */
  function rankParts(parts: Iterable<string>): string[] {
    const ranked = [...parts].map((part) => ({
      part,
      count: countedRecords(part).length,
      proof: lastProof(part),
    }));
    ranked.sort((a, b) =>
      b.count - a.count || compare(a.proof, b.proof) || compare(a.part, b.part)
    );
    return ranked.map(({ part }) => part);
  }

  function judge(record: CrashRecord): void {
    if (record.voidedAt !== undefined) return;
    for (const part of record.parts) {
      renew(part, record);
      condemn(part);
    }
  }

  /**
   * Condemns parts whose crashes lost their other explanation: by a proof of
   * the part that explained them, or by a record that was voided or dropped.
   */
  function evaluate(): void {
    if (staleness === "none") return;
    const now = clock.monotonic();
    const age = now - evaluatedAt;
    if (staleness === "by proofs" && age < EVALUATION_INTERVAL) return;
    if (staleness === "by proofs") evaluatedAt = now;
    staleness = "none";
    if (records.length < CRASHES_TO_CONDEMN) return;
    const named = new Set<string>();
    for (const { parts } of records) for (const part of parts) named.add(part);
    for (const part of named) condemn(part);
  }

  function lapseOf({ until, strikes, trialDelay }: ActiveVerdict) {
    return until + trialDelay * holdOf(strikes);
  }

  function check(parts: readonly string[]): CondemnedPart | undefined {
    if (records.length === 0 && verdicts.size === 0) return undefined;
    dropExpired();
    evaluate();
    const now = clock.monotonic();
    let worst: CondemnedPart | undefined;
    for (const part of parts) {
      const verdict = verdicts.get(part);
      if (verdict === undefined) continue;
      const left = lapseOf(verdict) - now;
      const wait = verdict.isTried ? TRIAL_WAIT : 0;
      const remaining = left > 0 ? left : wait;
      if (remaining > (worst?.remaining ?? 0)) worst = { part, remaining };
    }
    return worst;
  }

  function listProofs(audience: Audience): CrashNews["proofs"] {
    const now = clock.monotonic();
    const named = new Set(verdicts.keys());
    for (const { parts } of records) for (const part of parts) named.add(part);
    const due: (readonly [string, Proof])[] = [];
    for (const part of named) {
      const proof = proofs.get(part);
      if (proof === undefined) continue;
      const told = proof.told?.[audience] ?? UNTOLD;
      if (now - told.at < PROOF_INTERVAL) continue;
      const isNew = proof.at - told.proof >= PROOF_STEP;
      if (isNew || told.rounds < PROOF_ROUNDS) due.push([part, proof]);
    }
    due.sort(([part, a], [other, b]) =>
      Number(verdicts.has(other)) - Number(verdicts.has(part)) ||
      countRecords(other) - countRecords(part) ||
      compare(
        (a.told?.[audience] ?? UNTOLD).at,
        (b.told?.[audience] ?? UNTOLD).at,
      )
    );
    return due.slice(0, MAX_TOLD_PROOFS)
      .map(([part, { at }]) => [part, Math.ceil(now - at)] as const);
  }

  function listVerdicts(): CrashNews["verdicts"] {
    const now = clock.monotonic();
    return [...verdicts.values()].filter(({ until }) => until > now)
      .sort((a, b) => b.since - a.since)
      .slice(0, MAX_TOLD_VERDICTS)
      .map(({ part, since, until, strikes }) =>
        [
          part,
          Math.floor(now - since),
          Math.floor(until - now),
          strikes,
        ] as const
      );
  }

  function isDue(record: CrashRecord, audience: Audience): boolean {
    return record.voidedAt === undefined && record.roundsLeft[audience] > 0 &&
      (record.isFromPeer ||
        clock.monotonic() - record.notedAt >= TELL_DELAY);
  }

  return new (class extends CrashEvidence {
    override recordLoss({ replica, parts }: Loss): boolean {
      dropExpired();
      const now = clock.monotonic();
      const { record, isNew } = addToRecord(replica, now, parts);
      judge(record);
      return isNew;
    }

    override recordSuccess(parts: readonly string[]): void {
      const now = clock.monotonic();
      if (records.length > 0) recordAnswer(now);
      for (const part of parts) if (isUsable(part)) recordProof(part, now);
    }

    override recordReceived(replica: string): void {
      const now = clock.monotonic();
      const newest = records.at(-1);
      if (newest === undefined || now - newest.at > RESET_NOTICE) return;
      for (const record of records) {
        if (record.replica !== replica || record.voidedAt !== undefined) {
          continue;
        }
        const age = now - record.at;
        if (age <= LATE_DATA || age > RESET_NOTICE) continue;
        record.voidedAt = now;
        recordCounts = undefined;
        staleness = "by records";
      }
    }

    override check(parts: readonly string[]): CondemnedPart | undefined {
      return check(parts);
    }

    override admit(parts: readonly string[]): Admission {
      const condemned = check(parts);
      if (condemned !== undefined) return { kind: "condemned", condemned };
      const tried = parts.flatMap((part) => verdicts.get(part) ?? []);
      for (const verdict of tried) verdict.isTried = true;
      const end = () => {
        for (const verdict of tried) verdict.isTried = false;
      };
      return { kind: "admitted", end };
    }

    override isSuspect(parts: readonly string[]): boolean {
      if (records.length < CRASHES_TO_SUSPECT) return false;
      dropExpired();
      return parts.some((part) =>
        findCrashes(part, CRASHES_TO_SUSPECT) !== undefined
      );
    }

    override compose(limit: Bytes, audience: Audience): CrashNews | undefined {
      if (records.length === 0 && verdicts.size === 0) return undefined;
      dropExpired();
      const now = clock.monotonic();
      let left = limit - measure({ verdicts: [], records: [], proofs: [] });
      const take = <Item>(items: readonly Item[]): Item[] => {
        const taken: Item[] = [];
        for (const item of items) {
          const size = measure(item) + 1;
          if (size > left) continue;
          left -= size;
          taken.push(item);
        }
        return taken;
      };
      const toldVerdicts = take(listVerdicts());
      const told: CrashNews["records"][number][] = [];
      const due = records.filter((record) => isDue(record, audience))
        .sort((a, b) => b.roundsLeft[audience] - a.roundsLeft[audience]);
      for (const [index, record] of due.entries()) {
        const kept = left;
        // Each record gets its share of the space, so that crashes of other
        // replicas are known even when one ended under many requests.
        left = Math.floor(left / (due.length - index));
        const spare = kept - left;
        const entry = takeRecord(record);
        left += spare;
        if (entry === undefined) continue;
        record.roundsLeft[audience] -= 1;
        told.push(entry);
      }
      function takeRecord(record: CrashRecord) {
        const age = Math.floor(now - record.at);
        const base = measure([record.replica, age, []]) + 1;
        if (base >= left) return undefined;
        left -= base;
        const parts = take(rankParts(record.parts).slice(0, MAX_TOLD_PARTS));
        if (parts.length > 0) return [record.replica, age, parts] as const;
        left += base;
        return undefined;
      }
      const toldProofs = take(listProofs(audience));
      for (const [part] of toldProofs) {
        const proof = proofs.get(part);
        if (proof === undefined) continue;
        const { proof: last, rounds } = proof.told?.[audience] ?? UNTOLD;
        const isNew = proof.at - last >= PROOF_STEP;
        const report = isNew
          ? { at: now, proof: proof.at, rounds: 1 }
          : { at: now, proof: last, rounds: rounds + 1 };
        proof.told = { ...proof.told, [audience]: report };
      }
      if (toldVerdicts.length + told.length + toldProofs.length === 0) {
        return undefined;
      }
      return { verdicts: toldVerdicts, records: told, proofs: toldProofs };
    }

    override hasRecord(replica: string): boolean {
      return records.some((record) =>
        record.replica === replica && record.voidedAt === undefined
      );
    }

    override apply(news: CrashNews): void {
      dropExpired();
      const now = clock.monotonic();
      // Proofs first, so that no part is condemned that they show to be sound.
      for (const [part, age] of news.proofs) {
        if (!isUsable(part)) continue;
        recordAnswer(now - age);
        recordProof(part, now - age);
      }
      const changed: CrashRecord[] = [];
      for (const [replica, age, parts] of news.records) {
        if (age >= RECORD_EXPIRY) continue;
        const { record, isChanged } = addToRecord(replica, now - age, parts);
        if (!isChanged) continue;
        record.isFromPeer = true;
        changed.push(record);
      }
      for (const [part, age, remaining, told] of news.verdicts) {
        if (!isUsable(part) || told < 1) continue;
        const strikes = Math.min(MAX_STRIKES, told);
        mergeVerdict({
          part,
          strikes,
          since: now - age,
          until: now + Math.min(remaining, holdOf(strikes)),
        });
      }
      for (const record of changed) judge(record);
    }
  })();

  function mergeVerdict(
    offered: Pick<ActiveVerdict, "part" | "since" | "until" | "strikes">,
  ): void {
    const { part, strikes, since, until } = offered;
    if (isContradicted(offered)) return;
    const known = verdicts.get(part);
    if (known !== undefined && !isLater(offered, known)) return;
    const isRenewal = known !== undefined && since > known.until;
    if (known !== undefined && known.strikes === strikes && !isRenewal) {
      known.since = since;
      known.until = until;
      return;
    }
    putVerdict(offered);
    const hold = holdOf(strikes);
    options.onCondemned?.({ part, strikes, crashes: 0, hold });
  }
}

/**
 * Orders the verdicts on one part. That of the latest crash prevails, so that an
 * answer that contradicts it contradicts all.
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

function intervalOf(at: Milliseconds): number {
  return Math.floor(at / ANSWER_PRECISION);
}

function holdOf(strikes: number): Milliseconds {
  return Math.min(MAX_HOLD, INITIAL_HOLD * 2 ** (strikes - 1));
}

/** Orders values that may be infinite. */
function compare<Value extends number | string>(a: Value, b: Value): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Size of a value as JSON. */
function measure(value: unknown): Bytes {
  return Buffer.byteLength(JSON.stringify(value));
}
