/**
 * The rows of a followed table as this daemon knows them, and the changes that a
 * peer with older rows needs. The version of a row decides: an older row never
 * replaces a newer one, whoever sent it.
 *
 * A store that has returned from a copy holds older rows under newer versions
 * until their writers have written them again. Between rows of different eras
 * the progress that their writers state in them decides, so that nothing known
 * here falls back meanwhile.
 */
import { eraOf, type FeedRow } from "@peridotvalve/tables";
import { createHash } from "node:crypto";

/** Rows for a peer: a whole table, or the changes after a content version. */
export interface TableUpdate {
  /** Version up to which the sender knows the table. */
  readonly version: number;
  /**
   * Version of the newest change that the sender knows; daemons of earlier
   * releases do not state it.
   */
  readonly content?: number;
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
  /**
   * Drops a row that is kept although the store lacks it, here and at the peers
   * that learn of it.
   */
  forget(key: string): void;
  /** Takes the rows of a peer; returns the changes, or undefined if none. */
  adopt(update: TableUpdate): RowChange | undefined;
  /**
   * Fingerprint of the rows that are kept although the returned store lacks them
   * or has older ones, until they are written again; undefined when there are
   * none.
   */
  keptFingerprint(): string | undefined;
  /** Takes the rows that a peer keeps, from its whole table. */
  adoptKept(update: TableUpdate): KeptAdoption;
  changesSince(position: TablePosition): TableUpdate;
}

export interface KeptAdoption {
  readonly changed: readonly FeedRow[];
  /**
   * False when the peer may not know of removals that came before the rows known
   * here, so that some of its rows were left out.
   */
  readonly isComplete: boolean;
}

/** How far a daemon knows a table. */
export interface TablePosition {
  /** See `FollowedRows.contentVersion`. */
  readonly content: number;
  /** See `FollowedRows.version`. */
  readonly version: number;
}

export interface FollowedRowsOptions {
  /**
   * Returns a text that changes only when a change of the row matters, so that
   * heartbeats in rows do not spread.
   */
  readonly fingerprintOf: (row: FeedRow) => string;
  /** By default no row states any progress. */
  readonly progressOf?: (row: FeedRow) => Progress;
  /**
   * True when rows that a returned store lacks stay known until it drops them
   * itself, because their writers write them again.
   */
  readonly keepsMissing?: boolean;
  /**
   * True for rows that the returned store lacks and that only a removal or
   * `forget` drops, whatever is read later.
   */
  readonly isHeld?: (key: string) => boolean;
}

/** What the writer of a row states; see `TableCodec.readProgress`. */
type Progress = readonly number[] | undefined;

interface Removal {
  /** Version at which the row was removed. */
  readonly at: number;
  readonly progress: Progress;
}

interface KnownRow {
  readonly row: FeedRow;
  readonly fingerprint: string;
  /** Version at which the fingerprint last changed. */
  readonly changedAt: number;
}

/** Removed keys that are remembered for peers with older rows. */
const MAX_REMOVALS = 1_000;

/** Characters of the fingerprint of kept rows, 6 bits each. */
const FINGERPRINT_LENGTH = 12;

export function createFollowedRows(
  {
    fingerprintOf,
    progressOf = () => undefined,
    keepsMissing = false,
    isHeld = () => false,
  }: FollowedRowsOptions,
): FollowedRows {
  const known = new Map<string, KnownRow>();
  /** Removed rows and the versions at which they were, oldest first. */
  const removals = new Map<string, Removal>();
  /**
   * Removals up to this version may be missing here: they were forgotten, or
   * came before a whole table was taken, which does not list them.
   */
  let forgottenUpTo = 0;
  let version = 0;
  let content = 0;

  function mayReplace(row: FeedRow): boolean {
    const previous = known.get(row.key)?.row;
    if (previous !== undefined) {
      const isSameEra = eraOf(row.version) === eraOf(previous.version);
      const progress = isSameEra
        ? 0
        : compareProgress(progressOf(row), progressOf(previous)) ?? 0;
      return progress === 0 ? row.version > previous.version : progress > 0;
    }
    const removal = removals.get(row.key);
    if (removal === undefined) return true;
    if (row.version < removal.at) return false;
    if (eraOf(row.version) === eraOf(removal.at)) return true;
    // A copy may hold a row that was removed since.
    return (compareProgress(progressOf(row), removal.progress) ?? 1) > 0;
  }

  /** Returns true when the change matters. */
  function put(row: FeedRow): boolean {
    if (!mayReplace(row)) return false;
    const previous = known.get(row.key);
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
    const newest = previous?.row.version ?? removals.get(key)?.at ?? 0;
    if (newest > at) return false;
    known.delete(key);
    removals.delete(key);
    const progress = previous === undefined
      ? undefined
      : progressOf(previous.row);
    // Peers may know a row that came and went between two reads of this daemon.
    removals.set(key, { at, progress });
    content = Math.max(content, at);
    while (removals.size > MAX_REMOVALS) {
      const [oldest] = removals;
      if (oldest === undefined) break;
      removals.delete(oldest[0]);
      forgottenUpTo = Math.max(forgottenUpTo, oldest[1].at);
    }
    return previous !== undefined;
  }

  /** Rows that are to be removed, as a whole table at `newest` lacks them. */
  function listMissing(
    rows: readonly FeedRow[],
    newest: number,
  ): readonly string[] {
    if (keepsMissing && eraOf(newest) !== eraOf(version)) return [];
    const present = new Set(rows.map(({ key }) => key));
    return [...known].filter(([key, { row }]) =>
      !present.has(key) && !(isHeld(key) && eraOf(row.version) < eraOf(newest))
    ).map(([key]) => key);
  }

  /** Tells peers what stays known although the returned store lacks it. */
  function announceKept(rows: readonly FeedRow[], newest: number): void {
    const versions = new Map(rows.map((row) => [row.key, row.version]));
    for (const [key, kept] of known) {
      if (kept.row.version === versions.get(key)) continue;
      known.set(key, { ...kept, changedAt: newest });
      content = Math.max(content, newest);
    }
  }

  /**
   * True for a row of an earlier era that is known only from before the return.
   * Rows without progress that are not held are written again by their writers.
   */
  function isKept(row: FeedRow): boolean {
    return keepsMissing && eraOf(row.version) < eraOf(version) &&
      (progressOf(row) !== undefined || isHeld(row.key));
  }

  return {
    version: () => version,
    contentVersion: () => content,
    list: () => [...known.values()].map(({ row }) => row),
    replaceAll(rows, newest) {
      if (newest < version) return false;
      const isReturn = version > 0 && eraOf(newest) !== eraOf(version);
      for (const key of listMissing(rows, newest)) remove(key, newest);
      for (const row of rows) put(row);
      if (isReturn) announceKept(rows, newest);
      version = newest;
      forgottenUpTo = newest;
      return true;
    },
    applyChanges({ rows, removed, version: newest }) {
      const changed = rows.filter(put);
      const gone = removed.filter((key) => remove(key, newest));
      version = Math.max(version, newest);
      return { changed, removed: gone };
    },
    forget(key) {
      remove(key, version);
    },
    adopt(update) {
      if (update.isWhole && update.version <= version) return undefined;
      const absent = update.isWhole
        ? listMissing(update.rows, update.version)
          .map((key) => [key, update.version] as const)
        : update.removed;
      const changed = update.rows.filter(put);
      const removed = absent.filter(([key, at]) => remove(key, at))
        .map(([key]) => key);
      version = Math.max(version, update.version);
      // A row that differs only in its heartbeat raises nothing by itself, and
      // would be fetched again with each message of the sender.
      content = Math.max(content, update.content ?? 0);
      if (update.isWhole) forgottenUpTo = update.version;
      return { changed, removed };
    },
    keptFingerprint() {
      const kept = [...known.values()].filter(({ row }) => isKept(row))
        .map(({ row }) => [row.key, progressOf(row) ?? null]);
      if (kept.length === 0) return undefined;
      const text = JSON.stringify(kept.sort());
      return createHash("sha256").update(text).digest("base64url")
        .slice(0, FINGERPRINT_LENGTH);
    },
    adoptKept(update) {
      const isSameEra = eraOf(update.version) === eraOf(version);
      if (!isSameEra) return { changed: [], isComplete: false };
      const kept = update.rows.filter(isKept);
      // This daemon knows of no removal from before its whole table.
      const isCurrent = update.version >= forgottenUpTo;
      const usable = kept.filter(({ key }) => isCurrent || known.has(key));
      const isComplete = usable.length === kept.length;
      return { changed: usable.filter(put), isComplete };
    },
    changesSince({ content: since, version: peerVersion }) {
      const isWhole = since === 0 || peerVersion < forgottenUpTo;
      const rows = [...known.values()].filter(({ changedAt }) =>
        isWhole || changedAt > since
      );
      return {
        version,
        content,
        isWhole,
        rows: rows.map(({ row }) => row),
        removed: isWhole ? [] : [...removals].filter(([, { at }]) => at > since)
          .map(([key, { at }]) => [key, at] as const),
      };
    },
  };
}

/**
 * Compares what the writers of two rows state; undefined when one of them states
 * nothing.
 */
function compareProgress(left: Progress, right: Progress): number | undefined {
  if (left === undefined || right === undefined) return undefined;
  const differing = left.findIndex((part, index) => part !== right[index]);
  return differing < 0 ? 0 : (left[differing] ?? 0) - (right[differing] ?? 0);
}
