/**
 * Measures the CPU time of listing the candidates of a group, which each
 * placement and each admission does, and the heap size of a fleet, by number of
 * replicas and with the load digests of 44 peers. Prints JSON.
 *
 * Run: `node --import tsx packages/daemon/src/fleet/measure_fleet.ts`.
 */
import { createSystemClock } from "@peridotvalve/clock";
import { createLoadTracker } from "@peridotvalve/load";
import { createSlownessDetector } from "@peridotvalve/routing";
import { readConfiguration } from "@peridotvalve/settings";
import type { Configuration } from "@peridotvalve/types";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createFleet } from "./fleet.ts";

const REPLICAS = [23, 91, 365, 730];
const MODELS = 4;
const ZONES = 8;
const PEERS = 44;
const DISPATCHES_PER_PEER = 20;
const DIGEST_BYTES = 800;
const ROUNDS = 9;
const CALLS = 20;

function createConfiguration(count: number): Configuration {
  const zones = Array.from({ length: ZONES }, (_, index) => `z${index}`);
  const groups = Array.from({ length: MODELS }, (_, model) => {
    const replicas = Array.from({ length: count }, (_, index) => index)
      .filter((index) => index % MODELS === model)
      .map((index) => [`r${index}`, {
        address: `10.1.${index >> 8}.${index & 255}:8000`,
        availabilityZone: zones[index % ZONES],
      }]);
    const group = { weights: "w1", replicas: Object.fromEntries(replicas) };
    return [`m${model}`, group];
  });
  return readConfiguration(JSON.stringify({
    regions: { a: { availabilityZones: zones } },
    groups: Object.fromEntries(groups),
  })).unwrap();
}

function setUp(configuration: Configuration, count: number) {
  const clock = createSystemClock();
  const tracker = createLoadTracker(clock);
  const fleet = createFleet({
    clock,
    tracker,
    slowness: createSlownessDetector({ clock }),
    log: () => {},
    availabilityZone: "z0",
    regionOf: () => "a",
    onLeaving: () => {},
    resumedAt: () => -Infinity,
    createHeaders: () => ({}),
  });
  fleet.apply(configuration);
  for (let index = 0; index < count; index += 1) {
    tracker.recordReport(`r${index}`, {
      incarnation: `i${index}`,
      weights: "w1",
      state: "ready",
      running: 1,
      waiting: 0,
      queuedTokens: 0,
      usedBlocks: 1,
      freeBlocks: 127,
      at: clock.now(),
    });
  }
  const digests: unknown[] = [];
  for (let peer = 0; peer < PEERS; peer += 1) {
    const other = createLoadTracker(clock);
    for (let index = 0; index < DISPATCHES_PER_PEER; index += 1) {
      const replica = `r${(peer * 7 + index) % count}`;
      other.startDispatch(replica, { id: `d${index}`, tokens: 500 });
    }
    digests.push(other.composeDigest(DIGEST_BYTES) ?? {});
  }
  const receiveDigest = (peer: number) =>
    tracker.applyDigest(`p${peer}`, digests[peer]).unwrap();
  for (let peer = 0; peer < PEERS; peer += 1) receiveDigest(peer);
  return { fleet, receiveDigest };
}

function processorMilliseconds(work: () => void): number {
  const usage = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(usage);
  return (user + system) / 1_000;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function main(): void {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const cases = REPLICAS.map((count) => {
    const configuration = createConfiguration(count);
    collect();
    const before = process.memoryUsage().heapUsed;
    const { fleet, receiveDigest } = setUp(configuration, count);
    collect();
    const heap = process.memoryUsage().heapUsed - before;
    return { count, fleet, receiveDigest, heap, times: [] as number[] };
  });
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const { fleet, receiveDigest, times } of cases) {
      const time = processorMilliseconds(() => {
        for (let call = 0; call < CALLS; call += 1) {
          // Digests arrive about as often as candidates are listed.
          receiveDigest(call % PEERS);
          fleet.candidates("m1");
        }
      });
      times.push(time / CALLS);
    }
  }
  const candidates = cases.map(({ count, heap, times }) => ({
    replicas: count,
    peers: PEERS,
    candidatesMilliseconds: Math.round(1_000 * medianOf(times)) / 1_000,
    heapBytes: heap,
  }));
  console.log(JSON.stringify({ candidates }));
}

main();
