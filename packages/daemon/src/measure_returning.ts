/**
 * Measures the time to first token of new prompts, of repeated prompts that the
 * replica still holds, and of repeated prompts after eviction with the block
 * cache on and off, interleaved in one run. The daemon and the stand-ins share
 * one process, so absolute times apply to this setup only.
 *
 * `node --import tsx packages/daemon/src/measure_returning.ts SEED [ROUNDS]
 * [near|far]`; "far" places the store VMs across the region link.
 */
import { createRandomSource } from "@peridotvalve/routing";
import {
  type Answer,
  type CacheTestbed,
  CUSTOMERS,
  makePrompt,
  type Question,
  startCacheTestbed,
} from "./cache/testing.ts";

const TOKENS_PER_BLOCK = 2_000;
const PREFILL_TOKENS_PER_SECOND = 8_000;

/** Prompts have three or four full blocks; the memory holds one prompt. */
const MINIMUM_TOKENS = 6_100;
const SPREAD_TOKENS = 3_800;
const MEMORY_BLOCKS = 4;

/** Cache events are delayed by 0.5 s and polled once a second. */
const EVENT_WAIT_MILLISECONDS = 2_000;
const PUBLISH_WAIT_MILLISECONDS = 500;

const KINDS = ["new", "held", "evicted, on", "evicted, off"] as const;
type Kind = typeof KINDS[number];

const [CACHED_CUSTOMER, UNCACHED_CUSTOMER] = CUSTOMERS;

type Samples = Readonly<Record<Kind, Answer[]>>;

async function main(): Promise<void> {
  const [seedText = "1", roundsText = "8", place = "near"] = process.argv
    .slice(2);
  const seed = Number(seedText);
  const random = createRandomSource(seed);
  const zone = place === "far" ? "vaasa" : "espoo";
  const testbed = await startCacheTestbed({
    tokensPerBlock: TOKENS_PER_BLOCK,
    engine: {
      seed,
      blocks: MEMORY_BLOCKS,
      prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
      reportLag: 500,
      eventLag: 500,
    },
    storeZones: [zone, zone],
    duties: [{ duty: "cache", on: false, customer: UNCACHED_CUSTOMER }],
  });
  const samples: Samples = {
    "new": [],
    "held": [],
    "evicted, on": [],
    "evicted, off": [],
  };
  for (let round = 0; round < Number(roundsText); round += 1) {
    const size = MINIMUM_TOKENS + Math.floor(random() * SPREAD_TOKENS);
    const order = random() < 0.5 ? CUSTOMERS : [...CUSTOMERS].reverse();
    for (const customer of order) {
      const subject = `seed ${seed} round ${round}`;
      const prompt = makePrompt(subject, size);
      const question = { customer, conversation: subject, prompt };
      await runRound(testbed, question, samples);
    }
  }
  const linkBytes = await testbed.readMetric("peridotvalve_link_bytes_total");
  await testbed.close();
  console.log(
    JSON.stringify({ seed, place, linkBytes, ...summarize(samples) }),
  );
}

async function runRound(
  testbed: CacheTestbed,
  question: Question,
  samples: Samples,
): Promise<void> {
  samples.new.push(await askAndVerify(testbed, question));
  await sleep(PUBLISH_WAIT_MILLISECONDS);
  samples.held.push(await askAndVerify(testbed, question));
  // Evicts the prompt. The filler belongs to the customer without the cache,
  // so its blocks are not published.
  await askAndVerify(testbed, {
    customer: UNCACHED_CUSTOMER,
    conversation: `filler ${question.conversation}`,
    prompt: makePrompt(`filler ${question.conversation}`, 9_900),
  });
  await sleep(EVENT_WAIT_MILLISECONDS);
  const kind = question.customer === CACHED_CUSTOMER
    ? "evicted, on"
    : "evicted, off";
  samples[kind].push(await askAndVerify(testbed, question));
}

async function askAndVerify(
  testbed: CacheTestbed,
  question: Question,
): Promise<Answer> {
  const answer = await testbed.ask(question);
  if (answer.text === testbed.expect(question)) return answer;
  throw new Error(`wrong answer with status ${answer.status}`);
}

function summarize(samples: Samples) {
  const base = medianOf(samples.new.map((answer) => answer.firstToken));
  return Object.fromEntries(KINDS.map((kind) => {
    const answers = samples[kind];
    const median = medianOf(answers.map((answer) => answer.firstToken));
    const tokens = answers.reduce((all, one) => all + one.promptTokens, 0);
    const cached = answers.reduce((all, one) => all + one.cachedTokens, 0);
    return [kind, {
      count: answers.length,
      milliseconds: Math.round(median),
      ratioToNew: Number((median / base).toFixed(3)),
      recomputedShare: Number((1 - cached / tokens).toFixed(3)),
    }];
  }));
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[middle] ?? 0;
  return ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

await main();
