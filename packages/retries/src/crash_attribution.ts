/**
 * Decides which crashes count against a suspect. The functions only read the
 * crash records and the proofs. A suspect's crashes are those after its last
 * proof; they count if they are a large enough share of all crashes of their
 * time, and if no other suspect explains them.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { CrashRecord, CrashRecords } from "./crash_records.ts";
import type { SuspectProofs } from "./suspect_proofs.ts";
import { groupOf, isRequest } from "./suspects.ts";

/**
 * Two can be due to chance: the loss of one replica and of the replica that
 * repeats its requests.
 */
export const CRASHES_TO_CONDEMN = 3;

/** Crashes after which a request with the suspect is not repeated. */
export const CRASHES_TO_SUSPECT = 2;

/** In an outage, few crashes follow each other this often before an answer. */
export const CRASHES_DESPITE_PROOF = 5;

/**
 * Share of all crashes during its own that a suspect must have. A deadly
 * suspect is the cause of almost all crashes, while in an outage any one
 * conversation is on few of the replicas.
 */
const MIN_SHARE = 0.5;

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

/** What the crashes of suspects are judged by. */
export interface Observations {
  readonly records: CrashRecords;
  readonly proofs: SuspectProofs;
}

/**
 * The crashes that count against a suspect, if they reach the number needed.
 */
export function findCrashes(
  observations: Observations,
  suspect: string,
  needed: number,
): readonly Milliseconds[] | undefined {
  const { records, proofs } = observations;
  if (records.count(suspect) < needed) return undefined;
  const counted = countedRecords(observations, suspect);
  if (counted.length < needed) return undefined;
  const crashes = listCrashes(suspect, counted);
  if (crashes.length < needed) return undefined;
  const last = crashes.at(-1) ?? -Infinity;
  const isProven = last - proofs.lastProof(suspect) < PROOF_VALIDITY;
  if (isProven && crashes.length < CRASHES_DESPITE_PROOF) return undefined;
  const start = crashes.at(-needed) ?? last;
  if (!isCommon(observations, suspect, { counted, start })) return undefined;
  if (isExplained(observations, suspect, counted, crashes.length, needed)) {
    return undefined;
  }
  return crashes;
}

/** Records with a suspect that are neither void nor before its last proof. */
export function countedRecords(
  observations: Observations,
  suspect: string,
): readonly CrashRecord[] {
  const { records, proofs } = observations;
  if (records.count(suspect) === 0) return [];
  const proof = proofs.lastProof(suspect);
  return records.list().filter(({ at, suspects, voidedAt }) =>
    voidedAt === undefined && at > proof && suspects.has(suspect)
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

/**
 * Returns true when each of the records has another suspect that is more likely
 * the cause.
 */
export function isExplained(
  observations: Observations,
  suspect: string,
  counted: readonly CrashRecord[],
  crashes: number,
  needed: number,
): boolean {
  const { records, proofs } = observations;
  const proof = proofs.lastProof(suspect);
  const known = new Map<string, boolean>();
  const explains = (other: string): boolean => {
    const cached = known.get(other);
    if (cached !== undefined) return cached;
    const otherProof = proofs.lastProof(other);
    const isCandidate = otherProof <= proof && records.count(other) >= needed;
    const otherCrashes = isCandidate
      ? listCrashes(other, countedRecords(observations, other)).length
      : 0;
    // A part with the same crashes may be sound in other requests.
    const isNarrower = isRequest(other) && !isRequest(suspect);
    const hasMore = isNarrower
      ? otherCrashes >= crashes
      : otherCrashes > crashes;
    const result = other !== suspect && otherCrashes >= needed &&
      (otherProof < proof || hasMore);
    known.set(other, result);
    return result;
  };
  return counted.every(({ suspects }) => [...suspects].some(explains));
}

/**
 * Returns true when the records are at least the stated share of all records
 * of the suspect's group in their time.
 */
function isCommon(
  { records }: Observations,
  suspect: string,
  { counted, start }: {
    readonly counted: readonly CrashRecord[];
    readonly start: Milliseconds;
  },
): boolean {
  const group = groupOf(suspect);
  const end = counted.at(-1)?.at ?? start;
  const isWithin = ({ at, voidedAt, groups }: CrashRecord) =>
    voidedAt === undefined && at >= start && at <= end && groups.has(group);
  return counted.filter(isWithin).length >=
    records.list().filter(isWithin).length * MIN_SHARE;
}

/**
 * Suspects of several records first, then those proven sound least recently.
 */
export function rankSuspects(
  observations: Observations,
  suspects: Iterable<string>,
): string[] {
  const { proofs } = observations;
  const ranked = [...suspects].map((suspect) => ({
    suspect,
    count: countedRecords(observations, suspect).length,
    proof: proofs.lastProof(suspect),
  }));
  ranked.sort((a, b) =>
    b.count - a.count || compare(a.proof, b.proof) ||
    compare(a.suspect, b.suspect)
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
