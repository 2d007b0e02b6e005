/**
 * Formats events as human-readable lines.
 */
import { parseStamp } from "./hybrid_clock.ts";
import type { EventRecord } from "./record.ts";

// Text that needs no quotes in a line.
const UNQUOTED = /^[\w.:/@+-]+$/;

const ROUNDING_FACTOR = 10;

/**
 * Formats an event as one line: time and counter of the clock stamp, process
 * name, event number and name, subject, and the fields after a vertical bar.
 */
export function formatEvent(record: EventRecord): string {
  const { request, customer, conversation, upstream, fields } = record;
  const subjectPairs = formatPairs({
    request,
    customer,
    conversation,
    upstream,
  });
  const fieldPairs = formatPairs(fields);
  return [
    formatTime(record.clock),
    record.process.name,
    String(record.number),
    record.name,
    ...subjectPairs,
    ...(fieldPairs.length === 0 ? [] : ["|", ...fieldPairs]),
  ].join(" ");
}

function formatTime(clock: string): string {
  const stamp = parseStamp(clock);
  if (stamp.isErr()) return clock;
  const { time, counter } = stamp.value;
  return `${new Date(time).toISOString()}+${counter}`;
}

function formatPairs(
  pairs: Readonly<Record<string, string | number | boolean | undefined>>,
): readonly string[] {
  return Object.entries(pairs).flatMap(([name, value]) =>
    value === undefined ? [] : [`${name}=${formatValue(value)}`]
  );
}

function formatValue(value: string | number | boolean): string {
  if (typeof value === "number") {
    return String(Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR);
  }
  const text = String(value);
  return UNQUOTED.test(text) ? text : JSON.stringify(text);
}
