/**
 * Follows a table of the store: a snapshot first, then changes, and a snapshot
 * again whenever the store no longer has the history. While the store is away
 * the newest known rows stay in use, and peers can lend theirs.
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
  /** Time for which the store waits for a change. */
  readonly wait: Milliseconds;
  /** Pause between two calls. */
  readonly pause: Milliseconds;
  /** Takes over all rows. */
  readonly onSnapshot: (rows: readonly FeedRow[]) => void;
  readonly onChange: (
    changed: readonly FeedRow[],
    removed: readonly string[],
  ) => void;
  readonly onContact?: () => void;
}

export abstract class Follower {
  abstract run(signal: AbortSignal): Promise<void>;
  /** The version up to which the table is known; 0 when it is not. */
  abstract version(): number;
  /** The version of the newest change of the table itself. */
  abstract contentVersion(): number;
  /** True when the store has not answered for longer than usual. */
  abstract isStale(): boolean;
  abstract rows(): readonly FeedRow[];
  /** Takes over a peer's rows if they are newer. */
  abstract lend(rows: readonly FeedRow[], version: number): boolean;
  abstract lastContact(): Milliseconds;
}

/** Time for an answer beyond the wait that was asked for. */
const CALL_TIMEOUT: Milliseconds = 1_200;

/**
 * Time for the first reading, which doubles with each failure: the calls of a
 * daemon that starts while the store is silent would be missed by its return.
 */
const FIRST_TIMEOUT: Milliseconds = 300;

/** Silence of the store beyond a usual call after which rows are stale. */
const STALE_AFTER: Milliseconds = 700;

/** First pause after a failed call; it doubles up to the longest. */
const FIRST_BACKOFF: Milliseconds = 100;
const LONGEST_BACKOFF: Milliseconds = 500;

export function createFollower(options: FollowerOptions): Follower {
  const { clock, logger, feed, table, wait, pause } = options;
  const known = new Map<string, FeedRow>();
  let version = 0;
  let content = 0;
  let needsSnapshot = true;
  let contact = -Infinity;
  let lostSince: Milliseconds | undefined;
  let timeout = FIRST_TIMEOUT;

  function noteContact(): void {
    contact = clock.monotonic();
    if (lostSince !== undefined) {
      logger.log("table_regained", { table, elapsed: contact - lostSince });
    }
    lostSince = undefined;
    options.onContact?.();
  }

  function noteLoss(reason: string): void {
    if (lostSince !== undefined) return;
    lostSince = clock.monotonic();
    logger.log("table_lost", { table, reason });
  }

  function raiseContent(rows: readonly FeedRow[]): void {
    for (const row of rows) content = Math.max(content, row.version);
  }

  function takeSnapshot(rows: readonly FeedRow[], newest: number): void {
    if (newest < version) return;
    known.clear();
    for (const row of rows) known.set(row.key, row);
    version = newest;
    raiseContent(rows);
    options.onSnapshot(rows);
  }

  async function readSnapshot(): Promise<boolean> {
    const read = await feed.snapshot(table, timeout);
    if (read.isErr()) {
      timeout = Math.min(CALL_TIMEOUT, timeout * 2);
      noteLoss(read.error.reason);
      return false;
    }
    timeout = CALL_TIMEOUT;
    noteContact();
    needsSnapshot = false;
    takeSnapshot(read.value.rows, read.value.version);
    return true;
  }

  async function readChanges(): Promise<boolean> {
    const after = version;
    const query = { table, after, wait };
    const read = await feed.changes(query, wait + CALL_TIMEOUT);
    if (read.isErr()) {
      if (read.error.kind === "history lost") {
        needsSnapshot = true;
        return true;
      }
      noteLoss(read.error.reason);
      return false;
    }
    noteContact();
    const { rows, removed, version: newest } = read.value;
    // A peer's newer rows were taken over during the call.
    if (newest < version) return true;
    for (const row of rows) known.set(row.key, row);
    for (const key of removed) known.delete(key);
    version = newest;
    raiseContent(rows);
    if (rows.length + removed.length > 0) options.onChange(rows, removed);
    return true;
  }

  return new (class extends Follower {
    override async run(signal: AbortSignal): Promise<void> {
      let backoff = FIRST_BACKOFF;
      while (!signal.aborted) {
        const isRead = needsSnapshot
          ? await readSnapshot()
          : await readChanges();
        if (isRead) {
          backoff = FIRST_BACKOFF;
          if (!needsSnapshot && pause > 0) await clock.sleep(pause, signal);
          continue;
        }
        await clock.sleep(backoff * (0.5 + Math.random()), signal);
        backoff = Math.min(LONGEST_BACKOFF, backoff * 2);
      }
    }

    override version(): number {
      return version;
    }

    override contentVersion(): number {
      return content;
    }

    override isStale(): boolean {
      const usual = wait + pause + STALE_AFTER;
      return clock.monotonic() - contact > usual;
    }

    override rows(): readonly FeedRow[] {
      return [...known.values()];
    }

    override lend(rows: readonly FeedRow[], newest: number): boolean {
      if (newest <= version) return false;
      takeSnapshot(rows, newest);
      return true;
    }

    override lastContact(): Milliseconds {
      return contact;
    }
  })();
}
