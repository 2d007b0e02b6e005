/**
 * Runs a daemon with engine, store VM and platform stand-ins in one process, for
 * the tests and measurements of the block cache.
 */
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type EngineStandinOptions,
  expectedAnswer,
  type Standin,
  startEngineStandin,
  startPlatformStandin,
  startStoreVmStandin,
} from "@peridotvalve/standins";
import { createDaemon } from "../daemon.ts";

export interface Answer {
  readonly status: number;
  readonly text: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Time to first token of the streamed answer in ms. */
  readonly firstToken: number;
}

export interface Question {
  readonly customer: string;
  readonly conversation: string;
  readonly prompt: string;
}

export interface CacheTestbed {
  readonly engines: readonly Standin[];
  readonly stores: readonly Standin[];
  readonly lines: readonly string[];
  ask(question: Question): Promise<Answer>;
  /** The expected answer to a question. */
  expect(question: Question, weights?: string): string;
  /** Value of a metric, summed over the samples that contain the label text. */
  readMetric(name: string, label?: string): Promise<number>;
  /** Waits until this many exports have been confirmed since the start. */
  waitForPublished(count: number): Promise<void>;
  close(): Promise<void>;
}

export interface CacheTestbedOptions {
  readonly engines?: number;
  readonly stores?: number;
  readonly engine?: EngineStandinOptions;
  readonly tokensPerBlock?: number;
  readonly duties?: readonly unknown[];
  /** Availability zones of engines and store VMs, by index. */
  readonly engineZones?: readonly string[];
  readonly storeZones?: readonly string[];
  readonly linkBytesPerSecond?: number;
}

const TOKENS_PER_BLOCK = 50;
const MODEL = "sizing-llm";
const WEIGHTS = "w1";
export const CUSTOMERS = ["kennel-a", "kennel-b"] as const;
const ANSWER_TOKENS = 6;
const OPERATOR_TOKEN = "operator-token-of-the-cache-bed";

export async function startCacheTestbed(
  options: CacheTestbedOptions = {},
): Promise<CacheTestbed> {
  const tokensPerBlock = options.tokensPerBlock ?? TOKENS_PER_BLOCK;
  const engineOptions = {
    tokensPerBlock,
    weights: WEIGHTS,
    prefillTokensPerSecond: 1_000,
    reportLag: 0,
    eventLag: 0,
    ...options.engine,
  };
  const engines = await startAll(
    options.engines ?? 1,
    () => startEngineStandin(engineOptions),
  );
  const stores = await startAll(
    options.stores ?? 2,
    () => startStoreVmStandin(),
  );
  const platform = await startPlatformStandin();
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-cache-"));
  const content = createConfiguration({ engines, stores }, {
    ...options,
    tokensPerBlock,
    prefillTokensPerSecond: Number(engineOptions.prefillTokensPerSecond),
  });
  writeFileSync(join(folder, "10-all.yaml"), JSON.stringify(content));
  const lines: string[] = [];
  const daemon = (await createDaemon({
    name: "espoo-1",
    availabilityZone: "espoo",
    region: "uusimaa",
    listeners: {
      callers: "127.0.0.1:0",
      peers: "127.0.0.1:0",
      operators: "127.0.0.1:0",
    },
    platform: platform.address,
    seeds: [],
    peerSecret: "peer-secret-of-the-cache-bed-0000",
    operatorToken: OPERATOR_TOKEN,
    bootstrapFolder: folder,
    logLevel: "trace",
    leaseDuration: 15_000,
    vm: {},
    shutdown: { balancerDelay: 0, requestLimit: 600_000, limit: 5_000 },
  }, { write: (line) => lines.push(line) })).unwrap();

  async function readMetric(name: string, label = ""): Promise<number> {
    const url = `http://${daemon.addresses.operators}/metrics`;
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const text = await (await fetch(url, { headers })).text();
    return text.split("\n")
      .filter((line) => line.startsWith(name) && line.includes(label))
      .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
  }

  return {
    engines,
    stores,
    lines,
    readMetric,
    ask: (question) => ask(daemon.addresses.callers, question),
    expect: ({ customer, prompt }, weights = WEIGHTS) =>
      expectedAnswer({
        customer,
        weights,
        prompt: render(prompt),
        maxTokens: ANSWER_TOKENS,
      }, { tokensPerBlock }).join(""),
    async waitForPublished(count) {
      const name = "peridotvalve_cache_blocks_total";
      for (let tries = 0; tries < 200; tries += 1) {
        if (await readMetric(name, "published") >= count) return;
        await new Promise((resolve) => setTimeout(resolve, 25));
      }
      throw new Error(`${count} blocks were not published`);
    },
    async close() {
      await daemon.stop("end of the test");
      const all = [...engines, ...stores, platform];
      await Promise.all(all.map((standin) => standin.close()));
      rmSync(folder, { recursive: true });
    },
  };
}

export async function setFaults(
  standin: Standin,
  faults: unknown,
): Promise<void> {
  await post(`http://${standin.address}/control/faults`, faults);
}

export async function post(url: string, body: unknown): Promise<void> {
  const answer = await fetch(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await answer.arrayBuffer();
}

/** Creates a prompt of the given length that is unique to the subject. */
export function makePrompt(subject: string, tokens: number): string {
  const words = `${subject} chest 62 cm, back 48 cm. `;
  return words.repeat(Math.ceil(tokens * 4 / words.length))
    .slice(0, tokens * 4);
}

function startAll(
  count: number,
  start: () => Promise<Standin>,
): Promise<readonly Standin[]> {
  return Promise.all(Array.from({ length: count }, start));
}

function render(prompt: string): string {
  return `<|user|>${prompt}\n`;
}

async function ask(address: string, question: Question): Promise<Answer> {
  const startedAt = performance.now();
  const answer = await fetch(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${question.customer}` },
    body: JSON.stringify({
      model: MODEL,
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: ANSWER_TOKENS,
      prompt_cache_key: question.conversation,
      messages: [{ role: "user", content: question.prompt }],
    }),
  });
  let firstToken = 0;
  let body = "";
  const decoder = new TextDecoder();
  for await (const part of answer.body ?? []) {
    body += decoder.decode(part as Uint8Array, { stream: true });
    if (firstToken === 0 && body.includes("content")) {
      firstToken = performance.now() - startedAt;
    }
  }
  const chunks = body.split("\n")
    .filter((line) => line.startsWith("data: {"))
    .map((line) => JSON.parse(line.slice("data: ".length)));
  const usage = chunks.at(-1)?.usage;
  return {
    status: answer.status,
    text: chunks.map((chunk) => chunk.choices?.[0]?.delta.content ?? "")
      .join(""),
    promptTokens: usage?.prompt_tokens ?? 0,
    cachedTokens: usage?.prompt_tokens_details.cached_tokens ?? 0,
    firstToken,
  };
}

function createConfiguration(
  parts: {
    readonly engines: readonly Standin[];
    readonly stores: readonly Standin[];
  },
  options: CacheTestbedOptions & {
    readonly tokensPerBlock: number;
    readonly prefillTokensPerSecond: number;
  },
): unknown {
  const { tokensPerBlock, prefillTokensPerSecond } = options;
  const replicas = parts.engines.map(({ address }, index) => [
    `engine-${index + 1}`,
    {
      address,
      availabilityZone: options.engineZones?.[index] ?? "espoo",
      slots: 8,
      prefillTokensPerSecond,
    },
  ]);
  const vms = parts.stores.map(({ address }, index) => [
    `store-${index + 1}`,
    {
      address,
      availabilityZone: options.storeZones?.[index] ?? "espoo",
      bytesPerSecond: 125_000_000,
    },
  ]);
  const customers = CUSTOMERS.map((name) => [name, {
    keyHashes: [createHash("sha256").update(name).digest("hex")],
    share: 1,
    concurrency: 64,
    requestsPerSecond: 1_000,
  }]);
  const duties = ["chat", "cache", "configuration"]
    .map((duty) => ({ duty, on: true }));
  return {
    regions: {
      uusimaa: { availabilityZones: ["espoo"] },
      pohjanmaa: { availabilityZones: ["vaasa"] },
    },
    link: {
      bytesPerSecond: options.linkBytesPerSecond ?? 2_500_000,
      share: 0.5,
      oneWayMilliseconds: 9.5,
    },
    groups: {
      [MODEL]: {
        weights: WEIGHTS,
        checksFencing: true,
        tokensPerBlock,
        parallelLoads: 1,
        minimumReady: 0,
        caches: ["guide-cache"],
        replicas: Object.fromEntries(replicas),
      },
    },
    caches: { "guide-cache": { vms: Object.fromEntries(vms) } },
    services: {},
    customers: Object.fromEntries(customers),
    duties: [...duties, ...options.duties ?? []],
    limits: {
      requestBytes: 4_194_304,
      headersTimeout: 10_000,
      bodyTimeout: 30_000,
      defaultPatience: 60_000,
      queueLength: 256,
      firstTokenTimeout: 10_000,
      betweenTokensTimeout: 2_000,
      maxTokens: 4_096,
    },
    policy: { placement: "estimate", retryPercent: 10, hedgePercent: 5 },
  };
}
