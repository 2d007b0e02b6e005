/**
 * Reads the head, single versions and the history of changes.
 */
import type { Json, Platform, Unavailable } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Change,
  CONFIG_TABLE,
  HEAD,
  HISTORY_PREFIX,
  historyRow,
  parseChange,
} from "./rows.ts";

export interface ReadOptions {
  readonly platform: Platform;
  /** Time for one call of the platform. */
  readonly timeout: Milliseconds;
}

/** A version whose content has not been checked. */
export interface RawConfiguration {
  readonly version: number;
  readonly change: string;
  readonly content: Json;
}

export interface HistoryRange {
  /** Changes after this version; 0 starts at the first. */
  readonly after: number;
  readonly limit: number;
}

/** The change in force; undefined when there is none yet. */
export async function readHead(
  { platform, timeout }: ReadOptions,
): Promise<Result<Change | undefined, Unavailable>> {
  return (await platform.readRow(HEAD, timeout)).map(parseChange);
}

/** Changes in the order of their versions. */
export async function readHistory(
  { after, limit }: HistoryRange,
  { platform, timeout }: ReadOptions,
): Promise<Result<readonly Change[], Unavailable>> {
  const page = await platform.readRows({
    table: CONFIG_TABLE,
    prefix: HISTORY_PREFIX,
    after: historyRow(after).key,
    limit,
  }, timeout);
  return page.map(({ rows }) => rows.flatMap((row) => parseChange(row) ?? []));
}

/** One version with its content; undefined when there is no such version. */
export async function readVersion(
  version: number,
  options: ReadOptions,
): Promise<Result<RawConfiguration | undefined, Unavailable>> {
  const { platform, timeout } = options;
  const row = await platform.readRow(historyRow(version), timeout);
  if (row.isErr()) return row;
  const change = parseChange(row.value);
  return change === undefined
    ? Ok(undefined)
    : await readContent(change, options);
}

/** The content of a change. */
export async function readContent(
  { version, change, object }: Change,
  { platform, timeout }: ReadOptions,
): Promise<Result<RawConfiguration, Unavailable>> {
  const stored = await platform.readObject(object, timeout);
  if (stored.isErr()) return stored;
  const content = parseJson(stored.value ?? "");
  if (content === undefined) {
    const reason = `object ${object} is absent or not JSON`;
    return Err({ kind: "unavailable", reason });
  }
  return Ok({ version, change, content });
}

function parseJson(text: string): Json | undefined {
  try {
    return JSON.parse(text) as Json;
  } catch {
    return undefined;
  }
}
