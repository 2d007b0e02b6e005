import { test } from "node:test";
import { Writable } from "node:stream";
import { createManualClock } from "@peridotvalve/clock";
import {
  type EventFields,
  EventLogger,
  type EventName,
} from "@peridotvalve/events";
import { expect } from "earl";
import { createBoundedLogger, createLineWriter } from "./bounded_log.ts";

function createRecorder() {
  const names: EventName[] = [];
  let omitted = 0;
  const logger = new (class extends EventLogger {
    override log<Name extends EventName>(
      name: Name,
      fields: EventFields<Name>,
    ): void {
      names.push(name);
      if ("count" in fields) omitted += Number(fields.count);
    }
  })();
  const count = (name: EventName) => names.filter((one) => one === name).length;
  return { logger, count, omitted: () => omitted };
}

const PLACED = {
  number: 1,
  version: 1,
  software: "v1",
  unread: 1,
  held: 0,
  waiting: 0,
  running: 0,
  saves: 0,
  cost: 1,
  candidates: 1,
  fetched: 0,
  remaining: 1,
  isRepeat: false,
};
const LOST = {
  route: "r",
  reason: "reset",
  status: 502,
  elapsed: 1,
  sends: 1,
  state: 1,
};

// Guards against losing the log lines of failures when a burst of successes
// fills the log.
test("lines of successes are limited and counted, those of failures pass", async () => {
  const clock = createManualClock();
  const { logger, count, omitted } = createRecorder();
  const bounded = createBoundedLogger(logger, clock);
  for (let turn = 0; turn < 300; turn += 1) {
    bounded.log("attempt_placed", PLACED);
    bounded.log("request_lost", LOST);
  }
  const written = count("attempt_placed");
  expect(written < 300).toEqual(true);
  expect(count("request_lost")).toEqual(300);
  await clock.advance(1_000);
  bounded.log("attempt_placed", PLACED);
  expect(count("lines_omitted")).toEqual(1);
  expect(omitted()).toEqual(300 - written);
});

// Guards against a log reader that stops reading and thereby blocks the process
// or fills its memory.
test("a stalled reader uses bounded memory and does not block", () => {
  const stream = new Writable({ highWaterMark: 1_024, write() {} });
  const { write } = createLineWriter(stream);
  const line = "x".repeat(1_000);
  let refused = 0;
  for (let turn = 0; turn < 5_000; turn += 1) if (!write(line)) refused += 1;
  expect(refused > 0).toEqual(true);
  expect(stream.writableLength < 2_000_000).toEqual(true);
});

test("a closed reader does not end the process", () => {
  const stream = new Writable({
    write: (_chunk, _encoding, done) => done(new Error("EPIPE")),
  });
  createLineWriter(stream).write("line");
});
