import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { createByteQueue } from "./byte_queue.ts";

test("a queue returns the bytes in order", () => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 100 }));
  const isShifted = fc.array(fc.boolean());
  fc.assert(fc.property(chunks, isShifted, (pushed, shifts) => {
    const queue = createByteQueue();
    const received: Uint8Array[] = [];
    pushed.forEach((chunk, at) => {
      queue.push(chunk);
      if (shifts[at] !== true) return;
      received.push(queue.shift() ?? new Uint8Array());
    });
    received.push(queue.drain());
    expect(queue.size).toEqual(0);
    expect(Buffer.concat(received)).toEqual(Buffer.concat(pushed));
  }));
});

// Guards against a short chunk that keeps the whole buffer of a read in memory.
test("a queue does not keep the buffer of a short chunk", () => {
  const queue = createByteQueue();
  const received = Buffer.alloc(65_536, "x");
  queue.push(received.subarray(0, 20_000));
  expect(queue.shift()?.buffer === received.buffer).toEqual(false);
  queue.push(received.subarray(0, 40_000));
  expect(queue.shift()?.buffer === received.buffer).toEqual(true);
});

test("blocks are not longer than the limit", () => {
  const queue = createByteQueue();
  for (let at = 0; at < 3; at += 1) queue.push(new Uint8Array(40_000));
  queue.push(new Uint8Array(200_000));
  const lengths: number[] = [];
  for (let block = queue.shift(); block !== undefined; block = queue.shift()) {
    lengths.push(block.length);
  }
  expect(lengths).toEqual([40_000, 40_000, 40_000, 200_000]);
});

// Guards against a body in chunks of one byte that takes over a hundred times
// its length.
test("memory follows from the number of bytes", () => {
  const queue = createByteQueue();
  const before = process.memoryUsage();
  const received = Buffer.alloc(65_536, "x");
  for (let at = 0; at < 1_000_000; at += 1) {
    const start = at % received.length;
    queue.push(received.subarray(start, start + 1));
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  expect(queue.size).toEqual(1_000_000);
  const growth = heapUsed - before.heapUsed + arrayBuffers -
    before.arrayBuffers;
  expect(growth < 50_000_000).toEqual(true);
});
