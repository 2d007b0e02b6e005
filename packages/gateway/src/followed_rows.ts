/**
 * The rows of a followed table as this daemon knows them, and the changes that a
 * peer with older rows needs. The version of a row decides: an older row never
 * replaces a newer one, whoever sent it.
 */
import type { FeedRow } from "@peridotvalve/tables";

/** Rows for a peer: a whole table, or the changes after a content version. */
export interface TableUpdate {
  /** Version up to which the sender knows the table. */
  readonly version: number;
  readonly isWhole: boolean;
  readonly rows: readonly FeedRow[];
  readonly removed: readonly (readonly [key: string, version: number])[];
}

export interface RowChange {
  readonly changed: readonly FeedRow[];
  readonly removed: readonly string[];
}

export interface FollowedRows {
  /** Version up to which the table is known; 0 before the first rows. */
  version(): number;
  /** Version of the newest change that matters. */
  contentVersion(): number;
  list(): readonly FeedRow[];
  /** Takes a snapshot; returns false when newer rows are known. */
  replaceAll(rows: readonly FeedRow[], version: number): boolean;
  /** Takes changes of the store; returns those that matter. */
  applyChanges(changes: {
    readonly rows: readonly FeedRow[];
    readonly removed: readonly string[];
    readonly version: number;
  }): RowChange;
  /** Takes the rows of a peer; returns the changes, or undefined if none. */
  adopt(update: TableUpdate): RowChange | undefined;
  changesSince(contentVersion: number): TableUpdate;
}

interface KnownRow {
  readonly row: FeedRow;
  readonly fingerprint: string;
  /** Version at which the fingerprint last changed. */
  readonly changedAt: number;
}

/** Removed keys that are remembered for peers with older rows. */
const MAX_REMOVALS = 1_000;

/**
 * @param fingerprintOf Returns a text that changes only when a change of the
 * row matters, so that heartbeats in rows do not spread.
 */
export function createFollowedRows(
  fingerprintOf: (row: FeedRow) => string,
): FollowedRows {
  const known = new Map<string, KnownRow>();
  /** Versions at which keys were removed, oldest first. */
  const removals = new Map<string, number>();
  /** Removals up to this version have been forgotten. */
  let forgottenUpTo = 0;
  let version = 0;
  let content = 0;

  /** Returns true when the change matters. */
  function put(row: FeedRow): boolean {
    const previous = known.get(row.key);
    if (previous !== undefined && previous.row.version >= row.version) {
      return false;
    }
    if ((removals.get(row.key) ?? 0) > row.version) return false;
    removals.delete(row.key);
    const fingerprint = fingerprintOf(row);
    const isSame = previous?.fingerprint === fingerprint;
    const changedAt = isSame ? previous.changedAt : row.version;
    known.set(row.key, { row, fingerprint, changedAt });
    if (!isSame) content = Math.max(content, row.version);
    return !isSame;
  }

  /** Returns true when the key was present. */
  function remove(key: string, at: number): boolean {
    const previous = known.get(key);
    if (previous === undefined || previous.row.version > at) return false;
    known.delete(key);
    removals.delete(key);
    removals.set(key, at);
    content = Math.max(content, at);
    while (removals.size > MAX_REMOVALS) {
      const [oldest] = removals;
      if (oldest === undefined) break;
      removals.delete(oldest[0]);
      forgottenUpTo = Math.max(forgottenUpTo, oldest[1]);
    }
    return true;
  }

  return {
    version: () => version,
    contentVersion: () => content,
    list: () => [...known.values()].map(({ row }) => row),
    replaceAll(rows, newest) {
      if (newest < version) return false;
      const present = new Set(rows.map(({ key }) => key));
      for (const key of [...known.keys()]) {
        if (!present.has(key)) remove(key, newest);
      }
      for (const row of rows) put(row);
      version = newest;
      return true;
    },
    applyChanges({ rows, removed, version: newest }) {
      const changed = rows.filter(put);
      const gone = removed.filter((key) => remove(key, newest));
      version = Math.max(version, newest);
      return { changed, removed: gone };
    },
    adopt(update) {
      if (update.isWhole && update.version <= version) return undefined;
      const present = new Set(update.rows.map(({ key }) => key));
      const absent = update.isWhole
        ? [...known.keys()].filter((key) => !present.has(key))
          .map((key) => [key, update.version] as const)
        : update.removed;
      const changed = update.rows.filter(put);
      const removed = absent.filter(([key, at]) => remove(key, at))
        .map(([key]) => key);
      version = Math.max(version, update.version);
      return { changed, removed };
    },
    changesSince(since) {
      const isWhole = since === 0 || since < forgottenUpTo;
      const rows = [...known.values()].filter(({ changedAt }) =>
        isWhole || changedAt > since
      );
      return {
        version,
        isWhole,
        rows: rows.map(({ row }) => row),
        removed: isWhole
          ? []
          : [...removals].filter(([, removedAt]) => removedAt > since),
      };
    },
  };
}
