/**
 * The three tables that a daemon follows: the operator's, the replicas' and the
 * daemons' own. One of the neighbors reads each of them for the others.
 */
import type { Clock } from "@peridotvalve/clock";
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
  readonly settings: Pick<GatewaySettings, "configurationLimit" | "drainLimit">;
  readonly replicas: ReplicaTable;
  readonly registration: Registration;
  /** Place of this daemon among its neighbors for a duty; 0 goes first. */
  readonly rank: (duty: string) => number;
  /** Called for each changed row; `isOld` is true in the first snapshot. */
  readonly onOperatorRow: (row: FeedRow, isOld: boolean) => void;
  /** Called when the replicas are known for the first time. */
  readonly onReplicasKnown: () => void;
  readonly onDaemonsRead: () => void;
}

/** Table in which each daemon has a row with its addresses. */
export const DAEMON_TABLE = "daemons";

/**
 * Shares of the limits on the spread of a state and on leaving replicas after
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

  const stateWait = settings.configurationLimit * STATE_WAIT_SHARE;
  const operator = createTableFollower({
    ...{ clock, logger, feed },
    table: codec.operatorTable,
    progressOf: (row) => codec.readProgress(codec.operatorTable, row),
    keepsMissing: true,
    wait: stateWait,
    pause: 0,
    mayRead: createReaderCheck(codec.operatorTable, stateWait),
    onSnapshot(rows) {
      for (const row of rows) options.onOperatorRow(row, !hasOperatorSnapshot);
      hasOperatorSnapshot = true;
    },
    onChange(rows) {
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
    onContact: () => options.replicas.recordListRead(),
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

  /** Text that differs when more than the heartbeat of an entry does. */
  function fingerprintEntry(row: FeedRow): string {
    const entry = readEntry(row);
    if (entry.isErr()) return "malformed";
    const weights = [...entry.value.weights];
    return JSON.stringify({ ...entry.value, weights });
  }

  function decodeEntry(row: FeedRow): readonly ReplicaEntry[] {
    const entry = readEntry(row);
    if (entry.isOk()) return [entry.value];
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
