/**
 * Measures the CPU time, heap and bytes of reading and checking a configuration
 * for several numbers of replicas and customers, the platform reads of
 * configuration watches for several numbers of readers, and the CPU time and
 * bytes of reading the VM list, and prints them as JSON.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_configuration.ts`.
 */
import { createManualClock } from "@peridotvalve/clock";
import {
  applyConfiguration,
  createConfigurationWatch,
} from "@peridotvalve/configuration";
import {
  createHttpPlatform,
  createMemoryPlatform,
  type Json,
} from "@peridotvalve/tables";
import { readConfiguration } from "@peridotvalve/settings";
import type { Configuration } from "@peridotvalve/types";
import { Err, Ok } from "ts-results-es";
import { countCalls } from "./counted_platform.ts";
import { startStandins } from "./standin_processes.ts";
import { createFleetConfiguration, SIZES } from "./fleet_configuration.ts";
import {
  cpuMillisecondsSince,
  createGarbageCollector,
  measureHeap,
  medianOf,
  roundToThousandths,
} from "./measuring.ts";

const ROUNDS = 9;
const CHECKS_PER_ROUND = 5;
const WATCH_COUNTS = [1, 4, 16];
const WATCH_SECONDS = 60;
/** The last count is that of all daemons and replicas at the two-year size. */
const VM_COUNTS = [137, 545, 1_090];
const LISTS_PER_ROUND = 20;
const READ_TIMEOUT_MILLISECONDS = 1_000;

function measureReading(collect: () => void) {
  const cases = SIZES.map((size) => ({
    size,
    text: JSON.stringify(createFleetConfiguration(size)),
    times: [] as number[],
  }));
  for (let index = 0; index < ROUNDS; index += 1) {
    for (const { text, times } of cases) {
      const usage = process.cpuUsage();
      for (let count = 0; count < CHECKS_PER_ROUND; count += 1) {
        readConfiguration(text).unwrap();
      }
      times.push(cpuMillisecondsSince(usage) / CHECKS_PER_ROUND);
    }
  }
  return cases.map(({ size, text, times }) => ({
    ...size,
    bytes: Buffer.byteLength(text),
    readAndCheckMilliseconds: roundToThousandths(medianOf(times)),
    heapBytes: measureHeap(collect, () => readConfiguration(text).unwrap())
      .bytes,
  }));
}

/** Measures the platform reads of watches that all poll as readers. */
async function measureWatches(count: number) {
  const clock = createManualClock(0);
  const { platform, calls } = countCalls(createMemoryPlatform({ clock }));
  const content = createFleetConfiguration(SIZES[0]!);
  await applyConfiguration({ change: "c1", content, author: "measure" }, {
    platform,
    clock,
  });
  const usage = process.cpuUsage();
  const watches = Array.from({ length: count }, () =>
    createConfigurationWatch({
      platform,
      clock,
      isReader: () => true,
      peers: () => [],
      fetchFromPeer: () => Promise.resolve(Err("no peer")),
      bootstrap: () => Promise.resolve(Err("none")),
      check: (json: Json) => Ok(json as unknown as Configuration),
    }));
  const readsBeforeStart = calls().reads;
  await Promise.all(watches.map((watch) => watch.start()));
  const startReads = calls().reads - readsBeforeStart;
  const readsBeforePolling = calls().reads;
  await clock.advance(WATCH_SECONDS * 1_000);
  const reads = calls().reads - readsBeforePolling;
  const cpuMilliseconds = cpuMillisecondsSince(usage);
  for (const watch of watches) watch.stop();
  return {
    watches: count,
    readsForEachStart: startReads / count,
    readsPerSecond: roundToThousandths(reads / WATCH_SECONDS),
    processorMillisecondsForEachRead: roundToThousandths(
      cpuMilliseconds / reads,
    ),
  };
}

/** Measures the CPU time and bytes of reading the platform's VM list. */
async function measureVmList(address: string, vms: number) {
  const list = Array.from({ length: vms }, (_, index) => ({
    name: `vm-${index}`,
    address: `10.1.${index >> 8}.${index & 255}:8000`,
    zone: `zone-${index % 8}`,
    state: "live",
    incarnation: `incarnation-${index}`,
  }));
  const body = JSON.stringify(list);
  await fetch(`http://${address}/control/vms`, { method: "POST", body });
  const platform = createHttpPlatform({ address: `http://${address}` });
  const times: number[] = [];
  for (let index = 0; index < ROUNDS; index += 1) {
    const usage = process.cpuUsage();
    for (let count = 0; count < LISTS_PER_ROUND; count += 1) {
      (await platform.readVms(READ_TIMEOUT_MILLISECONDS)).unwrap();
    }
    times.push(cpuMillisecondsSince(usage) / LISTS_PER_ROUND);
  }
  await platform.close();
  return {
    vms,
    bytes: Buffer.byteLength(body),
    processorMilliseconds: roundToThousandths(medianOf(times)),
  };
}

async function main(): Promise<void> {
  const reading = measureReading(createGarbageCollector());
  const watches = [];
  for (const count of WATCH_COUNTS) watches.push(await measureWatches(count));
  const standin = await startStandins([["platform"]]);
  const [address = ""] = standin.addresses;
  const vmLists = [];
  for (const vms of VM_COUNTS) vmLists.push(await measureVmList(address, vms));
  await standin.stop();
  console.log(JSON.stringify({ reading, watches, vmLists }));
}

await main();
