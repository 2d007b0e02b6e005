/**
 * What replicas say of themselves in their answers. Each statement is kept with
 * its age and the incarnation of its replica, and the newest one counts, whether
 * this daemon or a peer heard it. A statement ends when an answer no longer has
 * it; one of a lasting kind ends with the incarnation only. That nothing is heard
 * of a replica, to which perhaps nothing was sent, ends none.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { type Incarnation, incarnationHash } from "./incarnation.ts";
import {
  LASTING_KINDS,
  type Statement,
  STATEMENT_KINDS,
  type StatementKind,
} from "./statement.ts";
import {
  decodeNews,
  encodeNews,
  type HeardValue,
  type StatementNews,
} from "./statement_news.ts";

/** A statement in force. */
export interface HeardStatement {
  readonly value: number;
  /** Time of the newest answer with the statement, on the monotonic clock. */
  readonly heardAt: Milliseconds;
  /** Time since which a statement of the kind has been in force here. */
  readonly since: Milliseconds;
}

/** The end of a statement. */
export interface StatementEnd {
  /** Time of the newest answer without the statement. */
  readonly heardAt: Milliseconds;
  /** Time since which the end is known here. */
  readonly since: Milliseconds;
}

export abstract class Statements {
  /** Records everything that one answer of the replica says of itself. */
  abstract record(replica: Incarnation, statement: Statement): void;
  /**
   * Records one value that holds since a time on the monotonic clock, whether it
   * has changed or not, and tells the peers.
   */
  abstract note(
    replica: Incarnation,
    kind: StatementKind,
    heard: { readonly value: number; readonly heardAt: Milliseconds },
  ): void;
  /**
   * Reports a statement that cannot be read to `onRejected`, at most once per
   * replica in `REJECTION_PERIOD`.
   */
  abstract reject(replica: Incarnation, reason: string): void;
  /** Returns the statement in force; undefined when there is none. */
  abstract find(
    replica: Incarnation,
    kind: StatementKind,
  ): HeardStatement | undefined;
  /**
   * Returns the end of a statement that the replica had made; undefined while it
   * is in force or was never made.
   */
  abstract findEnd(
    replica: Incarnation,
    kind: StatementKind,
  ): StatementEnd | undefined;
  /**
   * Takes news for the peers of at most `limit` bytes of JSON; undefined when
   * there are none.
   */
  abstract compose(limit: Bytes): StatementNews | undefined;
  /**
   * Merges the news of a peer, which may have waited here before they were read;
   * returns false when they are malformed.
   */
  abstract apply(news: StatementNews, waited?: Milliseconds): boolean;
}

export interface StatementsOptions {
  readonly clock: Clock;
  /**
   * Called when a statement that this daemon hears begins, changes or ends; its
   * value is undefined at the end.
   */
  readonly onChange?: (
    replica: Incarnation,
    kind: StatementKind,
    value: number | undefined,
  ) => void;
  readonly onRejected?: (replica: Incarnation, reason: string) => void;
  /**
   * The replicas of the platform's list. What others said is dropped after
   * `UNLISTED_EXPIRY`; by default it is kept.
   */
  readonly listed?: () => Iterable<Incarnation>;
}

/** Interval at which statements of one replica that cannot be read are logged. */
const REJECTION_PERIOD: Milliseconds = 10_000;

/**
 * Time for which the statements of a replica are kept that is not listed. The
 * entry of a live replica can be missing for some seconds after an outage of the
 * store.
 */
export const UNLISTED_EXPIRY: Milliseconds = 60_000;

/** More replicas than a fleet has; the oldest statements are dropped. */
const MAX_REPLICAS = 2_000;

/** Times that a change is told to the peers, as datagrams can be lost. */
const CHANGE_ROUNDS = 3;

/** Interval at which peers learn that a statement still holds, or has ended. */
const RENEWAL_PERIOD: Milliseconds = 2_000;

/**
 * Time for which an end is told again, since a peer that has missed it keeps the
 * statement until it hears the replica itself.
 */
const END_RENEWED_FOR: Milliseconds = 30_000;

interface StatementRecord {
  /** Undefined when the replica no longer says so. */
  readonly value: number | undefined;
  readonly heardAt: Milliseconds;
  /** Time since which the statement is in force, or has ended. */
  readonly since: Milliseconds;
  /** Time at which the replica was last found in the list. */
  readonly listedAt: Milliseconds;
  /** False when only peers have heard it. */
  readonly isOwn: boolean;
  /** Times that peers are still to be told of the last change. */
  readonly roundsLeft: number;
  readonly toldAt: Milliseconds;
}

export function createStatements(options: StatementsOptions): Statements {
  const { clock, onChange = () => {}, onRejected = () => {} } = options;
  const { listed } = options;
  /** Records by kind and replica key, the one heard last at the end. */
  const records = new Map(
    STATEMENT_KINDS.map((kind) => [kind, new Map<string, StatementRecord>()]),
  );
  const rejections = new Map<string, Milliseconds>();

  function recordsOf(kind: StatementKind): Map<string, StatementRecord> {
    return records.get(kind) ?? new Map();
  }

  function findAt(
    kind: StatementKind,
    key: string,
  ): StatementRecord | undefined {
    return recordsOf(kind).get(key);
  }

  /**
   * True while a replica has said what concerns its whole service. Answers of
   * other replicas then say whether it still holds.
   */
  function isOfService(kind: StatementKind): boolean {
    return kind === "brittle" && recordsOf(kind).size > 0;
  }

  /** Stores what was heard unless something newer is known. */
  function merge(
    kind: StatementKind,
    key: string,
    { value, heardAt, isOwn, isNews = false }: HeardValue & {
      readonly isOwn: boolean;
      /** True when peers are to be told of an unchanged value as well. */
      readonly isNews?: boolean;
    },
  ): void {
    const known = findAt(kind, key);
    if (known !== undefined && known.heardAt > heardAt) return;
    if (value === undefined && LASTING_KINDS.has(kind)) return;
    const isChanged = isNews || known?.value !== value;
    const isContinued = known !== undefined &&
      (known.value === undefined) === (value === undefined);
    setBounded(recordsOf(kind), key, {
      value,
      heardAt,
      since: isContinued ? known.since : clock.monotonic(),
      listedAt: known?.listedAt ?? -Infinity,
      isOwn,
      roundsLeft: isChanged ? CHANGE_ROUNDS : known?.roundsLeft ?? 0,
      toldAt: known?.toldAt ?? -Infinity,
    });
  }

  function isDue({ value, heardAt, ...record }: StatementRecord): boolean {
    if (!record.isOwn) return false;
    if (record.roundsLeft > 0) return true;
    const now = clock.monotonic();
    const isNews = value === undefined
      ? now - record.since < END_RENEWED_FOR
      : heardAt > record.toldAt;
    return isNews && now - record.toldAt >= RENEWAL_PERIOD;
  }

  /** Drops what ends with an answer, of replicas that are gone. */
  function dropUnlisted(): void {
    const passing = [...records].filter(([kind, known]) =>
      !LASTING_KINDS.has(kind) && known.size > 0
    );
    if (listed === undefined || passing.length === 0) return;
    const present = new Set([...listed()].map(incarnationHash));
    const now = clock.monotonic();
    for (const [, known] of passing) {
      const isInForce = [...known.values()].some(({ value }) =>
        value !== undefined
      );
      for (const [key, record] of [...known]) {
        if (!isInForce && !record.isOwn) {
          known.delete(key);
          continue;
        }
        const { heardAt, listedAt } = record;
        if (present.has(key)) known.set(key, { ...record, listedAt: now });
        else if (now - Math.max(heardAt, listedAt) >= UNLISTED_EXPIRY) {
          known.delete(key);
        }
      }
    }
  }

  return new (class extends Statements {
    override record(replica: Incarnation, statement: Statement): void {
      const key = incarnationHash(replica);
      const heardAt = clock.monotonic();
      for (const kind of STATEMENT_KINDS) {
        const value = statement[kind];
        const known = findAt(kind, key);
        const mayEnd = !LASTING_KINDS.has(kind) &&
          (known !== undefined || isOfService(kind));
        if (value === undefined && !mayEnd) continue;
        // Peers are told of the end of a statement, not that there was none.
        const isOwn = value !== undefined || known?.value !== undefined ||
          known?.isOwn === true;
        merge(kind, key, { value, heardAt, isOwn });
        if (value !== known?.value) onChange(replica, kind, value);
      }
    }

    override note(
      replica: Incarnation,
      kind: StatementKind,
      heard: { readonly value: number; readonly heardAt: Milliseconds },
    ): void {
      const key = incarnationHash(replica);
      merge(kind, key, { ...heard, isOwn: true, isNews: true });
    }

    override reject(replica: Incarnation, reason: string): void {
      const key = incarnationHash(replica);
      const last = rejections.get(key) ?? -Infinity;
      if (clock.monotonic() - last < REJECTION_PERIOD) return;
      setBounded(rejections, key, clock.monotonic());
      onRejected(replica, reason);
    }

    override find(
      replica: Incarnation,
      kind: StatementKind,
    ): HeardStatement | undefined {
      if (recordsOf(kind).size === 0) return undefined;
      const found = findAt(kind, incarnationHash(replica));
      if (found?.value === undefined) return undefined;
      const { value, heardAt, since } = found;
      return { value, heardAt, since };
    }

    override findEnd(
      replica: Incarnation,
      kind: StatementKind,
    ): StatementEnd | undefined {
      if (recordsOf(kind).size === 0) return undefined;
      const found = findAt(kind, incarnationHash(replica));
      if (found === undefined || found.value !== undefined) return undefined;
      const { heardAt, since } = found;
      return { heardAt, since };
    }

    override compose(limit: Bytes): StatementNews | undefined {
      dropUnlisted();
      const now = clock.monotonic();
      const due = STATEMENT_KINDS.flatMap((kind) =>
        [...recordsOf(kind)].filter(([, record]) => isDue(record))
          .map(([key, record]) => ({ kind, key, record }))
      ).sort((a, b) => a.record.toldAt - b.record.toldAt);
      const { news, told } = encodeNews(due, { now, limit });
      for (const { kind, key, record } of told) {
        const roundsLeft = Math.max(0, record.roundsLeft - 1);
        recordsOf(kind).set(key, { ...record, roundsLeft, toldAt: now });
      }
      return news;
    }

    override apply(news: StatementNews, waited: Milliseconds = 0): boolean {
      const decoded = decodeNews(news, clock.monotonic() - waited);
      if (decoded === undefined) return false;
      for (const { kind, key, ...heard } of decoded) {
        merge(kind, key, { ...heard, isOwn: false });
      }
      return true;
    }
  })();
}

/** Sets an entry and drops the oldest ones beyond `MAX_REPLICAS`. */
function setBounded<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
): void {
  map.delete(key);
  map.set(key, value);
  for (const oldest of map.keys()) {
    if (map.size <= MAX_REPLICAS) break;
    map.delete(oldest);
  }
}
