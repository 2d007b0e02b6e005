/**
 * A ring buffer of the newest events of this process, read by the operators'
 * listener.
 */
import type { EventRecord } from "./record.ts";

const DEFAULT_CAPACITY = 1_000;

export interface RingPage {
  /** Position of the oldest event held. A smaller `after` has missed events. */
  readonly first: number;
  /** Value of `after` for the next read. */
  readonly next: number;
  readonly events: readonly EventRecord[];
}

export abstract class EventRing {
  abstract append(record: EventRecord): void;

  /** Returns the events from position `after` on; 0 reads from the oldest. */
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
