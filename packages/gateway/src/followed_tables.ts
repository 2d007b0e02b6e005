/**
 * The three tables that a daemon follows: the operator's, the replicas' and the
 * daemons' own. One of the neighbors reads each of them for the others.
 */
import type { Clock } from "@peridotvalve/clock";
import type { ColdReplicas } from "@peridotvalve/backpressure";
import type { ReplicaEntry, ReplicaTable } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import { createReadingDuty } from "@peridotvalve/membership";
import type { FeedRow, TableFeed } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import type { GatewaySettings, TableCodec } from "./options.ts";
import type { Registration } from "./registration.ts";
import { createTableFollower, type TableFollower } from "./table_follower.ts";

export interface FollowedTables {
  readonly operator: TableFollower;
  readonly replicas: TableFollower;
  readonly daemons: TableFollower;
  /** All of them, by the name of the table. */
  readonly byName: ReadonlyMap<string, TableFollower>;
}

export interface FollowedTablesOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly feed: TableFeed;
  readonly codec: TableCodec;
  readonly settings: Pick<
    GatewaySettings,
    "configurationLimit" | "drainLimit" | "evacuationLimit"
  >;
  readonly replicas: ReplicaTable;
  readonly coldReplicas: Pick<ColdReplicas, "isAwaited" | "recordEntry">;
  readonly registration: Registration;
  /** Place of this daemon among its neighbors for a duty; 0 goes first. */
  readonly rank: (duty: string) => number;
  /** Called for each changed row; `isOld` is true in the first snapshot. */
  readonly onOperatorRow: (row: FeedRow, isOld: boolean) => void;
  /**
   * Called when the operator's table has been read, and before `onOperatorRow`
   * when rows have come or gone.
   */
  readonly onOperatorRows: () => void;
  /** Called when the replicas are known for the first time. */
  readonly onReplicasKnown: () => void;
  readonly onDaemonsRead: () => void;
}

/** Table in which each daemon has a row with its addresses. */
export const DAEMON_TABLE = "daemons";

/**
 * Shares of the limits on the spread of operator rows and on leaving replicas after
 * which a read is repeated. The rest is for the next reader to take over and to
 * tell its neighbors.
 */
const STATE_WAIT_SHARE = 0.4;
const REPLICAS_PAUSE_SHARE = 0.36;
const DAEMONS_LONG_POLL_WAIT: Milliseconds = 10_000;

/** Collects the rows that daemons write at a common start. */
const DAEMONS_PAUSE: Milliseconds = 300;

/** Neighbors that read the same table. */
const TABLE_READERS = 1;

/** Silence beyond the period of a reader after which the next one reads. */
const READER_SILENCE: Milliseconds = 500;

export function createFollowedTables(
  options: FollowedTablesOptions,
): FollowedTables {
  const { clock, logger, feed, codec, settings, registration } = options;
  let hasOperatorSnapshot = false;

  /**
   * Decides whether this daemon reads a table itself, given the time since the
   * newest read of a neighbor.
   */
  function createReaderCheck(table: string, period: Milliseconds) {
    const duty = createReadingDuty({
      readers: TABLE_READERS,
      silenceLimit: period + READER_SILENCE,
    });
    let wasReader = true;
    return (age: Milliseconds): boolean => {
      const isReader = duty.isDue(options.rank(`table ${table}`), age);
      if (isReader !== wasReader) {
        wasReader = isReader;
        logger.log("reader_changed", { table, isReader, age });
      }
      return isReader;
    };
  }

  const { configurationLimit, evacuationLimit } = settings;
  const stateWait = Math.min(configurationLimit, evacuationLimit) *
    STATE_WAIT_SHARE;
  const operator = createTableFollower({
    ...{ clock, logger, feed },
    table: codec.operatorTable,
    progressOf: (row) => codec.readProgress(codec.operatorTable, row),
    keepsMissing: true,
    isHeld: (key) => codec.readEvacuation(key) !== undefined,
    wait: stateWait,
    pause: 0,
    mayRead: createReaderCheck(codec.operatorTable, stateWait),
    onContact: options.onOperatorRows,
    onSnapshot(rows) {
      options.onOperatorRows();
      for (const row of rows) options.onOperatorRow(row, !hasOperatorSnapshot);
      hasOperatorSnapshot = true;
    },
    onChange(rows) {
      options.onOperatorRows();
      for (const row of rows) options.onOperatorRow(row, false);
    },
  });

  const replicasPause = settings.drainLimit * REPLICAS_PAUSE_SHARE;
  const replicas = createTableFollower({
    ...{ clock, logger, feed },
    table: codec.replicaTable,
    progressOf: (row) => codec.readProgress(codec.replicaTable, row),
    wait: 0,
    // Entries change with every heartbeat, so a long poll would not wait.
    pause: replicasPause,
    mayRead: createReaderCheck(codec.replicaTable, replicasPause),
    fingerprintOf: fingerprintEntry,
    onRead: reportAwaited,
    onContact: () => options.replicas.recordListRead(),
    onAdopt: () => options.replicas.recordListTaken(),
    onSnapshot(rows) {
      options.onReplicasKnown();
      options.replicas.replaceAll(rows.flatMap(decodeEntry));
    },
    onChange(rows, removed) {
      for (const key of removed) options.replicas.remove(key);
      for (const row of rows) {
        const [entry] = decodeEntry(row);
        if (entry === undefined) options.replicas.remove(row.key);
        else options.replicas.put(entry);
      }
    },
  });

  const daemons = createTableFollower({
    ...{ clock, logger, feed },
    table: DAEMON_TABLE,
    keepsMissing: true,
    wait: DAEMONS_LONG_POLL_WAIT,
    pause: DAEMONS_PAUSE,
    mayRead: createReaderCheck(DAEMON_TABLE, DAEMONS_LONG_POLL_WAIT),
    onSnapshot(rows) {
      registration.replaceAll(rows);
      options.onDaemonsRead();
    },
    onChange: (rows, removed) => registration.applyChanges(rows, removed),
  });

  /** Reports what the entries of suspected replicas say since. */
  function reportAwaited(
    rows: readonly FeedRow[],
    writtenAfter: Milliseconds,
  ): void {
    for (const row of rows) {
      const known = options.replicas.find(row.key)?.entry;
      if (known === undefined || !options.coldReplicas.isAwaited(known)) {
        continue;
      }
      const entry = readEntry(row);
      if (entry.isErr() || entry.value.born !== known.born) continue;
      options.coldReplicas.recordEntry(entry.value, writtenAfter);
    }
  }

  /** Each row is looked at for its fingerprint, and used when that is new. */
  const readEntries = new WeakMap<
    FeedRow,
    ReturnType<TableCodec["readEntry"]>
  >();

  function readEntry(row: FeedRow): ReturnType<TableCodec["readEntry"]> {
    const known = readEntries.get(row);
    if (known !== undefined) return known;
    const entry = codec.readEntry(row.key, row.value);
    readEntries.set(row, entry);
    return entry;
  }

  /**
   * Text that differs when more than the heartbeat of an entry does. The time
   * for which a replica stays cold passes by itself.
   */
  function fingerprintEntry(row: FeedRow): string {
    const entry = readEntry(row);
    if (entry.isErr()) return "malformed";
    const weights = [...entry.value.weights];
    const { coldRemaining } = entry.value;
    const cold = coldRemaining === undefined ? "" : coldRemaining > 0;
    return JSON.stringify({ ...entry.value, weights, coldRemaining: cold });
  }

  function decodeEntry(row: FeedRow): readonly ReplicaEntry[] {
    const entry = readEntry(row);
    if (entry.isOk()) {
      options.coldReplicas.recordEntry(entry.value);
      return [entry.value];
    }
    logger.log("entry_rejected", { key: row.key, reason: entry.error });
    return [];
  }

  return {
    ...{ operator, replicas, daemons },
    byName: new Map([
      [codec.operatorTable, operator],
      [codec.replicaTable, replicas],
      [DAEMON_TABLE, daemons],
    ]),
  };
}
