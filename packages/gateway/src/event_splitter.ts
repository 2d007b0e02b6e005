/**
 * Splits a stream of server-sent events into complete events and reads their
 * ids, so that a caller never receives a part of an event.
 */
import type { Bytes } from "@peridotvalve/types";

export interface CompleteEvents {
  readonly bytes: Uint8Array;
  /** Id of the last event; undefined when no event has an id. */
  readonly lastId: number | undefined;
}

export interface EventSplitter {
  /**
   * Returns the events that the chunk completes and whose id is above `after`;
   * undefined when there are none.
   */
  push(chunk: Uint8Array, after: number): CompleteEvents | undefined;
  /** Returns true when a part of an event is buffered. */
  hasPartialEvent(): boolean;
  /** Returns true when more bytes came without a new event than an event has. */
  isOverrun(): boolean;
}

/** Bytes without a new event after which a stream is not an answer. */
const MAX_BYTES_WITHOUT_EVENT: Bytes = 256 * 1_024;

const SEPARATOR = "\n\n";
const ID_LINE = /(?:^|\n)id: ?(\d+)/;

export function createEventSplitter(): EventSplitter {
  let partial = "";
  let bytesWithoutEvent: Bytes = 0;

  return {
    hasPartialEvent: () => partial.length > 0,
    isOverrun: () => bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT,
    push(chunk, after) {
      bytesWithoutEvent += chunk.byteLength;
      // Latin-1 maps each byte to one character.
      const text = partial + Buffer.from(
        chunk.buffer,
        chunk.byteOffset,
        chunk.byteLength,
      ).toString("latin1");
      const end = text.lastIndexOf(SEPARATOR);
      if (end < 0) {
        partial = text;
        return undefined;
      }
      const complete = text.slice(0, end + SEPARATOR.length);
      partial = text.slice(end + SEPARATOR.length);
      const selected = selectEvents(complete, after);
      if (selected?.lastId !== undefined) bytesWithoutEvent = partial.length;
      return selected;
    },
  };
}

function selectEvents(
  complete: string,
  after: number,
): CompleteEvents | undefined {
  let lastId: number | undefined;
  let kept = "";
  for (const event of splitEvents(complete)) {
    const id = ID_LINE.exec(event)?.[1];
    if (id !== undefined) {
      const number = Number(id);
      if (number <= (lastId ?? after)) continue;
      lastId = number;
    }
    kept += event;
  }
  if (kept === "") return undefined;
  return { bytes: Buffer.from(kept, "latin1"), lastId };
}

function* splitEvents(complete: string): Generator<string> {
  let start = 0;
  while (start < complete.length) {
    const end = complete.indexOf(SEPARATOR, start) + SEPARATOR.length;
    yield complete.slice(start, end);
    start = end;
  }
}
