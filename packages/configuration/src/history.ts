/**
 * Reads the current change, single versions and the history of changes.
 */
import type { Json, Platform, Unavailable } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Change,
  CONFIG_TABLE,
  HEAD_KEY,
  HISTORY_PREFIX,
  historyKey,
  MALFORMED_HEAD,
  parseChange,
} from "./rows.ts";

export interface ReadOptions {
  readonly platform: Platform;
  /** Timeout of each platform call. */
  readonly timeout: Milliseconds;
}

/** A version whose content has not been validated. */
export interface RawConfiguration {
  readonly version: number;
  readonly change: string;
  readonly content: Json;
}

export interface HistoryRange {
  /** Only changes after this version; 0 starts at the first one. */
  readonly after: number;
  /** Maximum number of changes. */
  readonly limit: number;
}

/**
 * Reads the current change; undefined when there is none yet. Fails on a head
 * that cannot be parsed, as it may name a change that a later release accepted.
 */
export async function readHead(
  { platform, timeout }: ReadOptions,
): Promise<Result<Change | undefined, Unavailable>> {
  const row = await platform.readRow(HEAD_KEY, timeout);
  if (row.isErr()) return row;
  const change = parseChange(row.value);
  return row.value !== undefined && change === undefined
    ? Err({ kind: "unavailable", reason: MALFORMED_HEAD })
    : Ok(change);
}

/** Reads changes in ascending order of their versions. */
export async function readHistory(
  { after, limit }: HistoryRange,
  { platform, timeout }: ReadOptions,
): Promise<Result<readonly Change[], Unavailable>> {
  const page = await platform.readRows({
    table: CONFIG_TABLE,
    prefix: HISTORY_PREFIX,
    after: historyKey(after).key,
    limit,
  }, timeout);
  return page.map(({ rows }) => rows.flatMap((row) => parseChange(row) ?? []));
}

/** Reads a version with its content; undefined when it does not exist. */
export async function readVersion(
  version: number,
  options: ReadOptions,
): Promise<Result<RawConfiguration | undefined, Unavailable>> {
  const { platform, timeout } = options;
  const row = await platform.readRow(historyKey(version), timeout);
  if (row.isErr()) return row;
  const change = parseChange(row.value);
  return change === undefined
    ? Ok(undefined)
    : await readContent(change, options);
}

/** Reads the content of a change; fails when it is absent or not JSON. */
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
