/**
 * The record of a logged event and its parser.
 */
import { Err, Ok, Result } from "ts-results-es";

export interface ProcessIdentity {
  readonly name: string;
  readonly incarnation: string;
}

/** The objects that an event refers to. The timeline filters by them. */
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
  /** Stamp of the hybrid logical clock, in compact form. */
  readonly clock: string;
  readonly process: ProcessIdentity;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/**
 * Parses a log line or an event returned by the operators' listener. Fails for
 * any other text, such as the truncated last line of a killed process.
 */
export function parseRecord(line: string): Result<EventRecord, string> {
  const parsed = Result.wrap(() => JSON.parse(line) as unknown);
  if (parsed.isErr()) return Err("not valid JSON");
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
