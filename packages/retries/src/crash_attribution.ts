/**
 * Decides which crashes count against a suspect. The functions only read the
 * crash records, the proofs and the unsettled answers. A suspect's crashes are
 * those after its last proof that no answer disputes or outlived; they count if
 * they are a large enough share of all crashes of their time, and if no other
 * suspect explains them.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { CrashRecord, CrashRecords } from "./crash_records.ts";
import type { OutlivedAnswers } from "./outlived_answers.ts";
import type { SuspectProofs } from "./suspect_proofs.ts";
import { groupOf, isRequest } from "./suspects.ts";
import type { UnsettledAnswers } from "./unsettled_answers.ts";

/**
 * Two can be due to chance: the loss of one replica and of the replica that
 * repeats its requests.
 */
export const CRASHES_TO_CONDEMN = 3;

/** Crashes after which a request with the suspect is not repeated. */
export const CRASHES_TO_SUSPECT = 2;

/**
 * Weight of a crash some time after the first answer on the suspect began. The
 * longer requests are on a replica, the more of them are ended by a crash that
 * they did not cause.
 */
const BEGUN_WEIGHT = 3 / 5;

/** Crashes that condemn a suspect if all of them have that weight. */
export const BEGUN_CRASHES_TO_CONDEMN = Math.ceil(
  CRASHES_TO_CONDEMN / BEGUN_WEIGHT,
);

/**
 * A part crashes replicas some time after an answer begins. By this factor and
 * this margin, that time can differ between crashes.
 */
const AGE_FACTOR = 1.25;
const AGE_MARGIN: Milliseconds = 100;

/**
 * Crashes that condemn a part if they came at two times or more, however many of
 * them coincided: an outage hardly ends all replicas with one part twice.
 */
const COINCIDENT_CRASHES_TO_CONDEMN = 5;

/** In an outage, few crashes follow each other this often before an answer. */
export const CRASHES_DESPITE_PROOF = 5;

/**
 * Share of all crashes during its own that a suspect must have. A deadly
 * suspect is the cause of almost all crashes, while in an outage any one
 * conversation is on few of the replicas.
 */
const MIN_SHARE = 0.5;

/** The same for crashes some time after answers on the suspect began. */
const MIN_BEGUN_SHARE = 0.75;

/**
 * Crashes within this time count once against a part, because an outage ends
 * many replicas at once. Each counts against a request: few copies of a sound
 * one run at the same time, and a repeated one crashes the next replica within
 * this time.
 */
const CRASH_SPACING: Milliseconds = 100;

/**
 * A suspect on which an answer began less than this before its last crash is
 * condemned only after `CRASHES_DESPITE_PROOF` crashes. An outage ends replicas
 * under all suspects in use, and no answers begin while it lasts.
 */
export const PROOF_VALIDITY: Milliseconds = 2_000;

/**
 * Age from which a crash some time after the begin of an answer counts. By then
 * other daemons have told of what else was on the replica.
 */
const NEWS_TIME: Milliseconds = 500;

/** What the crashes of suspects are judged by. */
export interface Observations {
  readonly clock: Clock;
  readonly records: CrashRecords;
  readonly proofs: SuspectProofs;
  readonly unsettled: Pick<UnsettledAnswers, "disputedTime" | "lastBegin">;
  readonly outlived: Pick<OutlivedAnswers, "listOthers">;
}

/** The crashes that count against a suspect. */
export interface CountedCrashes {
  readonly times: readonly Milliseconds[];
  readonly records: readonly CrashRecord[];
  /** True if too few would count without those that ended begun answers. */
  readonly needsBegun: boolean;
}

/**
 * The crashes that count against a suspect, if they reach the number needed.
 */
export function findCrashes(
  observations: Observations,
  suspect: string,
  needed: number,
): CountedCrashes | undefined {
  const { records, proofs, unsettled } = observations;
  if (records.count(suspect) < needed) return undefined;
  const known = countedRecords(observations, suspect);
  if (known.length < needed) return undefined;
  const counted = dropOutlived(
    suspect,
    known.filter(isUndisputed(observations, suspect)),
  );
  if (weigh(suspect, counted) < needed) return undefined;
  const crashes = listCrashes(suspect, counted);
  const last = crashes.at(-1) ?? -Infinity;
  const disputed = unsettled.disputedTime(suspect);
  const proof = Math.max(
    proofs.lastProof(suspect),
    last > disputed.start ? disputed.end : -Infinity,
  );
  const isProven = last - proof < PROOF_VALIDITY;
  if (isProven && crashes.length < CRASHES_DESPITE_PROOF) return undefined;
  const early = listEarly(suspect, counted);
  const needsBegun = countCrashes(suspect, early) < needed;
  const found = { times: crashes, records: counted, needsBegun };
  if (!isCommon(observations, suspect, found, needed)) return undefined;
  const number = countCrashes(suspect, counted);
  const explained = { counted, crashes: number, needed };
  return isExplained(observations, suspect, explained) ? undefined : found;
}

/**
 * Returns true when enough crashes count against a suspect but for those that
 * are disputed by an unsettled answer or too recent.
 */
export function isDisputed(
  observations: Observations,
  suspect: string,
  needed: number,
): boolean {
  if (observations.records.count(suspect) < needed) return false;
  const known = countedRecords(observations, suspect);
  return known.length >= needed &&
    !known.every(isUndisputed(observations, suspect));
}

/**
 * Tells the records that no unsettled answer on the suspect disputes and, if
 * its answers had begun, that are old enough.
 */
function isUndisputed(
  { clock, unsettled }: Observations,
  suspect: string,
): (record: CrashRecord) => boolean {
  const { start, end } = unsettled.disputedTime(suspect);
  const told = clock.monotonic() - NEWS_TIME;
  return ({ at, begun }) =>
    (at <= start || at >= end) && (at <= told || !begun.has(suspect));
}

/**
 * Records with a suspect that are neither void nor before its last proof, nor
 * before a time.
 */
export function countedRecords(
  observations: Observations,
  suspect: string,
  since: Milliseconds = -Infinity,
): readonly CrashRecord[] {
  const { records, proofs } = observations;
  if (records.count(suspect) === 0) return [];
  const start = Math.max(since, proofs.lastProof(suspect));
  return records.list().filter(({ at, suspects, voidedAt }) =>
    voidedAt === undefined && at > start && suspects.has(suspect)
  );
}

/** Crashes that count against a suspect, by their times. */
export function listCrashes(
  suspect: string,
  counted: readonly CrashRecord[],
): Milliseconds[] {
  const spacing = isRequest(suspect) ? 0 : CRASH_SPACING;
  const crashes: Milliseconds[] = [];
  for (const { at } of counted) {
    if (at - (crashes.at(-1) ?? -Infinity) >= spacing) crashes.push(at);
  }
  return crashes;
}

/** Number of a suspect's crashes, of which those at one time are mostly one. */
export function countCrashes(
  suspect: string,
  counted: readonly CrashRecord[],
): number {
  const times = listCrashes(suspect, counted).length;
  const isRepeated = times >= CRASHES_TO_SUSPECT &&
    counted.length >= COINCIDENT_CRASHES_TO_CONDEMN;
  return isRepeated ? Math.max(times, CRASHES_TO_CONDEMN) : times;
}

/**
 * Drops the crashes that an answer on the suspect outlived at another replica
 * afterwards, even if a later crash ended it.
 */
function dropOutlived(
  suspect: string,
  counted: readonly CrashRecord[],
): readonly CrashRecord[] {
  const ageOf = ({ begun }: CrashRecord) => begun.get(suspect) ?? 0;
  return counted.filter((record) =>
    !counted.some((later) =>
      later.at - ageOf(later) > record.at &&
      ageOf(later) > ageOf(record) * AGE_FACTOR + AGE_MARGIN
    )
  );
}

/** Number of crashes that count against a suspect, by their weights. */
function weigh(suspect: string, counted: readonly CrashRecord[]): number {
  const all = countCrashes(suspect, counted);
  const early = countCrashes(suspect, listEarly(suspect, counted));
  return early + (all - early) * BEGUN_WEIGHT;
}

/** Crashes before or just after the first answer on the suspect began. */
function listEarly(
  suspect: string,
  counted: readonly CrashRecord[],
): readonly CrashRecord[] {
  return counted.filter(({ begun }) => !begun.has(suspect));
}

/** Crashes for which another explanation is sought. */
export interface ExplainedCrashes {
  /** Records of the suspect that need another explanation. */
  readonly counted: readonly CrashRecord[];
  /** Number of the suspect's crashes. */
  readonly crashes: number;
  /** Crashes that another suspect needs to explain them. */
  readonly needed: number;
  /** Time after which crashes of others count; all by default. */
  readonly since?: Milliseconds;
}

/**
 * Returns true when each of the records has another suspect that is more likely
 * the cause.
 */
export function isExplained(
  observations: Observations,
  suspect: string,
  { counted, crashes, needed, since = -Infinity }: ExplainedCrashes,
): boolean {
  const { records, proofs, unsettled } = observations;
  const proof = proofs.lastProof(suspect);
  const begin = unsettled.lastBegin(suspect);
  const known = new Map<string, boolean>();
  const explains = (other: string): boolean => {
    const cached = known.get(other);
    if (cached !== undefined) return cached;
    const otherProof = proofs.lastProof(other);
    const isCandidate = otherProof <= proof && records.count(other) >= needed;
    const otherCrashes = isCandidate
      ? countCrashes(other, countedRecords(observations, other, since))
      : 0;
    // A part with the same crashes may be sound in other requests.
    const isNarrower = isRequest(other) && !isRequest(suspect);
    const hasMore = isNarrower
      ? otherCrashes >= crashes
      : otherCrashes > crashes;
    const isLessSound = otherProof < proof ||
      (isCandidate && !isRequest(other) && unsettled.lastBegin(other) < begin);
    const result = other !== suspect && otherCrashes >= needed &&
      (isLessSound || hasMore);
    known.set(other, result);
    return result;
  };
  return counted.every(({ suspects }) => [...suspects].some(explains));
}

/**
 * Returns true when the records are the share that a suspect must have of all
 * records of its group, during the number of last crashes that is needed.
 */
function isCommon(
  observations: Observations,
  suspect: string,
  { times, records, needsBegun }: CountedCrashes,
  needed: number,
): boolean {
  const group = groupOf(suspect);
  const number = needsBegun ? Math.ceil(needed / BEGUN_WEIGHT) : needed;
  const share = needsBegun ? MIN_BEGUN_SHARE : MIN_SHARE;
  const start = times.at(-number) ?? times[0] ?? Infinity;
  const end = records.at(-1)?.at ?? start;
  const isWithin = ({ at, voidedAt, groups }: CrashRecord) =>
    voidedAt === undefined && at >= start && at <= end && groups.has(group);
  const all = observations.records.list().filter(isWithin)
    .filter(isUndisputed(observations, suspect));
  return records.filter(isWithin).length >= all.length * share;
}

/**
 * Suspects of several records first, then parts of requests whose answers had
 * not begun, then those proven sound least recently, and parts before requests.
 */
export function rankSuspects(
  observations: Observations,
  { suspects, begun }: Pick<CrashRecord, "suspects" | "begun">,
): string[] {
  const { proofs } = observations;
  const ranked = [...suspects].map((suspect) => ({
    suspect,
    count: countedRecords(observations, suspect).length,
    isEarlyPart: !begun.has(suspect) && !isRequest(suspect),
    proof: proofs.lastProof(suspect),
  }));
  ranked.sort((a, b) =>
    b.count - a.count || Number(b.isEarlyPart) - Number(a.isEarlyPart) ||
    compare(a.proof, b.proof) || compare(a.suspect, b.suspect)
  );
  return ranked.map(({ suspect }) => suspect);
}

/** Orders values that may be infinite. */
export function compare<Value extends number | string>(
  a: Value,
  b: Value,
): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
