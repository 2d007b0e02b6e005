/**
 * Measures the CPU time and heap of the load tracker for several numbers of
 * replicas with the digests of 44 peers, and the CPU time and bytes of polling
 * load reports over HTTP, and prints them as JSON.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_load.ts`.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createManualClock, createSystemClock } from "@peridotvalve/clock";
import { createLoadTracker, type LoadTracker } from "@peridotvalve/load";
import type { LoadReport } from "@peridotvalve/types";
import { createHttpEngine } from "@peridotvalve/upstreams";
import { startEngines } from "./standin_processes.ts";
import { replicaNames } from "./fleet_configuration.ts";
import {
  cpuMillisecondsSince,
  createGarbageCollector,
  measureHeap,
  medianOf,
  roundToThousandths,
} from "./measuring.ts";

const REPLICAS = [91, 365, 730];
const PEERS = 44;
const ROUNDS = 7;
const DIGEST_BYTES = 800;
const POLL_RATES = [10, 50, 200];
const POLL_SECONDS = 3;
const WARM_UP_POLLS = 500;
const POLL_TIMEOUT_MILLISECONDS = 1_000;

function createReport(index: number, at: number): LoadReport {
  return {
    incarnation: `incarnation-${index}`,
    weights: "w1",
    state: "ready",
    running: index % 9,
    waiting: index % 3,
    queuedTokens: 100 * (index % 50),
    usedBlocks: index % 128,
    freeBlocks: 128,
    at,
  };
}

/**
 * Creates the trackers of the daemons of one zone. All have every report; each
 * has started dispatches to its own part of the replicas.
 */
function createTrackers(names: readonly string[]) {
  const clock = createManualClock(1_700_000_000_000);
  const trackers = Array.from(
    { length: PEERS + 1 },
    () => createLoadTracker(clock),
  );
  for (const [index, name] of names.entries()) {
    const report = createReport(index, clock.now());
    for (const tracker of trackers) tracker.recordReport(name, report);
    trackers[index % trackers.length]?.startDispatch(name, {
      id: `d${index}`,
      tokens: 500,
    });
  }
  return { clock, trackers };
}

/** Applies one digest of each peer to the first tracker; returns the bytes. */
function applyPeerDigests(trackers: readonly LoadTracker[]): number {
  let bytes = 0;
  for (const [index, peer] of trackers.entries()) {
    if (index === 0) continue;
    const digest = peer.composeDigest(DIGEST_BYTES);
    if (digest === undefined) continue;
    bytes += JSON.stringify(digest).length;
    trackers[0]?.applyDigest(`peer-${index}`, digest).unwrap();
  }
  return bytes;
}

function measureTracker(count: number, collect: () => void) {
  const names = replicaNames(count);
  const { clock, trackers } = createTrackers(names);
  applyPeerDigests(trackers);
  const [tracker] = trackers;
  if (tracker === undefined) throw new Error("no load tracker");
  const estimateTimes: number[] = [];
  const recordTimes: number[] = [];
  for (let index = 0; index < ROUNDS; index += 1) {
    const usage = process.cpuUsage();
    for (const name of names) tracker.estimate(name);
    estimateTimes.push(cpuMillisecondsSince(usage));
    const recordUsage = process.cpuUsage();
    for (const [at, name] of names.entries()) {
      tracker.recordReport(name, createReport(at, clock.now()));
    }
    recordTimes.push(cpuMillisecondsSince(recordUsage) / count);
  }
  const { bytes } = measureHeap(collect, () => {
    const own = createTrackers(names);
    applyPeerDigests(own.trackers);
    return own;
  });
  return {
    replicas: count,
    peers: PEERS,
    estimateOfAllMilliseconds: roundToThousandths(medianOf(estimateTimes)),
    takeReportMicroseconds: roundToThousandths(medianOf(recordTimes) * 1_000),
    heapBytesForEachDaemon: Math.round(bytes / (PEERS + 1)),
  };
}

/** Measures the bytes of one poll, in both directions of the connection. */
async function measurePollBytes(): Promise<number> {
  const body = JSON.stringify(createReport(1, Date.now()));
  const server = createServer((_, response) => {
    response.setHeader("content-type", "application/json");
    response.end(body);
  });
  const sockets: Socket[] = [];
  server.on("connection", (socket: Socket) => sockets.push(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = createSystemClock();
  const engine = createHttpEngine({ address: `127.0.0.1:${port}`, clock });
  const polls = 50;
  for (let index = 0; index < polls; index += 1) {
    (await engine.readLoad(POLL_TIMEOUT_MILLISECONDS)).unwrap();
  }
  await engine.close();
  server.close();
  const bytes = sockets.reduce(
    (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
    0,
  );
  return Math.round(bytes / polls);
}

async function measurePolls(address: string, rate: number) {
  const clock = createSystemClock();
  const engine = createHttpEngine({ address, clock });
  for (let index = 0; index < WARM_UP_POLLS; index += 1) {
    (await engine.readLoad(POLL_TIMEOUT_MILLISECONDS)).unwrap();
  }
  const usage = process.cpuUsage();
  const start = clock.monotonic();
  const total = rate * POLL_SECONDS;
  let failed = 0;
  const all: Promise<void>[] = [];
  for (let index = 0; index < total; index += 1) {
    const due = start + index * 1_000 / rate;
    await clock.sleep(Math.max(0, due - clock.monotonic()));
    all.push(
      engine.readLoad(POLL_TIMEOUT_MILLISECONDS).then((result) => {
        if (result.isErr()) failed += 1;
      }),
    );
  }
  await Promise.all(all);
  const cpuMilliseconds = cpuMillisecondsSince(usage);
  await engine.close();
  return {
    pollsPerSecond: rate,
    processorMillisecondsForEachPoll: roundToThousandths(
      cpuMilliseconds / total,
    ),
    failed,
  };
}

async function main(): Promise<void> {
  const collect = createGarbageCollector();
  const board = REPLICAS.map((count) => measureTracker(count, collect));
  const engines = await startEngines(1, []);
  const [address = ""] = engines.addresses;
  const polls = [];
  for (const rate of POLL_RATES) polls.push(await measurePolls(address, rate));
  await engines.stop();
  const pollBytes = await measurePollBytes();
  console.log(JSON.stringify({ board, polls, pollBytes }));
}

await main();
