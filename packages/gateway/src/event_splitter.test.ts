import assert from "node:assert/strict";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createEventSplitter } from "./event_splitter.ts";

const event = (id: number) => `id: ${id}\ndata: token ${id} é\n\n`;

// Guards against sending a part of an event to the caller before its replica
// breaks off, so that the resumed stream repeats it.
test("any split of a stream yields complete events in order", () => {
  const text = Buffer.from([1, 2, 3, 4, 5, 6].map(event).join(""));
  const sizes = fc.array(fc.integer({ min: 1, max: 25 }), { minLength: 1 });
  fc.assert(fc.property(sizes, (lengths) => {
    const splitter = createEventSplitter();
    const passed: Uint8Array[] = [];
    let last = 0;
    let at = 0;
    for (let turn = 0; at < text.length; turn += 1) {
      const end = at + (lengths[turn % lengths.length] ?? 1);
      const completed = splitter.push(text.subarray(at, end), last);
      at = end;
      if (completed === undefined) continue;
      assert(Buffer.from(completed.bytes).toString().endsWith("\n\n"));
      passed.push(completed.bytes);
      last = completed.lastId ?? last;
    }
    expect(Buffer.concat(passed).toString()).toEqual(text.toString());
    expect(splitter.hasPartialEvent()).toEqual(false);
    expect(last).toEqual(6);
  }));
});

test("events that the caller already has are dropped", () => {
  const splitter = createEventSplitter();
  const bytes = Buffer.from(event(2) + event(3) + event(4));
  const completed = splitter.push(bytes, 3);
  expect(Buffer.from(completed?.bytes ?? []).toString()).toEqual(event(4));
  expect(completed?.lastId).toEqual(4);
});

test("a part of an event stays buffered", () => {
  const splitter = createEventSplitter();
  expect(splitter.push(Buffer.from("id: 1\nda"), 0)).toEqual(undefined);
  expect(splitter.hasPartialEvent()).toEqual(true);
});
