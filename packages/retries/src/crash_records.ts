/**
 * Keeps the records of crashes: which replica ended when, and under which
 * parts. Joins the losses of one crash, voids records of replicas that were
 * alive afterwards, and bounds the number of records and of their parts. Counts
 * the records by part, so that parts without crashes cost nothing.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

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

/** With half of the datagrams lost, 1 of 64 peers misses all rounds. */
const TOLD_ROUNDS = 6;

/**
 * Changes after which a record is told again. Daemons that know more than
 * `MAX_PARTS` parts of one crash may keep different ones, and would otherwise
 * tell each other about them until the record expires.
 */
const MAX_RETOLD_CHANGES = 8;

const MAX_RECORDS = 32;
const MAX_PARTS = 128;

/**
 * Longer keys are ignored, which bounds the memory and the news. Admits ids of
 * 128 characters with the scope of their evidence.
 */
export const MAX_PART_LENGTH = 140;

/** News are counted separately for neighbors and for other zones. */
export type Audience = "neighbors" | "zones";

export interface CrashRecord {
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

/** What the addition of parts to a record led to. */
export interface RecordChange {
  readonly record: CrashRecord;
  readonly isNew: boolean;
  readonly isChanged: boolean;
}

export abstract class CrashRecords {
  /** Ordered by time; void ones are kept until their reports stop. */
  abstract list(): readonly CrashRecord[];
  /** Parts of all records, with repetitions. */
  abstract listParts(): Iterable<string>;
  /** Number of records with a part, also of those before its last proof. */
  abstract count(part: string): number;
  /**
   * Adds parts to the record of a crash. Returns the record and whether that
   * changed anything.
   */
  abstract add(
    replica: string,
    at: Milliseconds,
    parts: readonly string[],
  ): RecordChange;
  /**
   * Voids the record of a replica that sends data soon after its loss. Returns
   * true when there was one.
   */
  abstract voidByData(replica: string): boolean;
  /** Drops old records. Returns true when there were any. */
  abstract dropExpired(): boolean;
}

/** Orders parts for a record with too many: the first ones are kept. */
export type PartRanking = (parts: Iterable<string>) => readonly string[];

export function createCrashRecords(
  clock: Clock,
  rankParts: PartRanking,
): CrashRecords {
  let records: CrashRecord[] = [];
  /** Number of records by part; undefined after records were dropped. */
  let recordCounts: Map<string, number> | undefined;

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

  return new (class extends CrashRecords {
    override list(): readonly CrashRecord[] {
      return records;
    }

    override *listParts(): Iterable<string> {
      for (const { parts } of records) yield* parts;
    }

    override count(part: string): number {
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

    override add(
      replica: string,
      at: Milliseconds,
      parts: readonly string[],
    ): RecordChange {
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

    override voidByData(replica: string): boolean {
      const now = clock.monotonic();
      const newest = records.at(-1);
      if (newest === undefined || now - newest.at > RESET_NOTICE) return false;
      let isAnyVoided = false;
      for (const record of records) {
        if (record.replica !== replica || record.voidedAt !== undefined) {
          continue;
        }
        const age = now - record.at;
        if (age <= LATE_DATA || age > RESET_NOTICE) continue;
        record.voidedAt = now;
        recordCounts = undefined;
        isAnyVoided = true;
      }
      return isAnyVoided;
    }

    override dropExpired(): boolean {
      const now = clock.monotonic();
      if (!records.some(({ at }) => now - at >= RECORD_EXPIRY)) return false;
      records = records.filter(({ at }) => now - at < RECORD_EXPIRY);
      recordCounts = undefined;
      return true;
    }
  })();
}

/** Returns true when the key of a part is short enough to be recorded. */
export function isUsable(part: string): boolean {
  return part.length <= MAX_PART_LENGTH;
}
