/**
 * One event as it is logged and read back.
 */
import { Err, Ok, Result } from "ts-results-es";

export interface ProcessIdentity {
  readonly name: string;
  readonly incarnation: string;
}

/** What an event is about; the timeline filters by these. */
export interface EventSubject {
  readonly request?: string;
  readonly customer?: string;
  readonly conversation?: string;
  readonly upstream?: string;
}

export interface EventRecord extends EventSubject {
  readonly number: number;
  readonly name: string;
  readonly level: string;
  /** Stamp of the hybrid logical clock in its compact form. */
  readonly clock: string;
  readonly process: ProcessIdentity;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/**
 * Reads a line of the log, or an event as the operators' listener gives it. A
 * torn last line of a killed process is an error.
 */
export function parseRecord(line: string): Result<EventRecord, string> {
  const parsed = Result.wrap(() => JSON.parse(line) as unknown);
  if (parsed.isErr()) return Err("not JSON");
  if (isRecord(parsed.value)) return Ok(parsed.value);
  const context = (parsed.value as { context?: unknown } | null)?.context;
  return isRecord(context) ? Ok(context) : Err("not an event");
}

function isRecord(value: unknown): value is EventRecord {
  if (typeof value !== "object" || value === null) return false;
  const record = value as Partial<EventRecord>;
  return typeof record.number === "number" &&
    typeof record.clock === "string" &&
    typeof record.process?.name === "string";
}
