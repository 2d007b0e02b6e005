/**
 * Merges the events of several processes into one causally consistent order.
 * The order within a source is kept. Events of different sources are ordered by
 * clock stamp; the process name breaks ties, which makes the order total.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { compareStamps, parseStamp, type Stamp } from "./hybrid_clock.ts";
import { type EventRecord, parseRecord } from "./record.ts";

export type TimelineSource =
  | Iterable<EventRecord>
  | AsyncIterable<EventRecord>;

/** Selects events that match every field that is set. */
export interface TimelineFilter {
  readonly request?: string;
  readonly customer?: string;
  readonly conversation?: string;
}

interface Cursor {
  readonly record: EventRecord;
  readonly stamp: Stamp;
  readonly rest: AsyncIterator<EventRecord>;
}

/** Yields the matching events of all sources in merged order. */
export async function* mergeTimeline(
  sources: readonly TimelineSource[],
  filter: TimelineFilter = {},
): AsyncGenerator<EventRecord> {
  const cursors: Cursor[] = [];
  for (const source of sources) {
    const cursor = await readCursor(toAsyncGenerator(source));
    if (cursor !== undefined) cursors.push(cursor);
  }
  while (cursors.length > 0) {
    cursors.sort(compareCursors);
    const cursor = cursors.shift();
    if (cursor === undefined) return;
    if (matchesFilter(cursor.record, filter)) yield cursor.record;
    const next = await readCursor(cursor.rest);
    if (next !== undefined) cursors.push(next);
  }
}

/** Yields the events of a log file. Skips lines that are not events. */
export async function* readEventFile(
  path: string,
): AsyncGenerator<EventRecord> {
  const lines = createInterface({ input: createReadStream(path, "utf8") });
  for await (const line of lines) {
    const record = parseRecord(line);
    if (record.isOk()) yield record.value;
  }
}

async function* toAsyncGenerator(
  source: TimelineSource,
): AsyncGenerator<EventRecord> {
  yield* source;
}

async function readCursor(
  rest: AsyncIterator<EventRecord>,
): Promise<Cursor | undefined> {
  for (;;) {
    const next = await rest.next();
    if (next.done) return undefined;
    const stamp = parseStamp(next.value.clock);
    if (stamp.isOk()) return { record: next.value, stamp: stamp.value, rest };
  }
}

function compareCursors(left: Cursor, right: Cursor): number {
  const order = compareStamps(left.stamp, right.stamp);
  if (order !== 0) return order;
  return left.record.process.name < right.record.process.name ? -1 : 1;
}

function matchesFilter(record: EventRecord, filter: TimelineFilter): boolean {
  const keys = ["request", "customer", "conversation"] as const;
  return keys.every((key) =>
    filter[key] === undefined || filter[key] === record[key]
  );
}
