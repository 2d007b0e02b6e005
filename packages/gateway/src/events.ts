/**
 * Splits a stream of server-sent events into whole events, so that a caller
 * never gets a part of one, and reads their ids.
 */
export interface WholeEvents {
  readonly bytes: Uint8Array;
  /** Id of the last event; undefined when none has an id. */
  readonly lastId: number | undefined;
}

export interface EventSplitter {
  /** The events that the chunk completes, with ids above `after`. */
  push(chunk: Uint8Array, after: number): WholeEvents | undefined;
  /** True when a part of an event is left over. */
  hasRest(): boolean;
}

const SEPARATOR = "\n\n";
const ID_LINE = /(?:^|\n)id: ?(\d+)/;

export function createEventSplitter(): EventSplitter {
  let rest = "";

  return {
    hasRest: () => rest.length > 0,
    push(chunk, after) {
      // Bytes map to characters one to one.
      const text = rest + Buffer.from(
        chunk.buffer,
        chunk.byteOffset,
        chunk.byteLength,
      ).toString("latin1");
      const end = text.lastIndexOf(SEPARATOR);
      if (end < 0) {
        rest = text;
        return undefined;
      }
      const whole = text.slice(0, end + SEPARATOR.length);
      rest = text.slice(end + SEPARATOR.length);
      return selectEvents(whole, after);
    },
  };
}

function selectEvents(whole: string, after: number): WholeEvents | undefined {
  let lastId: number | undefined;
  let kept = "";
  for (const event of eachEvent(whole)) {
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

function* eachEvent(whole: string): Generator<string> {
  let start = 0;
  while (start < whole.length) {
    const end = whole.indexOf(SEPARATOR, start) + SEPARATOR.length;
    yield whole.slice(start, end);
    start = end;
  }
}
