/**
 * Record of the part of a stream that has been relayed to the caller. A chunk
 * is accepted only if its attempt and offset are the expected ones, so the
 * caller never receives a repeated or skipped token when chunks arrive late or
 * from several attempts.
 */
import type { GenerationEvent, ResumePoint, Tokens } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";

export interface RelayRecord {
  /** Id of the attempt whose chunks are accepted. */
  readonly attempt: string;
  /** Weight version of the attempt; absent until its start event. */
  readonly weights?: string;
  /** Number of tokens that the caller has received. */
  readonly offset: Tokens;
  /** Text that the caller has received. */
  readonly text: string;
  readonly finished: boolean;
}

export type RelayRejection =
  | "other attempt"
  | "repeated token"
  | "skipped token"
  | "count differs"
  | "finished";

/** Creates the record for the first attempt of a request. */
export function createRelayRecord(attempt: string): RelayRecord {
  return { attempt, offset: 0, text: "", finished: false };
}

/** The record after another attempt takes over; offset and text are kept. */
export function switchAttempt(
  record: RelayRecord,
  attempt: string,
): RelayRecord {
  const { offset, text, finished } = record;
  return { attempt, offset, text, finished };
}

/** The record after an event, or the reason for which the event is rejected. */
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

/** Where another attempt must resume; undefined before the first token. */
export function resumePointOf(record: RelayRecord): ResumePoint | undefined {
  if (record.offset === 0) return undefined;
  return { offset: record.offset, text: record.text };
}
