/**
 * Interface of the platform. Commands settle as "done", "not done" or "unknown";
 * queries return a value or the reason why the platform is unavailable.
 */
import type { Milliseconds, Settlement, Timestamp } from "@peridotvalve/types";
import type { Result } from "ts-results-es";

/** A JSON value, as stored in rows and objects. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [key: string]: Json };

export interface RowKey {
  readonly table: string;
  readonly key: string;
}

export interface Row extends RowKey {
  readonly value: Json;
  /**
   * Increases with each write of the key; neither a deletion nor the return of
   * the store from a copy restarts it.
   */
  readonly version: number;
}

/** Condition that the row has this version; 0 requires it to be absent. */
export interface RowCheck extends RowKey {
  readonly version: number;
}

/** Sets a row; a null value deletes it. */
export interface RowWrite extends RowKey {
  readonly value: Json;
}

export interface Transaction {
  /** Identifies the transaction in the written rows if the response is lost. */
  readonly id: string;
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

export interface Commit {
  readonly versions: readonly RowCheck[];
}

/** Why a transaction did not take effect. */
export type Rejection =
  | { readonly kind: "conflict"; readonly rows: readonly (Row | RowCheck)[] }
  | { readonly kind: "refused"; readonly reason: string };

export interface Unavailable {
  readonly kind: "unavailable";
  readonly reason: string;
}

export interface RowPage {
  readonly rows: readonly Row[];
  /** True when more rows follow the last one. */
  readonly more: boolean;
}

export interface RowRange {
  readonly table: string;
  readonly prefix: string;
  readonly after?: string;
  readonly limit: number;
}

export interface ListedVm {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
  readonly incarnation: string;
}

export interface VmList {
  /** Time at which the list was current at the platform. */
  readonly at: Timestamp;
  readonly vms: readonly ListedVm[];
  /** Entries that were left out because they are malformed. */
  readonly malformed: number;
}

export abstract class Platform {
  abstract transact(
    transaction: Transaction,
    timeout: Milliseconds,
  ): Promise<Settlement<Commit, Rejection>>;

  abstract putObject(
    object: { readonly name: string; readonly content: string },
    timeout: Milliseconds,
  ): Promise<Settlement<void>>;

  abstract readRow(
    key: RowKey,
    timeout: Milliseconds,
  ): Promise<Result<Row | undefined, Unavailable>>;

  abstract readRows(
    range: RowRange,
    timeout: Milliseconds,
  ): Promise<Result<RowPage, Unavailable>>;

  abstract readObject(
    name: string,
    timeout: Milliseconds,
  ): Promise<Result<string | undefined, Unavailable>>;

  abstract readVms(timeout: Milliseconds): Promise<Result<VmList, Unavailable>>;
}
