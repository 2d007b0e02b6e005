/**
 * Change feed of a table: a snapshot of its rows, then pages of the changes
 * after a version.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Json, Unavailable } from "./platform.ts";

/** A row of the feed. Its value is `undefined` when it is not JSON. */
export interface FeedRow {
  readonly key: string;
  readonly value: Json | undefined;
  readonly version: number;
}

export interface Snapshot {
  readonly rows: readonly FeedRow[];
  /** Version of the table that the rows reflect. */
  readonly version: number;
}

export interface Changes extends Snapshot {
  readonly removed: readonly string[];
}

/** The store no longer has the changes after the requested version. */
export interface HistoryLost {
  readonly kind: "history lost";
}

export interface ChangeQuery {
  readonly table: string;
  readonly after: number;
  /** Long poll: time for which the store waits for a change. */
  readonly wait: Milliseconds;
}

export abstract class TableFeed {
  abstract snapshot(
    table: string,
    timeout: Milliseconds,
  ): Promise<Result<Snapshot, Unavailable>>;

  abstract changes(
    query: ChangeQuery,
    timeout: Milliseconds,
  ): Promise<Result<Changes, Unavailable | HistoryLost>>;
}
