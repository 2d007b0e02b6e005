/**
 * Keeps for how long replicas outlived the begins of answers: until now, or, once
 * one has closed a connection, until its last data on any request.
 *
 * Of the answers of a replica, one is kept in each `SAMPLE_INTERVAL`, for
 * `DETAIL_EXPIRY`; of all, at most `MAX_SAMPLES` with `MAX_SAMPLED_SUSPECTS`, the
 * newest.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { DETAIL_EXPIRY } from "./crash_records.ts";
import { groupOf } from "./suspects.ts";

const SAMPLE_INTERVAL: Milliseconds = 100;

export const MAX_SAMPLES = 2_048;

export const MAX_SAMPLED_SUSPECTS = 32_768;

/** Times on the monotonic clock, with both ends. */
export interface TimeRange {
  readonly start: Milliseconds;
  readonly end: Milliseconds;
}

/** An answer and how its replica outlived it. */
export interface OutlivedAnswer {
  /** Key of the replica's incarnation. */
  readonly replica: string;
  readonly beganAt: Milliseconds;
  /** Time from the begin for which the replica certainly lived. */
  readonly life: Milliseconds;
}

/** An answer by its begin. */
interface Sample {
  readonly at: Milliseconds;
  readonly suspects: readonly string[];
  readonly replica: SampledReplica;
}

interface SampledReplica {
  readonly key: string;
  sampleCount: number;
  lastSampleAt: Milliseconds;
  /** Time of the last data. */
  aliveAt: Milliseconds;
  /** True from the close of a connection up to the next data. */
  isClosed: boolean;
}

export abstract class OutlivedAnswers {
  /** Records an answer on suspects that begins now. */
  abstract recordBegin(replica: string, suspects: readonly string[]): void;
  /** Records data of a replica. */
  abstract recordReceived(replica: string): void;
  /** Records that a replica closed a connection, and so may have ended. */
  abstract recordDisconnect(replica: string): void;
  /** Lists answers that began in a time on others of the suspect's group. */
  abstract listOthers(
    suspect: string,
    begins: TimeRange,
  ): readonly OutlivedAnswer[];
}

export function createOutlivedAnswers(clock: Clock): OutlivedAnswers {
  const replicas = new Map<string, SampledReplica>();
  /** In the order of their begins. */
  const samples = new Set<Sample>();
  let suspectCount = 0;

  function dropOldest(): void {
    const oldest = clock.monotonic() - DETAIL_EXPIRY;
    for (const sample of samples) {
      const isExcess = samples.size > MAX_SAMPLES ||
        suspectCount > MAX_SAMPLED_SUSPECTS;
      if (!isExcess && sample.at > oldest) return;
      samples.delete(sample);
      suspectCount -= sample.suspects.length;
      const { replica } = sample;
      replica.sampleCount -= 1;
      if (replica.sampleCount === 0) replicas.delete(replica.key);
    }
  }

  return new (class extends OutlivedAnswers {
    override recordBegin(key: string, suspects: readonly string[]): void {
      if (suspects.length === 0) return;
      const at = clock.monotonic();
      const replica = replicas.get(key) ??
        {
          ...{ key, sampleCount: 0, lastSampleAt: -Infinity },
          ...{ aliveAt: at, isClosed: false },
        };
      if (at - replica.lastSampleAt < SAMPLE_INTERVAL) return;
      replica.sampleCount += 1;
      replica.lastSampleAt = at;
      replica.aliveAt = at;
      replica.isClosed = false;
      replicas.set(key, replica);
      suspectCount += suspects.length;
      samples.add({ at, suspects, replica });
      dropOldest();
    }

    override recordReceived(key: string): void {
      const replica = replicas.get(key);
      if (replica === undefined) return;
      replica.aliveAt = clock.monotonic();
      replica.isClosed = false;
    }

    override recordDisconnect(key: string): void {
      const replica = replicas.get(key);
      if (replica !== undefined) replica.isClosed = true;
    }

    override listOthers(
      suspect: string,
      { start, end }: TimeRange,
    ): readonly OutlivedAnswer[] {
      const now = clock.monotonic();
      const group = groupOf(suspect);
      const listed: OutlivedAnswer[] = [];
      for (const { at, suspects, replica } of samples) {
        if (at < start || at > end || suspects.includes(suspect)) continue;
        if (!suspects.some((one) => groupOf(one) === group)) continue;
        const life = (replica.isClosed ? replica.aliveAt : now) - at;
        listed.push({ replica: replica.key, beganAt: at, life });
      }
      return listed;
    }
  })();
}
