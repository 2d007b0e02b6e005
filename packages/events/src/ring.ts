/**
 * The most recent events of this process, for the operators' listener.
 */
import type { EventRecord } from "./record.ts";

const DEFAULT_CAPACITY = 1_000;

export interface RingPage {
  /** Position of the first event still held; a greater `after` has no gap. */
  readonly first: number;
  /** Position to pass as `after` next time. */
  readonly next: number;
  readonly events: readonly EventRecord[];
}

export abstract class EventRing {
  abstract append(record: EventRecord): void;

  /** The events behind a position; 0 reads from the oldest one held. */
  abstract read(after: number): RingPage;
}

export function createEventRing(capacity = DEFAULT_CAPACITY): EventRing {
  const records: EventRecord[] = [];
  let appended = 0;

  return new (class extends EventRing {
    override append(record: EventRecord): void {
      records[appended % capacity] = record;
      appended += 1;
    }

    override read(after: number): RingPage {
      const first = Math.max(0, appended - capacity);
      const start = Math.min(Math.max(after, first), appended);
      const events: EventRecord[] = [];
      for (let position = start; position < appended; position += 1) {
        const record = records[position % capacity];
        if (record !== undefined) events.push(record);
      }
      return { first, next: appended, events };
    }
  })();
}
