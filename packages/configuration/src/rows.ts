/**
 * Rows and objects that store the configuration on the platform. The head row
 * holds the current change; each version has a history row, and each change id
 * has a row with the version that it created.
 */
import type { Json, Row, RowKey } from "@peridotvalve/tables";
import type { Timestamp } from "@peridotvalve/types";
import { z } from "zod";

/** One accepted change. */
export interface Change {
  readonly version: number;
  /** Id of the change, chosen by the caller. */
  readonly change: string;
  /** Name of the object that stores the content. */
  readonly object: string;
  /** Wall-clock time of the process that applied the change. */
  readonly at: Timestamp;
  readonly author: string;
}

export const CONFIG_TABLE = "config";
export const HEAD_KEY: RowKey = { table: CONFIG_TABLE, key: "head" };
export const HISTORY_PREFIX = "history/";

// Padded to twelve digits, so that the keys sort by version.
const VERSION_DIGITS = 12;

export function historyKey(version: number): RowKey {
  const digits = String(version).padStart(VERSION_DIGITS, "0");
  return { table: CONFIG_TABLE, key: `${HISTORY_PREFIX}${digits}` };
}

export function changeKey(change: string): RowKey {
  return { table: CONFIG_TABLE, key: `change/${change}` };
}

export function contentObjectName(change: string): string {
  return `config/${change}`;
}

/** Reason for which nothing is concluded from a head that cannot be parsed. */
export const MALFORMED_HEAD = "the head is not a change";

const CHANGE = z.object({
  version: z.number().int().positive(),
  change: z.string(),
  object: z.string(),
  at: z.number(),
  author: z.string(),
});

/** Parses a row; undefined when it is absent or not a change. */
export function parseChange(row: Row | undefined): Change | undefined {
  return CHANGE.safeParse(row?.value).data;
}

export function toRowValue(change: Change): Json {
  return { ...change };
}
