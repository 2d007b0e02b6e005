/**
 * Tells a suspect that crashes replicas from an outage, in which replicas end
 * under whatever they run. In an outage, answers on all suspects end with their
 * replicas, whenever these began. While a part crashes replicas some time after
 * its answers begin, all crashes come in the short time of such answers, and
 * answers without it live longer than that, on the same replicas and on others.
 */
import type { Milliseconds } from "@peridotvalve/types";
import {
  BEGUN_CRASHES_TO_CONDEMN,
  type CountedCrashes,
  type Observations,
} from "./crash_attribution.ts";
import type { CrashRecord } from "./crash_records.ts";
import type { OutlivedAnswer } from "./outlived_answers.ts";
import { groupOf } from "./suspects.ts";
import { COMPLETE_SETTLING_TIME } from "./unsettled_answers.ts";

/** Parts of one request have begun at the same time, but for this. */
const SAME_BEGIN: Milliseconds = 10;

/**
 * Crashes on a replica in the time in which one answer on the suspect lives, if
 * all crashes had come there by chance: up to so many, five in a row are none.
 */
const MAX_CHANCE = 0.2;

/** Time by which other answers must live longer than those on the suspect. */
const LONGER_LIFE: Milliseconds = 50;

/** Replicas on which others must live longer; one can do so by chance. */
const MIN_REPLICAS = 2;

/** The same for a suspect that was sound before. */
const MIN_REPLICAS_DESPITE_PROOF = 3;

/**
 * Returns true when the crashes that count against a suspect can be those of an
 * outage.
 */
export function canBeOutage(
  observations: Observations,
  suspect: string,
  { times, records, needsBegun }: CountedCrashes,
): boolean {
  const { proofs, outlived } = observations;
  const isProven = proofs.lastProof(suspect) > -Infinity;
  if (isProven && !proofs.hasAnswerBetween(suspect, times)) return true;
  if (!needsBegun) return false;
  const start = times.at(-BEGUN_CRASHES_TO_CONDEMN) ?? times[0] ?? Infinity;
  const end = times.at(-1) ?? start;
  const crashes = observations.records.list().filter(
    ({ at, voidedAt, groups }) =>
      voidedAt === undefined && at >= start && at <= end &&
      groups.has(groupOf(suspect)),
  );
  const others = [
    ...crashes.flatMap((crash) => listEnded(suspect, crash)),
    ...outlived.listOthers(suspect, { start, end })
      .filter((answer) => !isSameRequest(suspect, answer, crashes)),
  ];
  // With no others, there is nothing to compare with.
  if (others.length === 0) return false;
  const longest = Math.max(
    ...records.filter(({ at }) => at >= start)
      .map(({ begun }) => begun.get(suspect) ?? 0),
  );
  if (longest * crashes.length <= MAX_CHANCE * (end - start)) return false;
  // Replicas live long enough that complete answers prove others sound.
  if (longest >= COMPLETE_SETTLING_TIME) return false;
  const replicas = new Set(
    others.filter(({ life }) => life > longest + LONGER_LIFE)
      .map(({ replica }) => replica),
  );
  const needed = isProven ? MIN_REPLICAS_DESPITE_PROOF : MIN_REPLICAS;
  return replicas.size < needed;
}

/**
 * Answers that a crash ended and that were certainly without the suspect: they
 * began before any on it.
 */
function listEnded(
  suspect: string,
  { replica, at, suspects, begun }: CrashRecord,
): readonly OutlivedAnswer[] {
  const lifeOf = (one: string) => begun.get(one) ?? 0;
  const isApart = (other: string) =>
    !suspects.has(suspect) || lifeOf(other) > lifeOf(suspect) + SAME_BEGIN;
  return [...suspects]
    .filter((other) => groupOf(other) === groupOf(suspect) && isApart(other))
    .map((other) => {
      const life = lifeOf(other);
      return { replica, beganAt: at - life, life };
    });
}

/** Returns true if an answer began with the first on the suspect. */
function isSameRequest(
  suspect: string,
  { replica, beganAt }: OutlivedAnswer,
  crashes: readonly CrashRecord[],
): boolean {
  return crashes.some((crash) => {
    const begin = crash.at - (crash.begun.get(suspect) ?? 0);
    return crash.replica === replica && Math.abs(begin - beganAt) <= SAME_BEGIN;
  });
}
