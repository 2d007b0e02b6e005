/**
 * The relay's record of what the caller has of a stream. A chunk passes only
 * when its attempt and offset are the expected ones, so the caller never gets
 * a repeated or skipped token, whatever late or crossed chunks arrive.
 */
import type { GenerationEvent, ResumePoint, Tokens } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";

export interface RelayRecord {
  /** The attempt whose chunks pass. */
  readonly attempt: string;
  /** Weight version of the attempt, once it told it. */
  readonly weights?: string;
  /** Count of tokens that the caller has. */
  readonly offset: Tokens;
  readonly text: string;
  readonly finished: boolean;
}

export type RelayRejection =
  | "other attempt"
  | "repeated token"
  | "skipped token"
  | "count differs"
  | "finished";

/** The record at the start of a request's first attempt. */
export function startRelay(attempt: string): RelayRecord {
  return { attempt, offset: 0, text: "", finished: false };
}

/** The record once another attempt takes over; what the caller has stays. */
export function switchAttempt(
  record: RelayRecord,
  attempt: string,
): RelayRecord {
  const { offset, text, finished } = record;
  return { attempt, offset, text, finished };
}

/** The record after an event, or why the event must not reach the caller. */
export function applyEvent(
  record: RelayRecord,
  event: GenerationEvent,
): Result<RelayRecord, RelayRejection> {
  if (event.attempt !== record.attempt) return Err("other attempt");
  if (record.finished) return Err("finished");
  if (event.kind === "start") {
    return Ok({ ...record, weights: event.weights });
  }
  if (event.kind === "token") return applyToken(record, event);
  if (event.finish !== "cancelled" && event.count !== record.offset) {
    return Err("count differs");
  }
  return Ok({ ...record, finished: true });
}

function applyToken(
  record: RelayRecord,
  event: Extract<GenerationEvent, { readonly kind: "token" }>,
): Result<RelayRecord, RelayRejection> {
  if (event.offset < record.offset) return Err("repeated token");
  if (event.offset > record.offset) return Err("skipped token");
  const text = record.text + event.text;
  return Ok({ ...record, offset: record.offset + 1, text });
}

/** Where another attempt continues; undefined when the caller has nothing. */
export function resumePointOf(record: RelayRecord): ResumePoint | undefined {
  if (record.offset === 0) return undefined;
  return { offset: record.offset, text: record.text };
}
