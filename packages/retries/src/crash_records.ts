/**
 * Keeps the records of crashes: which replica ended when, and under which
 * suspects. Joins the losses of one crash, voids records of replicas that were
 * alive afterwards, and bounds the number of records and of their suspects.
 * Counts the records by suspect, so that suspects without crashes cost nothing.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { groupOf } from "./suspects.ts";

/**
 * Age after which a crash does not count. Callers repeat a request, or come back
 * to a part, after minutes.
 */
export const RECORD_EXPIRY: Milliseconds = 15 * 60_000;

/**
 * Age after which a record is no longer told and keeps only the suspects that
 * were not answered since. Answers are compared with crashes of this time.
 */
export const DETAIL_EXPIRY: Milliseconds = 30_000;

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
 * `MAX_SUSPECTS` suspects of one crash may keep different ones, and would
 * otherwise tell each other about them until the record expires.
 */
const MAX_RETOLD_CHANGES = 8;

/** A longer age of an answer is told again only when it differs by this. */
const AGE_STEP: Milliseconds = 100;

const MAX_RECORDS = 32;
const MAX_SUSPECTS = 128;

/**
 * Longer keys are ignored, which bounds the memory and the news. Admits ids of
 * 128 characters with the scope of their evidence.
 */
export const MAX_SUSPECT_LENGTH = 140;

/** News are counted separately for neighbors and for other zones. */
export type Audience = "neighbors" | "zones";

export interface CrashRecord {
  readonly replica: string;
  at: Milliseconds;
  /** Time of the first report here; it is told `TELL_DELAY` later. */
  readonly notedAt: Milliseconds;
  readonly suspects: Set<string>;
  /**
   * Suspects on which answers of the replica had begun, with the time since the
   * first of these begins. Left out are answers that had just begun.
   */
  readonly begun: Map<string, Milliseconds>;
  /** Groups of all suspects that the record ever had. */
  readonly groups: Set<string>;
  /** True once it is `DETAIL_EXPIRY` old and has lost its details. */
  isTrimmed: boolean;
  isFromPeer: boolean;
  /** Time of data from the same incarnation, which voids the record. */
  voidedAt?: Milliseconds;
  /** Number of times that the rounds were started again. */
  changes: number;
  readonly roundsLeft: Record<Audience, number>;
  /** Number of rounds in which each suspect was told. */
  readonly told: Record<Audience, Map<string, number>>;
}

/** Suspects of the requests that a crash ended. */
export interface RecordedSuspects {
  readonly suspects: readonly string[];
  /** Suspects of requests whose answers had begun, and the time since then. */
  readonly begun?: readonly (readonly [string, Milliseconds])[];
}

/** What the addition of suspects to a record led to. */
export interface RecordChange {
  readonly record: CrashRecord;
  readonly isNew: boolean;
  readonly isChanged: boolean;
}

export abstract class CrashRecords {
  /** Ordered by time; void ones are kept until their reports stop. */
  abstract list(): readonly CrashRecord[];
  /** Suspects with at least a number of records, each once. */
  abstract listSuspects(least: number): Iterable<string>;
  /** Number of records with a suspect, also of those before its last proof. */
  abstract count(suspect: string): number;
  /**
   * Adds suspects to the record of a crash. Returns the record and whether that
   * changed anything.
   */
  abstract add(
    replica: string,
    at: Milliseconds,
    suspects: RecordedSuspects,
  ): RecordChange;
  /**
   * The record of an incarnation's crash since a time at which the replica
   * began an answer.
   */
  abstract find(replica: string, since: Milliseconds): CrashRecord | undefined;
  /**
   * Voids the record of a replica that sends data soon after its loss. Returns
   * true when there was one.
   */
  abstract voidByData(replica: string): boolean;
  /**
   * Drops old records, and from the others the suspects that were answered
   * since. Returns true when anything changed.
   */
  abstract dropExpired(): boolean;
}

/** Orders suspects for a record with too many: the first ones are kept. */
export type SuspectRanking = (
  record: Pick<CrashRecord, "suspects" | "begun">,
) => readonly string[];

export interface CrashRecordsOptions {
  readonly clock: Clock;
  readonly rankSuspects: SuspectRanking;
  /** Time of the last answer on a suspect. */
  readonly lastProof: (suspect: string) => Milliseconds;
}

export function createCrashRecords(
  { clock, rankSuspects, lastProof }: CrashRecordsOptions,
): CrashRecords {
  let records: CrashRecord[] = [];
  /** Number of records by suspect; undefined after records were dropped. */
  let recordCounts: Map<string, number> | undefined;

  /**
   * The record of the same crash: the closest one, as times differ by delays.
   */
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
   * counts at most once against a suspect.
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

  function trimSuspects(record: CrashRecord): void {
    if (record.suspects.size <= MAX_SUSPECTS) return;
    for (const suspect of rankSuspects(record).slice(MAX_SUSPECTS)) {
      changeSuspects(record, suspect, -1);
      record.begun.delete(suspect);
    }
  }

  function dropOutdated(record: CrashRecord): void {
    record.isTrimmed = true;
    for (const rounds of Object.values(record.told)) rounds.clear();
    for (const suspect of record.suspects) {
      const counts = record.voidedAt === undefined &&
        lastProof(suspect) < record.at;
      if (counts) continue;
      record.suspects.delete(suspect);
      record.begun.delete(suspect);
    }
  }

  /** Returns true when the age of an answer is news for the record. */
  function recordAge(
    { begun }: CrashRecord,
    [suspect, age]: readonly [string, Milliseconds],
  ): boolean {
    if (!isUsable(suspect)) return false;
    const known = begun.get(suspect);
    if (age <= (known ?? -Infinity)) return false;
    begun.set(suspect, age);
    return known === undefined || age - known > AGE_STEP;
  }

  function countRecords(): ReadonlyMap<string, number> {
    if (recordCounts !== undefined) return recordCounts;
    recordCounts = new Map();
    for (const { suspects, voidedAt } of records) {
      if (voidedAt !== undefined) continue;
      for (const one of suspects) {
        recordCounts.set(one, (recordCounts.get(one) ?? 0) + 1);
      }
    }
    return recordCounts;
  }

  /** Adds a suspect to a record or removes it, and counts it. */
  function changeSuspects(
    { suspects, voidedAt }: CrashRecord,
    suspect: string,
    change: 1 | -1,
  ): void {
    if (change > 0 === suspects.has(suspect)) return;
    if (change > 0) suspects.add(suspect);
    else suspects.delete(suspect);
    if (recordCounts === undefined || voidedAt !== undefined) return;
    recordCounts.set(suspect, (recordCounts.get(suspect) ?? 0) + change);
  }

  return new (class extends CrashRecords {
    override list(): readonly CrashRecord[] {
      return records;
    }

    override *listSuspects(least: number): Iterable<string> {
      for (const [suspect, count] of countRecords()) {
        if (count >= least) yield suspect;
      }
    }

    override count(suspect: string): number {
      return countRecords().get(suspect) ?? 0;
    }

    override add(
      replica: string,
      at: Milliseconds,
      { suspects, begun = [] }: RecordedSuspects,
    ): RecordChange {
      const known = findRecord(replica, at);
      const record = known ?? {
        replica,
        at,
        notedAt: clock.monotonic(),
        suspects: new Set<string>(),
        begun: new Map<string, Milliseconds>(),
        groups: new Set<string>(),
        isTrimmed: false,
        isFromPeer: false,
        changes: 0,
        roundsLeft: { neighbors: TOLD_ROUNDS, zones: TOLD_ROUNDS },
        told: { neighbors: new Map(), zones: new Map() },
      };
      if (known === undefined) records.push(record);
      record.at = Math.min(record.at, at);
      const isOlder = begun.filter((one) => recordAge(record, one)).length > 0;
      const added = [...suspects, ...begun.map(([suspect]) => suspect)]
        .filter((suspect) =>
          isUsable(suspect) && !record.suspects.has(suspect)
        );
      for (const suspect of added) {
        changeSuspects(record, suspect, 1);
        record.groups.add(groupOf(suspect));
      }
      trimSuspects(record);
      const isChanged = known === undefined || isOlder ||
        added.some((suspect) => record.suspects.has(suspect));
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

    override find(
      replica: string,
      since: Milliseconds,
    ): CrashRecord | undefined {
      return records.find((record) =>
        record.replica === replica && record.voidedAt === undefined &&
        record.at > since - LATE_DATA
      );
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
      const isDue = ({ at, isTrimmed }: CrashRecord) =>
        now - at >= (isTrimmed ? RECORD_EXPIRY : DETAIL_EXPIRY);
      const due = records.filter(isDue);
      if (due.length === 0) return false;
      for (const record of due) dropOutdated(record);
      // A record without suspects still counts among the crashes of its time.
      records = records.filter(({ at, voidedAt }) =>
        now - at < (voidedAt === undefined ? RECORD_EXPIRY : DETAIL_EXPIRY)
      );
      recordCounts = undefined;
      return true;
    }
  })();
}

/** Returns true when the key of a suspect is short enough to be recorded. */
export function isUsable(suspect: string): boolean {
  return suspect.length <= MAX_SUSPECT_LENGTH;
}
