/**
 * What replicas say of themselves in their answers. Each statement is kept with
 * its age and the incarnation of its replica, and the newest one counts, whether
 * this daemon or a peer heard it. A statement ends when an answer no longer has
 * it, or when no daemon has heard it for `STATEMENT_EXPIRY`; one of a lasting
 * kind ends with the incarnation only.
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
   * replica in `STATEMENT_EXPIRY`.
   */
  abstract reject(replica: Incarnation, reason: string): void;
  /** Returns the statement in force; undefined when there is none. */
  abstract find(
    replica: Incarnation,
    kind: StatementKind,
  ): HeardStatement | undefined;
  /**
   * Takes news for the peers of at most `limit` bytes of JSON; undefined when
   * there are none.
   */
  abstract compose(limit: Bytes): StatementNews | undefined;
  /** Merges the news of a peer; returns false when they are malformed. */
  abstract apply(news: StatementNews): boolean;
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
}

/** Time without a further answer after which a statement no longer holds. */
export const STATEMENT_EXPIRY: Milliseconds = 10_000;

/** More replicas than a fleet has; the oldest statements are dropped. */
const MAX_REPLICAS = 2_000;

/** Times that a change is told to the peers, as datagrams can be lost. */
const CHANGE_ROUNDS = 3;

/** Interval at which peers learn that a statement still holds. */
const RENEWAL_PERIOD: Milliseconds = 2_000;

interface StatementRecord {
  /** Undefined when the replica no longer says so. */
  readonly value: number | undefined;
  readonly heardAt: Milliseconds;
  readonly since: Milliseconds;
  /** False when only peers have heard it. */
  readonly isOwn: boolean;
  /** Times that peers are still to be told of the last change. */
  readonly roundsLeft: number;
  readonly toldAt: Milliseconds;
}

export function createStatements(options: StatementsOptions): Statements {
  const { clock, onChange = () => {}, onRejected = () => {} } = options;
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
    const known = recordsOf(kind).get(key);
    if (known === undefined || LASTING_KINDS.has(kind)) return known;
    const age = clock.monotonic() - known.heardAt;
    return age < STATEMENT_EXPIRY ? known : undefined;
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
    const wasInForce = known?.value !== undefined;
    setBounded(recordsOf(kind), key, {
      value,
      heardAt,
      since: wasInForce ? known.since : clock.monotonic(),
      isOwn,
      roundsLeft: isChanged ? CHANGE_ROUNDS : known?.roundsLeft ?? 0,
      toldAt: known?.toldAt ?? -Infinity,
    });
  }

  function isDue({ value, heardAt, ...record }: StatementRecord): boolean {
    if (!record.isOwn) return false;
    if (record.roundsLeft > 0) return true;
    if (value === undefined || heardAt <= record.toldAt) return false;
    return clock.monotonic() - record.toldAt >= RENEWAL_PERIOD;
  }

  function dropExpired(): void {
    for (const [kind, known] of records) {
      for (const key of [...known.keys()]) {
        if (findAt(kind, key) === undefined) known.delete(key);
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
        const mayEnd = known !== undefined && !LASTING_KINDS.has(kind);
        if (value === undefined && !mayEnd) continue;
        merge(kind, key, { value, heardAt, isOwn: true });
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
      if (clock.monotonic() - last < STATEMENT_EXPIRY) return;
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

    override compose(limit: Bytes): StatementNews | undefined {
      dropExpired();
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

    override apply(news: StatementNews): boolean {
      const decoded = decodeNews(news, clock.monotonic());
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
