/**
 * Follows a table of the store: first a snapshot, then changes, and a new
 * snapshot whenever the store no longer has the history. A daemon that does not
 * read the table itself takes the rows from the peers that do. While the store
 * is unavailable, the newest known rows stay in use.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import { eraOf, type FeedRow, type TableFeed } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import {
  createFollowedRows,
  type TablePosition,
  type TableUpdate,
} from "./followed_rows.ts";

export interface FollowerOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly feed: TableFeed;
  readonly table: string;
  /** Time for which the store may wait for a change before it responds. */
  readonly wait: Milliseconds;
  /** Pause between two calls. */
  readonly pause: Milliseconds;
  /**
   * Whether this daemon reads the table from the store now, given the time
   * since the newest read that it knows of. By default it always does.
   */
  readonly mayRead?: (age: Milliseconds) => boolean;
  /** See `FollowedRowsOptions`; by default each new version matters. */
  readonly fingerprintOf?: (row: FeedRow) => string;
  readonly progressOf?: (row: FeedRow) => readonly number[] | undefined;
  readonly keepsMissing?: boolean;
  readonly isHeld?: (key: string) => boolean;
  /** Called with all rows of a snapshot. */
  readonly onSnapshot: (rows: readonly FeedRow[]) => void;
  readonly onChange: (
    changed: readonly FeedRow[],
    removed: readonly string[],
  ) => void;
  /**
   * Called with all rows of a page of changes that this daemon has read, whether
   * they matter or not. They were written after a time on the monotonic clock.
   */
  readonly onRead?: (
    rows: readonly FeedRow[],
    writtenAfter: Milliseconds,
  ) => void;
  /** Called when the table is known as of now. */
  readonly onContact?: () => void;
  /** Called before the rows of a peer are handed on. */
  readonly onAdopt?: () => void;
}

export abstract class TableFollower {
  abstract run(signal: AbortSignal): Promise<void>;
  /** Version up to which the table is known; 0 before the first snapshot. */
  abstract version(): number;
  /** Version of the newest row change that matters. */
  abstract contentVersion(): number;
  /**
   * Returns true when rows are to be taken from peers, because this daemon does
   * not read the table or its own reads fail.
   */
  abstract needsPeers(): boolean;
  /**
   * Reads the table from the store once, whoever reads it for the neighbors,
   * because their rows cannot be had.
   */
  abstract requestRead(): void;
  /** Returns true while this daemon reads the table from the store. */
  abstract isReading(): boolean;
  abstract rows(): readonly FeedRow[];
  /** See `FollowedRows.forget`. */
  abstract forget(key: string): void;
  abstract changesSince(position: TablePosition): TableUpdate;
  /** Takes rows from a peer; returns true if they were newer. */
  abstract adopt(update: TableUpdate): boolean;
  /** See `FollowedRows.keptFingerprint`. */
  abstract keptFingerprint(): string | undefined;
  /** See `FollowedRows.adoptKept`. */
  abstract adoptKept(
    update: TableUpdate,
  ): { readonly hasChanged: boolean; readonly isComplete: boolean };
  /** Records that a peer has read the table `age` ago. */
  abstract recordPeerRead(age: Milliseconds): void;
  /** Time of the newest read, by this daemon or a peer. */
  abstract lastContact(): Milliseconds;
  /** Time of the newest read by this daemon. */
  abstract lastOwnRead(): Milliseconds;
  /**
   * Time up to which the known rows are those of the store: a read, whose rows
   * are known here, began later. What the process stood still for after that is
   * no part of it.
   */
  abstract knownUntil(): Milliseconds;
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

/** Interval at which a daemon checks whether it has to read. */
const DUTY_CHECK_PERIOD: Milliseconds = 150;

/** A read of a peer older than this is no contact. */
const MAX_CONTACT_AGE: Milliseconds = 1_500;

export function createTableFollower(options: FollowerOptions): TableFollower {
  const { clock, logger, feed, table, wait, pause } = options;
  const mayRead = options.mayRead ?? (() => true);
  const known = createFollowedRows({
    fingerprintOf: ({ version }) => String(version),
    ...options,
  });
  let needsSnapshot = true;
  let isReading = false;
  let isReadRequested = false;
  let lastContact = -Infinity;
  let lastOwnRead = -Infinity;
  /** Start of the newest read of this daemon that was answered. */
  let lastReadStart = -Infinity;
  /** Time after which the newest read of a peer began. */
  let peerReadStart = -Infinity;
  let lostSince: Milliseconds | undefined;
  let timeout = INITIAL_TIMEOUT;

  function recordContact(): void {
    lastContact = clock.monotonic();
    lastOwnRead = lastContact;
    if (lostSince !== undefined) {
      logger.log("table_regained", { table, elapsed: lastContact - lostSince });
    }
    lostSince = undefined;
    options.onContact?.();
  }

  function logReturn(version: number): void {
    const era = eraOf(known.version());
    if (known.version() === 0 || eraOf(version) <= era) return;
    logger.log("store_returned", { table, era: eraOf(version) });
  }

  function recordLoss(reason: string): void {
    if (lostSince !== undefined) return;
    lostSince = clock.monotonic();
    logger.log("table_lost", { table, reason });
  }

  async function readSnapshot(): Promise<boolean> {
    const start = clock.monotonic();
    const read = await feed.snapshot(table, timeout);
    if (read.isErr()) {
      timeout = Math.min(RESPONSE_TIMEOUT, timeout * 2);
      recordLoss(read.error.reason);
      return false;
    }
    timeout = RESPONSE_TIMEOUT;
    const { rows, version } = read.value;
    logReturn(version);
    const isTaken = known.replaceAll(rows, version);
    // Newer rows of a peer may have come during the read.
    if (!isTaken && needsSnapshot) {
      recordLoss("the snapshot is older than the known rows");
      return false;
    }
    recordContact();
    lastReadStart = start;
    needsSnapshot = false;
    if (isTaken) options.onSnapshot(known.list());
    return true;
  }

  async function readChanges(): Promise<boolean> {
    const query = { table, after: known.version(), wait };
    const start = clock.monotonic();
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
    const { changed, removed } = known.applyChanges(read.value);
    // What the read before did not have was written after it began.
    options.onRead?.(read.value.rows, lastReadStart);
    lastReadStart = start;
    if (changed.length + removed.length > 0) options.onChange(changed, removed);
    return true;
  }

  return new (class extends TableFollower {
    override async run(signal: AbortSignal): Promise<void> {
      let backoff = INITIAL_BACKOFF;
      while (!signal.aborted) {
        const isDue = mayRead(clock.monotonic() - lastContact);
        isReading = isDue || isReadRequested;
        if (!isReading) {
          lostSince = undefined;
          await clock.sleep(DUTY_CHECK_PERIOD, signal);
          continue;
        }
        const isRead = needsSnapshot
          ? await readSnapshot()
          : await readChanges();
        if (isRead) {
          isReadRequested = needsSnapshot && isReadRequested;
          backoff = INITIAL_BACKOFF;
          if (!needsSnapshot && pause > 0) await clock.sleep(pause, signal);
          continue;
        }
        await clock.sleep(backoff * (0.5 + Math.random()), signal);
        backoff = Math.min(MAX_BACKOFF, backoff * 2);
      }
    }

    override version(): number {
      return known.version();
    }

    override contentVersion(): number {
      return known.contentVersion();
    }

    override needsPeers(): boolean {
      if (!isReading || lostSince !== undefined) return true;
      // The reads of peers say nothing of this daemon's own.
      const allowed = wait + pause + STALE_AFTER;
      return clock.monotonic() - lastOwnRead > allowed;
    }

    override requestRead(): void {
      isReadRequested = true;
    }

    override isReading(): boolean {
      return isReading;
    }

    override rows(): readonly FeedRow[] {
      return known.list();
    }

    override forget(key: string): void {
      known.forget(key);
    }

    override changesSince(position: TablePosition): TableUpdate {
      // The peer takes kept rows only if this daemon has read as far as it has.
      const isBehind = position.version > known.version();
      if (isBehind && known.keptFingerprint() !== undefined) {
        isReadRequested = true;
      }
      return known.changesSince(position);
    }

    override adopt(update: TableUpdate): boolean {
      logReturn(update.version);
      const change = known.adopt(update);
      if (change === undefined) return false;
      needsSnapshot = false;
      options.onAdopt?.();
      if (update.isWhole) options.onSnapshot(known.list());
      else if (change.changed.length + change.removed.length > 0) {
        options.onChange(change.changed, change.removed);
      }
      return true;
    }

    override keptFingerprint(): string | undefined {
      return known.keptFingerprint();
    }

    override adoptKept(update: TableUpdate) {
      const { changed, isComplete } = known.adoptKept(update);
      const hasChanged = changed.length > 0;
      if (hasChanged) options.onChange(changed, []);
      return { hasChanged, isComplete };
    }

    override recordPeerRead(age: Milliseconds): void {
      const at = clock.monotonic() - age;
      // The age counts from the answer.
      const start = at - wait - RESPONSE_TIMEOUT;
      peerReadStart = Math.max(peerReadStart, start);
      if (at <= lastContact) return;
      lastContact = at;
      if (age <= MAX_CONTACT_AGE) options.onContact?.();
    }

    override lastContact(): Milliseconds {
      return lastContact;
    }

    override lastOwnRead(): Milliseconds {
      return lastOwnRead;
    }

    override knownUntil(): Milliseconds {
      return Math.max(lastReadStart, peerReadStart);
    }
  })();
}
