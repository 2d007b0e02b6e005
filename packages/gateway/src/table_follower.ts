/**
 * Follows a table of the store: first a snapshot, then changes, and a new
 * snapshot whenever the store no longer has the history. While the store is
 * unavailable, the newest known rows stay in use, and rows can be adopted from
 * peers.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { FeedRow, TableFeed } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";

export interface FollowerOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly feed: TableFeed;
  readonly table: string;
  /** Time for which the store may wait for a change before it responds. */
  readonly wait: Milliseconds;
  /** Pause between two calls. */
  readonly pause: Milliseconds;
  /** Called with all rows of a snapshot. */
  readonly onSnapshot: (rows: readonly FeedRow[]) => void;
  readonly onChange: (
    changed: readonly FeedRow[],
    removed: readonly string[],
  ) => void;
  readonly onContact?: () => void;
}

export abstract class TableFollower {
  abstract run(signal: AbortSignal): Promise<void>;
  /** Version up to which the table is known; 0 before the first snapshot. */
  abstract version(): number;
  /** Version of the newest row change. */
  abstract contentVersion(): number;
  /**
   * Returns true when the store has not responded within the usual time of a
   * call.
   */
  abstract isStale(): boolean;
  abstract rows(): readonly FeedRow[];
  /** Replaces the rows by a peer's when those are newer; returns true if so. */
  abstract adoptNewer(rows: readonly FeedRow[], version: number): boolean;
  abstract lastContact(): Milliseconds;
}

/** Timeout of a call, in addition to the requested wait. */
const RESPONSE_TIMEOUT: Milliseconds = 1_200;

/**
 * Timeout of the first call, which doubles with each failure up to
 * `RESPONSE_TIMEOUT`. A daemon that starts while the store is silent would
 * otherwise still wait for a dead call when the store returns.
 */
const INITIAL_TIMEOUT: Milliseconds = 300;

/** Silence beyond the usual time of a call after which the rows are stale. */
const STALE_AFTER: Milliseconds = 700;

/** Delay after the first failed call; it doubles up to `MAX_BACKOFF`. */
const INITIAL_BACKOFF: Milliseconds = 100;
const MAX_BACKOFF: Milliseconds = 500;

export function createTableFollower(options: FollowerOptions): TableFollower {
  const { clock, logger, feed, table, wait, pause } = options;
  const known = new Map<string, FeedRow>();
  let version = 0;
  let content = 0;
  let needsSnapshot = true;
  let lastContact = -Infinity;
  let lostSince: Milliseconds | undefined;
  let timeout = INITIAL_TIMEOUT;

  function recordContact(): void {
    lastContact = clock.monotonic();
    if (lostSince !== undefined) {
      logger.log("table_regained", { table, elapsed: lastContact - lostSince });
    }
    lostSince = undefined;
    options.onContact?.();
  }

  function recordLoss(reason: string): void {
    if (lostSince !== undefined) return;
    lostSince = clock.monotonic();
    logger.log("table_lost", { table, reason });
  }

  function raiseContentVersion(rows: readonly FeedRow[]): void {
    for (const row of rows) content = Math.max(content, row.version);
  }

  function takeSnapshot(rows: readonly FeedRow[], newest: number): void {
    if (newest < version) return;
    known.clear();
    for (const row of rows) known.set(row.key, row);
    version = newest;
    raiseContentVersion(rows);
    options.onSnapshot(rows);
  }

  async function readSnapshot(): Promise<boolean> {
    const read = await feed.snapshot(table, timeout);
    if (read.isErr()) {
      timeout = Math.min(RESPONSE_TIMEOUT, timeout * 2);
      recordLoss(read.error.reason);
      return false;
    }
    timeout = RESPONSE_TIMEOUT;
    recordContact();
    needsSnapshot = false;
    takeSnapshot(read.value.rows, read.value.version);
    return true;
  }

  async function readChanges(): Promise<boolean> {
    const after = version;
    const query = { table, after, wait };
    const read = await feed.changes(query, wait + RESPONSE_TIMEOUT);
    if (read.isErr()) {
      if (read.error.kind === "history lost") {
        needsSnapshot = true;
        return true;
      }
      recordLoss(read.error.reason);
      return false;
    }
    recordContact();
    const { rows, removed, version: newest } = read.value;
    // A peer's newer rows were adopted during the call.
    if (newest < version) return true;
    for (const row of rows) known.set(row.key, row);
    for (const key of removed) known.delete(key);
    version = newest;
    raiseContentVersion(rows);
    if (rows.length + removed.length > 0) options.onChange(rows, removed);
    return true;
  }

  return new (class extends TableFollower {
    override async run(signal: AbortSignal): Promise<void> {
      let backoff = INITIAL_BACKOFF;
      while (!signal.aborted) {
        const isRead = needsSnapshot
          ? await readSnapshot()
          : await readChanges();
        if (isRead) {
          backoff = INITIAL_BACKOFF;
          if (!needsSnapshot && pause > 0) await clock.sleep(pause, signal);
          continue;
        }
        await clock.sleep(backoff * (0.5 + Math.random()), signal);
        backoff = Math.min(MAX_BACKOFF, backoff * 2);
      }
    }

    override version(): number {
      return version;
    }

    override contentVersion(): number {
      return content;
    }

    override isStale(): boolean {
      const allowed = wait + pause + STALE_AFTER;
      return clock.monotonic() - lastContact > allowed;
    }

    override rows(): readonly FeedRow[] {
      return [...known.values()];
    }

    override adoptNewer(rows: readonly FeedRow[], newest: number): boolean {
      if (newest <= version) return false;
      takeSnapshot(rows, newest);
      return true;
    }

    override lastContact(): Milliseconds {
      return lastContact;
    }
  })();
}
