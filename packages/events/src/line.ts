/**
 * Events as lines for people.
 */
import { parseStamp } from "./hybrid_clock.ts";
import type { EventRecord } from "./record.ts";

// Text that can stand in a line without quotes.
const PLAIN = /^[\w.:/@+-]+$/;

const DECIMALS = 10;

/**
 * One line: time and counter of the clock stamp, process, number and name of
 * the event, its subject, and its fields after a bar.
 */
export function formatEvent(record: EventRecord): string {
  const { request, customer, conversation, upstream, fields } = record;
  const subject = formatPairs({ request, customer, conversation, upstream });
  const rest = formatPairs(fields);
  return [
    formatTime(record.clock),
    record.process.name,
    String(record.number),
    record.name,
    ...subject,
    ...(rest.length === 0 ? [] : ["|", ...rest]),
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
    return String(Math.round(value * DECIMALS) / DECIMALS);
  }
  const text = String(value);
  return PLAIN.test(text) ? text : JSON.stringify(text);
}
