import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { AREAS, CATALOGUE } from "./catalogue.ts";
import { renderEventsPage } from "./events_page.ts";
import { createHybridClock, formatStamp, parseStamp } from "./hybrid_clock.ts";
import { formatEvent } from "./line.ts";
import { createEventLogger } from "./logger.ts";
import { type EventRecord, parseRecord } from "./record.ts";
import { createEventRing } from "./ring.ts";
import { mergeTimeline, readEventFile } from "./timeline.ts";

function createTestProcess(name: string, skew: number) {
  const clock = createHybridClock(createManualClock(1_000_000 + skew));
  const lines: string[] = [];
  const ring = createEventRing(10);
  const logger = createEventLogger({
    process: { name, incarnation: `${name}-1` },
    clock,
    ring,
    write: (line) => lines.push(line),
  });
  return { clock, lines, ring, logger };
}

async function collect(
  events: AsyncIterable<EventRecord>,
): Promise<readonly string[]> {
  const names: string[] = [];
  for await (const event of events) names.push(event.process.name);
  return names;
}

test("event numbers are unique and belong to a documented area", () => {
  const numbers = Object.values(CATALOGUE).map((traits) => traits.number);
  expect(new Set(numbers).size).toEqual(numbers.length);
  for (const number of numbers) {
    expect(AREAS[Math.floor(number / 1_000)] !== undefined).toEqual(true);
  }
});

test("the committed docs/events.md is current", () => {
  const squeeze = (text: string) => text.replaceAll(/\s+/g, " ").trim();
  const committed = readFileSync("docs/events.md", "utf8");
  expect(squeeze(committed)).toEqual(squeeze(renderEventsPage()));
});

test("each event is one line with its process, and % is not interpreted", () => {
  const { lines, logger } = createTestProcess("a", 0);
  logger.log("peer_dead", { peer: "100%s", silence: 5 }, {
    customer: "c\n1",
  });
  expect(lines.length).toEqual(1);
  expect(lines[0]?.includes("\n")).toEqual(false);
  const record = parseRecord(lines[0] ?? "").unwrap();
  expect(record.number).toEqual(6003);
  expect(record.process).toEqual({ name: "a", incarnation: "a-1" });
  expect(record.fields).toEqual({ peer: "100%s", silence: 5 });
  expect(record.customer).toEqual("c\n1");
  expect(parseStamp(record.clock).isOk()).toEqual(true);
});

test("the human-readable line quotes text that looks like fields", () => {
  const { ring, logger } = createTestProcess("a", 0);
  logger.log("attempt_failed", { attempt: "t1", reason: "cut: a=b\n" }, {
    request: "r1",
  });
  logger.log("drain_finished", { elapsed: 1.2345 });
  const lines = ring.read(0).events.map(formatEvent);
  expect(lines).toEqual([
    "1970-01-01T00:16:40.000Z+0 a 3003 attempt_failed request=r1 | " +
    'attempt=t1 reason="cut: a=b\\n"',
    "1970-01-01T00:16:40.000Z+1 a 1004 drain_finished | elapsed=1.2",
  ]);
});

test("two loggers in one process do not mix their lines", () => {
  const first = createTestProcess("a", 0);
  const second = createTestProcess("b", 0);
  first.logger.log("process_ready", {});
  second.logger.log("process_ready", {});
  expect([first.lines.length, second.lines.length]).toEqual([1, 1]);
});

test("events are written when ROARR_LOG is not set", () => {
  const program = `
    import("./packages/events/src/mod.ts").then((events) => {
      const clock = events.createHybridClock({ now: () => 1 });
      const process = { name: "p", incarnation: "i" };
      events.createEventLogger({ process, clock }).log("process_ready", {});
    });`;
  const { ROARR_LOG: _, ...env } = process.env;
  const output = execFileSync(
    process.execPath,
    ["--import=tsx", "-e", program],
    { env, encoding: "utf8" },
  );
  expect(output.includes("process_ready")).toEqual(true);
});

test("the ring buffer keeps the newest events and reports a gap", () => {
  const { ring, logger } = createTestProcess("a", 0);
  for (let count = 0; count < 25; count += 1) logger.log("process_ready", {});
  const page = ring.read(3);
  expect([page.first, page.next, page.events.length]).toEqual([15, 25, 10]);
  expect(ring.read(page.next).events).toEqual([]);
  expect(ring.read(99).events).toEqual([]);
});

test("the timeline orders an effect after its cause despite clock skew", async () => {
  const ahead = createTestProcess("ahead", 120_000);
  const behind = createTestProcess("behind", 0);
  ahead.logger.log("process_ready", {});
  behind.clock.observe(ahead.clock.latest());
  behind.logger.log("process_ready", {});
  ahead.clock.observe(behind.clock.latest());
  ahead.logger.log("process_ready", {});
  const sources = [behind.ring.read(0).events, ahead.ring.read(0).events];
  expect(await collect(mergeTimeline(sources))).toEqual([
    "ahead",
    "behind",
    "ahead",
  ]);
});

test("the timeline filters events and skips a truncated last line", async () => {
  const { lines, logger } = createTestProcess("a", 0);
  const other = createTestProcess("b", 5);
  for (const request of ["r1", "r2"]) {
    logger.log("process_ready", {}, { request });
    other.logger.log("process_ready", {}, { request });
  }
  const file = join(mkdtempSync(join(tmpdir(), "events-")), "a.log");
  writeFileSync(file, `${lines.join("\n")}\n${lines[0]?.slice(0, 40)}`);
  const sources = [readEventFile(file), other.ring.read(0).events];
  const merged = mergeTimeline(sources, { request: "r2" });
  expect(await collect(merged)).toEqual(["a", "b"]);
  expect(formatStamp(other.clock.latest()).length < 12).toEqual(true);
});
