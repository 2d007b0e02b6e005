/**
 * Measures the CPU time and bytes of log events for several numbers of events,
 * and the CPU time and heap of the metrics for several numbers of series, and
 * prints them as JSON.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_logging.ts`.
 */
import { createSystemClock } from "@peridotvalve/clock";
import {
  createEventLogger,
  createEventRing,
  createHybridClock,
} from "@peridotvalve/events";
import { createRegistry } from "@peridotvalve/metrics";
import {
  cpuMillisecondsSince,
  createGarbageCollector,
  measureHeap,
  medianOf,
  roundToThousandths,
} from "./measuring.ts";

const EVENT_COUNTS = [1_000, 10_000, 50_000];
const SERIES_COUNTS = [4, 16, 64];
const ROUNDS = 5;
const RECORDED_VALUES = 20_000;
const WARMUP_RENDERS = 3;

function measureEvents(count: number) {
  const clock = createSystemClock();
  let bytes = 0;
  const logger = createEventLogger({
    process: { name: "entry-1", incarnation: "entry-1/measure" },
    clock: createHybridClock(clock),
    // `attempt_started` has level debug and is dropped at any higher log level.
    level: "debug",
    ring: createEventRing(),
    write: (line) => {
      bytes += line.length + 1;
    },
  });
  const usage = process.cpuUsage();
  for (let index = 0; index < count; index += 1) {
    logger.log("attempt_started", { attempt: `att_${index}`, kind: "first" }, {
      request: `req_${index}`,
      customer: "customer-1",
      conversation: `conversation-${index}`,
      upstream: "model-1-zone-1-9",
    });
  }
  return {
    events: count,
    microsecondsForEach: cpuMillisecondsSince(usage) * 1_000 / count,
    bytesForEach: Math.round(bytes / count),
  };
}

function measureMetrics(series: number, collect: () => void) {
  const clock = createSystemClock();
  const { value: registry, bytes } = measureHeap(collect, () => {
    const own = createRegistry(clock);
    const histogram = own.histogram("h", { help: "h", labels: ["model"] });
    const counter = own.counter("c", { help: "c", labels: ["model"] });
    for (let index = 0; index < series; index += 1) {
      histogram.record(index, { model: `m${index}` });
      counter.add(1, { model: `m${index}` });
    }
    return { own, histogram };
  });
  for (let index = 0; index < WARMUP_RENDERS; index += 1) registry.own.render();
  const usage = process.cpuUsage();
  for (let index = 0; index < RECORDED_VALUES; index += 1) {
    registry.histogram.record(index % 900, { model: `m${index % series}` });
  }
  const recordMilliseconds = cpuMillisecondsSince(usage);
  const renderUsage = process.cpuUsage();
  registry.own.render();
  return {
    series,
    heapBytes: bytes,
    recordMicroseconds: roundToThousandths(
      recordMilliseconds * 1_000 / RECORDED_VALUES,
    ),
    renderMilliseconds: roundToThousandths(cpuMillisecondsSince(renderUsage)),
  };
}

function main(): void {
  const collect = createGarbageCollector();
  const samples = EVENT_COUNTS.map((): ReturnType<
    typeof measureEvents
  >[] => []);
  for (let index = 0; index < ROUNDS; index += 1) {
    for (const [at, count] of EVENT_COUNTS.entries()) {
      samples[at]?.push(measureEvents(count));
    }
  }
  const events = samples.map((all, index) => ({
    events: EVENT_COUNTS[index],
    microsecondsForEach: roundToThousandths(
      medianOf(all.map((one) => one.microsecondsForEach)),
    ),
    bytesForEach: all[0]?.bytesForEach,
  }));
  const metrics = SERIES_COUNTS.map((series) =>
    measureMetrics(series, collect)
  );
  console.log(JSON.stringify({ events, metrics }));
}

main();
