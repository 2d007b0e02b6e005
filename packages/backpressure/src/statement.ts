/**
 * The kinds of statements that a replica makes about itself.
 */
import type { RequestRate } from "@peridotvalve/types";

/** What one answer says of the replica that sent it. */
export interface Statement {
  /**
   * Requests that the replica takes from all daemons together; absent when it
   * names no limit.
   */
  readonly limit?: RequestRate;
  /**
   * Requests that the replica can turn away in a second for want of room before
   * it falls over; absent when it is not brittle.
   */
  readonly brittle?: RequestRate;
  /** Present when the replica says that it leaves. */
  readonly leaving?: 1;
  /** Seconds for which the replica stays cold; 0 when it is warm. */
  readonly cold?: number;
  /**
   * Present when the replica refused or reset connections or was silent: the
   * seconds for which it had been silent, 0 for a connection that ended.
   */
  readonly suspect?: number;
}

export type StatementKind = keyof Statement;

export const STATEMENT_KINDS: readonly StatementKind[] = [
  "limit",
  "brittle",
  "leaving",
  "cold",
  "suspect",
];

/**
 * Kinds that hold until the end of the incarnation, also when an answer of it
 * does not have them.
 */
export const LASTING_KINDS: ReadonlySet<StatementKind> = new Set([
  "leaving",
  "cold",
  "suspect",
]);
