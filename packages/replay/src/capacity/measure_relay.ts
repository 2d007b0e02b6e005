/**
 * Prints JSON with what one daemon process relays on one core, the memory of
 * open streams, the delay that it adds over a direct call to the engine, and
 * the processor time and memory of idle daemons. The engines are stand-ins that
 * answer at once; the daemon's figures come from /proc.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_relay.ts`.
 */
import { execFileSync } from "node:child_process";
import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  type Deployment,
  shortenShutdown,
  startDeployment,
} from "@peridotvalve/testbed";
import { Agent, request } from "undici";
import { medianOf, quantileOf, round } from "./measuring.ts";
import { readProcessorMilliseconds, readResidentBytes } from "./proc.ts";

const SEED = 1;
const MODEL = "shop-app";
const ENGINE = "shop-app-espoo-1";
const CUSTOMER = "pet-shops-uusimaa";
const DAEMON = "espoo-1";
const TOKENS = [1, 20, 100, 400];
const CALLERS = 32;
const LOAD_MILLISECONDS = 2_500;
const LOAD_ROUNDS = 2;
const STREAMS = [100, 300, 1_000];
const DELAY_CALLERS = [1, 8, 32];
const DELAY_PAIRS = 240;
const IDLE_MILLISECONDS = 5_000;
const SETTLE_MILLISECONDS = 2_000;
const MORE_DAEMONS = ["espoo-2", "espoo-3"];

const agent = new Agent({ connections: 2_000, bodyTimeout: 0 });

/** Lifts the limits of the example, so that the daemon is what is measured. */
function liftLimits(text: string): string {
  return shortenShutdown(text)
    .replace(/slots: \d+/g, "slots: 2000")
    .replace(/concurrency: \d+/g, "concurrency: 10000")
    .replace(/requestsPerSecond: \d+/g, "requestsPerSecond: 100000")
    .replace(/queueLength: \d+/, "queueLength: 5000");
}

/** Streams one completion through the daemon; the time to its first byte. */
async function chat(
  deployment: Deployment,
  tokens: number,
  signal?: AbortSignal,
): Promise<number> {
  const begun = performance.now();
  const address = deployment.addressOf(DAEMON);
  const answer = await request(`http://${address}/v1/chat/completions`, {
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
  if (answer.statusCode !== 200) throw new Error(await answer.body.text());
  return await readStream(answer.body, begun);
}

let directCalls = 0;

/** The same completion from the engine itself. */
async function callEngine(
  deployment: Deployment,
  tokens: number,
): Promise<number> {
  const begun = performance.now();
  const address = deployment.addressOf(ENGINE);
  directCalls += 1;
  const answer = await request(`http://${address}/generate`, {
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
  if (answer.statusCode !== 200) throw new Error(await answer.body.text());
  return await readStream(answer.body, begun);
}

async function readStream(
  body: AsyncIterable<Buffer>,
  begun: number,
): Promise<number> {
  let first = NaN;
  for await (const _ of body) {
    if (Number.isNaN(first)) first = performance.now() - begun;
  }
  return first;
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
  const before = readProcessorMilliseconds(pid);
  const begun = performance.now();
  async function callAgainAndAgain(): Promise<void> {
    while (performance.now() < end) {
      await chat(deployment, tokens);
      requests += 1;
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, callAgainAndAgain));
  const elapsed = performance.now() - begun;
  const processor = readProcessorMilliseconds(pid) - before;
  return {
    requestsPerSecond: requests / elapsed * 1_000,
    coreShare: processor / elapsed,
    processorMillisecondsForEachRequest: processor / requests,
  };
}

async function measureLoads(deployment: Deployment) {
  for (const tokens of TOKENS) await chat(deployment, tokens);
  await measureLoad(deployment, 20);
  const samples = TOKENS.map(() =>
    [] as Awaited<ReturnType<typeof measureLoad>>[]
  );
  for (let index = 0; index < LOAD_ROUNDS; index += 1) {
    for (const [at, tokens] of TOKENS.entries()) {
      samples[at]?.push(await measureLoad(deployment, tokens));
    }
  }
  return samples.map((all, at) => {
    const tokens = TOKENS[at] ?? 0;
    const cost = medianOf(
      all.map((one) => one.processorMillisecondsForEachRequest),
    );
    return {
      tokensForEachRequest: tokens,
      requestsPerSecond: round(medianOf(all.map((s) => s.requestsPerSecond))),
      coreShare: round(medianOf(all.map((one) => one.coreShare))),
      processorMillisecondsForEachRequest: round(cost),
      requestsPerCoreSecond: round(1_000 / cost),
      tokensPerCoreSecond: round(1_000 / cost * tokens),
    };
  });
}

async function measureDelay(deployment: Deployment, callers: number) {
  const direct: number[] = [];
  const relayed: number[] = [];
  async function pairs(): Promise<void> {
    for (let index = 0; index < DELAY_PAIRS / callers; index += 1) {
      direct.push(await callEngine(deployment, 5));
      relayed.push(await chat(deployment, 5));
    }
  }
  await Promise.all(Array.from({ length: callers }, pairs));
  const ratioAt = (part: number) =>
    round(quantileOf(relayed, part) / quantileOf(direct, part));
  const addedAt = (part: number) =>
    round(quantileOf(relayed, part) - quantileOf(direct, part));
  return {
    callers,
    pairs: direct.length,
    directMedianMilliseconds: round(medianOf(direct)),
    addedMedianMilliseconds: addedAt(0.5),
    addedP99Milliseconds: addedAt(0.99),
    medianRatio: ratioAt(0.5),
    p99Ratio: ratioAt(0.99),
  };
}

let probes = 0;

/** Bytes that the daemon holds after a garbage collection. */
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
  const before = await probeMemory(deployment);
  const ended = new AbortController();
  setMaxListeners(0, ended.signal);
  const all = Array.from(
    { length: count },
    () => chat(deployment, 4_000, ended.signal).catch(() => NaN),
  );
  await sleep(SETTLE_MILLISECONDS + 2 * count);
  const processor = readProcessorMilliseconds(pid);
  await sleep(SETTLE_MILLISECONDS);
  const used = readProcessorMilliseconds(pid) - processor;
  const running = await countRunning(deployment);
  const after = await probeMemory(deployment);
  ended.abort();
  await Promise.all(all);
  return {
    streams: count,
    running,
    growthBytes: after - before,
    bytesForEach: Math.round((after - before) / running),
    coreShare: round(used / SETTLE_MILLISECONDS),
  };
}

async function countRunning(deployment: Deployment): Promise<number> {
  const engines = [...deployment.processes.keys()]
    .filter((name) => name.startsWith(`${MODEL}-`));
  let running = 0;
  for (const name of engines) {
    const answer = await fetch(`http://${deployment.addressOf(name)}/load`);
    const report = await answer.json() as { readonly running: number };
    running += report.running;
  }
  return running;
}

async function slowEngines(deployment: Deployment, slowFactor: number) {
  const engines = [...deployment.processes.keys()]
    .filter((name) => name.startsWith(`${MODEL}-`));
  for (const name of engines) await deployment.setFaults(name, { slowFactor });
}

/** Processor time and memory of daemons without callers. */
async function measureIdle(deployment: Deployment) {
  const results = [];
  const daemons = [DAEMON];
  for (const more of [undefined, ...MORE_DAEMONS]) {
    if (more !== undefined) {
      await deployment.startDaemon(more);
      daemons.push(more);
    }
    await sleep(SETTLE_MILLISECONDS);
    const pids = daemons.map((name) => pidOf(deployment, name));
    const before = pids.map(readProcessorMilliseconds);
    await sleep(IDLE_MILLISECONDS);
    const shares = pids.map((pid, index) =>
      (readProcessorMilliseconds(pid) - (before[index] ?? 0)) /
      IDLE_MILLISECONDS
    );
    results.push({
      daemons: daemons.length,
      coreShare: round(medianOf(shares)),
      residentBytes: medianOf(pids.map(readResidentBytes)),
    });
  }
  return results;
}

/** Memory of Node.js alone, with the loader, and with moleculer. */
function measureBases() {
  const print = "console.log(JSON.stringify(process.memoryUsage()))";
  const cases = {
    "node": ["-e", print],
    "node and loader": ["--import", "tsx", "-e", print],
    "node, loader and moleculer": [
      "--import",
      "tsx",
      "-e",
      `require("moleculer");require("moleculer-web");${print}`,
    ],
  };
  return Object.entries(cases).map(([name, words]) => {
    const output = execFileSync(process.execPath, words, { encoding: "utf8" });
    const { rss, heapUsed } = JSON.parse(output) as NodeJS.MemoryUsage;
    return { name, residentBytes: rss, heapBytes: heapUsed };
  });
}

async function main(): Promise<void> {
  const bases = measureBases();
  const probe = fileURLToPath(new URL("./memory_probe.ts", import.meta.url));
  process.env["NODE_OPTIONS"] = `--import tsx --import ${probe}`;
  const deployment = await startDeployment({
    example: "examples/koiratakki",
    daemons: [DAEMON],
    groups: [MODEL],
    seed: SEED,
    edit: liftLimits,
    engineWords: [
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
    for (const callers of DELAY_CALLERS) {
      delays.push(await measureDelay(deployment, callers));
    }
    await slowEngines(deployment, 500);
    const streams = [];
    for (const count of STREAMS) {
      streams.push(await measureStreams(deployment, count));
    }
    await slowEngines(deployment, 1);
    const idle = await measureIdle(deployment);
    console.log(JSON.stringify({ bases, loads, delays, streams, idle }));
  } finally {
    await deployment.stop();
    await agent.destroy();
  }
}

await main();
