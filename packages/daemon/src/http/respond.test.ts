import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Writable } from "node:stream";
import { test } from "node:test";
import { createExchange } from "./exchange.ts";
import type { Intake } from "./intake.ts";
import { writeEvent } from "./respond.ts";

/** Creates a response whose caller reads only when the test calls `read`. */
function createSlowCaller() {
  const reads: (() => void)[] = [];
  const stream = new Writable({
    highWaterMark: 8,
    write(_chunk, _encoding, callback) {
      reads.push(callback);
    },
  });
  const response = Object.assign(stream, { setHeader: () => {} });
  const clock = createManualClock();
  const exchange = createExchange(
    { socket: new EventEmitter() } as unknown as IncomingMessage,
    response as unknown as ServerResponse,
    { clock, intake: undefined as unknown as Intake },
  );
  const read = () => reads.shift()?.();
  return { clock, exchange, stream, read };
}

test("a stream is closed when its caller stops reading", async () => {
  const { clock, exchange, stream } = createSlowCaller();
  const written = writeEvent(exchange, "a chunk that fills the buffer");
  await clock.advance(29_000);
  expect(stream.destroyed).toEqual(false);
  await clock.advance(2_000);
  await written;
  expect(stream.destroyed).toEqual(true);
  expect(exchange.signal.aborted).toEqual(true);
});

test("a caller that reads slowly keeps its stream", async () => {
  const { clock, exchange, stream, read } = createSlowCaller();
  for (let count = 0; count < 3; count += 1) {
    const written = writeEvent(exchange, "a chunk that fills the buffer");
    await clock.advance(29_000);
    read();
    await written;
  }
  expect(stream.destroyed).toEqual(false);
});
