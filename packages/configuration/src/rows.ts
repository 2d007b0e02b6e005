/**
 * Rows and objects that hold the configuration at the platform. The head names
 * the version in force; each version has a history row, and each change id has
 * a row with the version that it made.
 */
import type { Json, Row, RowKey } from "@peridotvalve/tables";
import type { Timestamp } from "@peridotvalve/types";
import { z } from "zod";

/** One accepted change. */
export interface Change {
  readonly version: number;
  /** Id of the change. */
  readonly change: string;
  /** Name of the object that holds the content. */
  readonly object: string;
  /** Wall-clock time at the process that applied it. */
  readonly at: Timestamp;
  readonly author: string;
}

export const CONFIG_TABLE = "config";
export const HEAD: RowKey = { table: CONFIG_TABLE, key: "head" };
export const HISTORY_PREFIX = "history/";

// Twelve digits keep the keys in the order of the versions.
const VERSION_DIGITS = 12;

export function historyRow(version: number): RowKey {
  const digits = String(version).padStart(VERSION_DIGITS, "0");
  return { table: CONFIG_TABLE, key: `${HISTORY_PREFIX}${digits}` };
}

export function changeRow(change: string): RowKey {
  return { table: CONFIG_TABLE, key: `change/${change}` };
}

export function objectName(change: string): string {
  return `config/${change}`;
}

const CHANGE = z.object({
  version: z.number().int().positive(),
  change: z.string(),
  object: z.string(),
  at: z.number(),
  author: z.string(),
});

/** The change that a row holds; undefined when it holds something else. */
export function parseChange(row: Row | undefined): Change | undefined {
  return CHANGE.safeParse(row?.value).data;
}

export function changeValue(change: Change): Json {
  return { ...change };
}
