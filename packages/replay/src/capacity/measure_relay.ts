/**
 * Measures the throughput of one daemon process on one core, the memory of open
 * streams, the delay added to a direct call to the engine, and the CPU time and
 * memory of idle daemons, and prints them as JSON. The engines are stand-ins
 * that answer at once. CPU time and resident memory of the daemons are read from
 * /proc.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_relay.ts`.
 */
import { execFileSync } from "node:child_process";
import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  type Deployment,
  shortenBalancerDelay,
  startDeployment,
} from "@peridotvalve/testbed";
import { Agent, request } from "undici";
import { medianOf, quantileOf, roundToThousandths } from "./measuring.ts";
import { readCpuMilliseconds, readResidentBytes } from "./proc.ts";

const SEED = 1;
const MODEL = "shop-app";
const ENGINE = "shop-app-espoo-1";
const CUSTOMER = "pet-shops-uusimaa";
const DAEMON = "espoo-1";
const TOKEN_COUNTS = [1, 20, 100, 400];
const CALLER_COUNT = 32;
const LOAD_MILLISECONDS = 2_500;
const LOAD_ROUNDS = 2;
const STREAM_COUNTS = [100, 300, 1_000];
const DELAY_CALLER_COUNTS = [1, 8, 32];
const DELAY_PAIRS = 240;
const IDLE_MILLISECONDS = 5_000;
const SETTLE_MILLISECONDS = 2_000;
const ADDITIONAL_DAEMONS = ["espoo-2", "espoo-3"];

const agent = new Agent({ connections: 2_000, bodyTimeout: 0 });

/** Raises the limits of the example, so that only the daemon limits the load. */
function raiseLimits(text: string): string {
  return shortenBalancerDelay(text)
    .replace(/slots: \d+/g, "slots: 2000")
    .replace(/concurrency: \d+/g, "concurrency: 10000")
    .replace(/requestsPerSecond: \d+/g, "requestsPerSecond: 100000")
    .replace(/queueLength: \d+/, "queueLength: 5000");
}

/** Streams one completion through the daemon; returns the ms to first byte. */
async function streamFromDaemon(
  deployment: Deployment,
  tokens: number,
  signal?: AbortSignal,
): Promise<number> {
  const start = performance.now();
  const address = deployment.addressOf(DAEMON);
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: "POST",
    dispatcher: agent,
    headers: { authorization: `Bearer ${deployment.keys[CUSTOMER]}` },
    body: JSON.stringify({
      model: MODEL,
      stream: true,
      max_tokens: 4_096,
      messages: [{ role: "user", content: `[[tokens=${tokens}]]` }],
    }),
    ...(signal === undefined ? {} : { signal }),
  });
  if (response.statusCode !== 200) throw new Error(await response.body.text());
  return await measureFirstByte(response.body, start);
}

let directCalls = 0;

/** Streams the same completion directly from the engine. */
async function streamFromEngine(
  deployment: Deployment,
  tokens: number,
): Promise<number> {
  const start = performance.now();
  const address = deployment.addressOf(ENGINE);
  directCalls += 1;
  const response = await request(`http://${address}/generate`, {
    method: "POST",
    dispatcher: agent,
    body: JSON.stringify({
      attempt: `att_direct_${directCalls}`,
      request: `req_direct_${directCalls}`,
      customer: CUSTOMER,
      weights: deployment.configuration.groups[MODEL]?.weights,
      prompt: `<|user|>[[tokens=${tokens}]]\n`,
      maxTokens: 4_096,
      priority: 0,
    }),
  });
  if (response.statusCode !== 200) throw new Error(await response.body.text());
  return await measureFirstByte(response.body, start);
}

/** Reads the whole body; returns the ms from `start` to its first byte. */
async function measureFirstByte(
  body: AsyncIterable<Buffer>,
  start: number,
): Promise<number> {
  let firstByte = NaN;
  for await (const _ of body) {
    if (Number.isNaN(firstByte)) firstByte = performance.now() - start;
  }
  return firstByte;
}

function pidOf(deployment: Deployment, name: string): number {
  const found = deployment.processes.get(name);
  if (found === undefined) throw new Error(`no process ${name}`);
  return found.pid;
}

async function measureLoad(deployment: Deployment, tokens: number) {
  const pid = pidOf(deployment, DAEMON);
  let requests = 0;
  const end = performance.now() + LOAD_MILLISECONDS;
  const cpuBefore = readCpuMilliseconds(pid);
  const start = performance.now();
  async function runCaller(): Promise<void> {
    while (performance.now() < end) {
      await streamFromDaemon(deployment, tokens);
      requests += 1;
    }
  }
  await Promise.all(Array.from({ length: CALLER_COUNT }, runCaller));
  const elapsed = performance.now() - start;
  const cpuMilliseconds = readCpuMilliseconds(pid) - cpuBefore;
  return {
    requestsPerSecond: requests / elapsed * 1_000,
    coreShare: cpuMilliseconds / elapsed,
    processorMillisecondsForEachRequest: cpuMilliseconds / requests,
  };
}

async function measureLoads(deployment: Deployment) {
  for (const tokens of TOKEN_COUNTS) await streamFromDaemon(deployment, tokens);
  await measureLoad(deployment, 20);
  const samples = TOKEN_COUNTS.map(() =>
    [] as Awaited<ReturnType<typeof measureLoad>>[]
  );
  for (let index = 0; index < LOAD_ROUNDS; index += 1) {
    for (const [at, tokens] of TOKEN_COUNTS.entries()) {
      samples[at]?.push(await measureLoad(deployment, tokens));
    }
  }
  return samples.map((all, at) => {
    const tokens = TOKEN_COUNTS[at] ?? 0;
    const cost = medianOf(
      all.map((one) => one.processorMillisecondsForEachRequest),
    );
    return {
      tokensForEachRequest: tokens,
      requestsPerSecond: roundToThousandths(
        medianOf(all.map((s) => s.requestsPerSecond)),
      ),
      coreShare: roundToThousandths(medianOf(all.map((one) => one.coreShare))),
      processorMillisecondsForEachRequest: roundToThousandths(cost),
      requestsPerCoreSecond: roundToThousandths(1_000 / cost),
      tokensPerCoreSecond: roundToThousandths(1_000 / cost * tokens),
    };
  });
}

async function measureDelay(deployment: Deployment, callers: number) {
  const direct: number[] = [];
  const relayed: number[] = [];
  async function runCaller(): Promise<void> {
    for (let index = 0; index < DELAY_PAIRS / callers; index += 1) {
      direct.push(await streamFromEngine(deployment, 5));
      relayed.push(await streamFromDaemon(deployment, 5));
    }
  }
  await Promise.all(Array.from({ length: callers }, runCaller));
  const ratioAt = (fraction: number) =>
    roundToThousandths(
      quantileOf(relayed, fraction) / quantileOf(direct, fraction),
    );
  const addedAt = (fraction: number) =>
    roundToThousandths(
      quantileOf(relayed, fraction) - quantileOf(direct, fraction),
    );
  return {
    callers,
    pairs: direct.length,
    directMedianMilliseconds: roundToThousandths(medianOf(direct)),
    addedMedianMilliseconds: addedAt(0.5),
    addedP99Milliseconds: addedAt(0.99),
    medianRatio: ratioAt(0.5),
    p99Ratio: ratioAt(0.99),
  };
}

let probes = 0;

/** Returns the bytes in use in the daemon after a garbage collection. */
async function probeMemory(deployment: Deployment): Promise<number> {
  const daemon = deployment.processes.get(DAEMON);
  probes += 1;
  daemon?.signal("SIGUSR2");
  const line = await daemon?.waitForLine((text) =>
    text.includes(`"probe":${probes},`)
  );
  return (JSON.parse(line ?? "{}") as { readonly bytes: number }).bytes;
}

async function measureStreams(deployment: Deployment, count: number) {
  const pid = pidOf(deployment, DAEMON);
  await sleep(SETTLE_MILLISECONDS);
  const bytesBefore = await probeMemory(deployment);
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  const all = Array.from(
    { length: count },
    () =>
      streamFromDaemon(deployment, 4_000, controller.signal).catch(() => NaN),
  );
  await sleep(SETTLE_MILLISECONDS + 2 * count);
  const cpuBefore = readCpuMilliseconds(pid);
  await sleep(SETTLE_MILLISECONDS);
  const cpuMilliseconds = readCpuMilliseconds(pid) - cpuBefore;
  const running = await countRunningRequests(deployment);
  const bytesAfter = await probeMemory(deployment);
  controller.abort();
  await Promise.all(all);
  return {
    streams: count,
    running,
    growthBytes: bytesAfter - bytesBefore,
    bytesForEach: Math.round((bytesAfter - bytesBefore) / running),
    coreShare: roundToThousandths(cpuMilliseconds / SETTLE_MILLISECONDS),
  };
}

async function countRunningRequests(deployment: Deployment): Promise<number> {
  const engines = [...deployment.processes.keys()]
    .filter((name) => name.startsWith(`${MODEL}-`));
  let running = 0;
  for (const name of engines) {
    const response = await fetch(`http://${deployment.addressOf(name)}/load`);
    const report = await response.json() as { readonly running: number };
    running += report.running;
  }
  return running;
}

async function setSlowFactor(deployment: Deployment, slowFactor: number) {
  const engines = [...deployment.processes.keys()]
    .filter((name) => name.startsWith(`${MODEL}-`));
  for (const name of engines) await deployment.setFaults(name, { slowFactor });
}

/** Measures the CPU time and memory of 1 to 3 daemons without callers. */
async function measureIdle(deployment: Deployment) {
  const results = [];
  const daemons = [DAEMON];
  for (const additionalDaemon of [undefined, ...ADDITIONAL_DAEMONS]) {
    if (additionalDaemon !== undefined) {
      await deployment.startDaemon(additionalDaemon);
      daemons.push(additionalDaemon);
    }
    await sleep(SETTLE_MILLISECONDS);
    const pids = daemons.map((name) => pidOf(deployment, name));
    const cpuBefore = pids.map(readCpuMilliseconds);
    await sleep(IDLE_MILLISECONDS);
    const shares = pids.map((pid, index) =>
      (readCpuMilliseconds(pid) - (cpuBefore[index] ?? 0)) /
      IDLE_MILLISECONDS
    );
    results.push({
      daemons: daemons.length,
      coreShare: roundToThousandths(medianOf(shares)),
      residentBytes: medianOf(pids.map(readResidentBytes)),
    });
  }
  return results;
}

/** Measures the memory of Node.js alone, with tsx and with moleculer. */
function measureBaselines() {
  const printMemory = "console.log(JSON.stringify(process.memoryUsage()))";
  const cases = {
    "node": ["-e", printMemory],
    "node and loader": ["--import", "tsx", "-e", printMemory],
    "node, loader and moleculer": [
      "--import",
      "tsx",
      "-e",
      `require("moleculer");require("moleculer-web");${printMemory}`,
    ],
  };
  return Object.entries(cases).map(([name, args]) => {
    const output = execFileSync(process.execPath, args, { encoding: "utf8" });
    const { rss, heapUsed } = JSON.parse(output) as NodeJS.MemoryUsage;
    return { name, residentBytes: rss, heapBytes: heapUsed };
  });
}

async function main(): Promise<void> {
  const bases = measureBaselines();
  const probe = fileURLToPath(new URL("./memory_probe.ts", import.meta.url));
  process.env["NODE_OPTIONS"] = `--import tsx --import ${probe}`;
  const deployment = await startDeployment({
    example: "examples/koiratakki",
    daemons: [DAEMON],
    groups: [MODEL],
    seed: SEED,
    edit: raiseLimits,
    engineArguments: [
      ...["--stepDuration", "1", "--stepDurationPerSequence", "0"],
      ...[
        "--stepTokens",
        "100000",
        "--maxRunning",
        "2000",
        "--maxWaiting",
        "5000",
      ],
      ...["--prefillTokensPerSecond", "100000000"],
    ],
  });
  try {
    const loads = await measureLoads(deployment);
    const delays = [];
    for (const callers of DELAY_CALLER_COUNTS) {
      delays.push(await measureDelay(deployment, callers));
    }
    await setSlowFactor(deployment, 500);
    const streams = [];
    for (const count of STREAM_COUNTS) {
      streams.push(await measureStreams(deployment, count));
    }
    await setSlowFactor(deployment, 1);
    const idle = await measureIdle(deployment);
    console.log(JSON.stringify({ bases, loads, delays, streams, idle }));
  } finally {
    await deployment.stop();
    await agent.destroy();
  }
}

await main();
