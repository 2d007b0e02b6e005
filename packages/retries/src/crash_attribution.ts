/**
 * Decides which crashes count against a part. The functions only read the crash
 * records and the proofs. A part's crashes are those after its last proof; they
 * count if they are a large enough share of all crashes of their time, and if no
 * other part explains them.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { CrashRecord, CrashRecords } from "./crash_records.ts";
import type { PartProofs } from "./part_proofs.ts";

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

/** What the crashes of parts are judged by. */
export interface Observations {
  readonly records: CrashRecords;
  readonly proofs: PartProofs;
}

/** The crashes that count against a part, if they reach the number needed. */
export function findCrashes(
  observations: Observations,
  part: string,
  needed: number,
): readonly Milliseconds[] | undefined {
  const { records, proofs } = observations;
  if (records.count(part) < needed) return undefined;
  const counted = countedRecords(observations, part);
  if (counted.length < needed) return undefined;
  const crashes = listCrashes(counted);
  if (crashes.length < needed) return undefined;
  const last = crashes.at(-1) ?? -Infinity;
  const isProven = last - proofs.lastProof(part) < PROOF_VALIDITY;
  if (isProven && crashes.length < CRASHES_DESPITE_PROOF) return undefined;
  if (!isCommon(observations, counted, crashes.at(-needed) ?? last)) {
    return undefined;
  }
  if (isExplained(observations, part, counted, crashes.length, needed)) {
    return undefined;
  }
  return crashes;
}

/** Records with a part that are neither void nor before its last proof. */
export function countedRecords(
  observations: Observations,
  part: string,
): readonly CrashRecord[] {
  const { records, proofs } = observations;
  if (records.count(part) === 0) return [];
  const proof = proofs.lastProof(part);
  return records.list().filter(({ at, parts, voidedAt }) =>
    voidedAt === undefined && at > proof && parts.has(part)
  );
}

/** Crashes that count against a part, by their times. */
export function listCrashes(counted: readonly CrashRecord[]): Milliseconds[] {
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
export function isExplained(
  observations: Observations,
  part: string,
  counted: readonly CrashRecord[],
  crashes: number,
  needed: number,
): boolean {
  const { records, proofs } = observations;
  const proof = proofs.lastProof(part);
  const known = new Map<string, boolean>();
  const explains = (other: string): boolean => {
    const cached = known.get(other);
    if (cached !== undefined) return cached;
    const otherProof = proofs.lastProof(other);
    const isCandidate = otherProof <= proof && records.count(other) >= needed;
    const otherCrashes = isCandidate
      ? listCrashes(countedRecords(observations, other)).length
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
  observations: Observations,
  counted: readonly CrashRecord[],
  start: Milliseconds,
): boolean {
  const { records } = observations;
  const end = counted.at(-1)?.at ?? start;
  const isWithin = ({ at, voidedAt }: CrashRecord) =>
    voidedAt === undefined && at >= start && at <= end;
  return counted.filter(isWithin).length >=
    records.list().filter(isWithin).length * MIN_SHARE;
}

/** Parts of several records first, then those proven sound least recently. */
export function rankParts(
  observations: Observations,
  parts: Iterable<string>,
): string[] {
  const { proofs } = observations;
  const ranked = [...parts].map((part) => ({
    part,
    count: countedRecords(observations, part).length,
    proof: proofs.lastProof(part),
  }));
  ranked.sort((a, b) =>
    b.count - a.count || compare(a.proof, b.proof) || compare(a.part, b.part)
  );
  return ranked.map(({ part }) => part);
}

/** Orders values that may be infinite. */
export function compare<Value extends number | string>(
  a: Value,
  b: Value,
): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
