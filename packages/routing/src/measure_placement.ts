/**
 * Compares the placement policies in a small discrete event simulation, in
 * which several daemons decide at the same time on load reports that are 1 s
 * old. Prints JSON. Run with `node --import tsx`; the arguments are the seeds.
 */
import { createManualClock } from "@peridotvalve/clock";
import { SECOND } from "@peridotvalve/types";
import { createPrefixIndex, type PrefixIndex } from "./prefix_index.ts";
import type { PlacementRequest } from "./candidate.ts";
import {
  type Assignment,
  createSimulatedReplica,
} from "./simulated_replica.ts";
import type { Placement } from "./placement.ts";
import { createEstimatePlacement } from "./policies/estimate.ts";
import { createLeastLoadPlacement } from "./policies/least_load.ts";
import { createRandomPlacement } from "./policies/random.ts";
import { createStickyPlacement } from "./policies/sticky.ts";
import { createRandomSource, type RandomSource } from "./random_source.ts";
import { LinkBudget } from "./link_budget.ts";

const DAEMONS = 8;
const REPLICAS = 9;
const CONVERSATIONS = 400;
const DURATION = 120 * SECOND;
const TICK_MS = 100;
const TOKENS_PER_BLOCK = 2_000;

/** Mean requests per tick over all daemons; a burst lasts 2 s of every 10 s. */
const CALM_REQUESTS = 1.2;
const BURST_REQUESTS = 4;

const DEFAULT_SEEDS = [1, 2, 3, 4, 5];

const ORIGIN = { availabilityZone: "espoo", region: "uusimaa" };

interface Daemon {
  readonly placement: Placement;
  readonly prefixIndex: PrefixIndex;
}

interface Figures {
  readonly requests: number;
  readonly maximumQueue: number;
  readonly recomputedPart: number;
  readonly firstToken: {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
  };
}

const UNUSED_LINK = new (class extends LinkBudget {
  override available = () => 0;
  override bytesPerSecond = () => 0;
  override reserve = () => false;
})();

const POLICIES = {
  "least-load": () => createLeastLoadPlacement(),
  "random": (random: RandomSource) => createRandomPlacement(random),
  "sticky": () => createStickyPlacement(),
  "estimate": (random: RandomSource, prefixIndex: PrefixIndex) =>
    createEstimate(random, { prefixIndex, choices: 3 }),
  "estimate, best only": (random: RandomSource, prefixIndex: PrefixIndex) =>
    createEstimate(random, { prefixIndex, choices: 1 }),
} as const;

type PolicyName = keyof typeof POLICIES;

function createEstimate(
  random: RandomSource,
  options: { readonly prefixIndex: PrefixIndex; readonly choices: number },
): Placement {
  return createEstimatePlacement({
    ...options,
    random,
    link: UNUSED_LINK,
    origin: ORIGIN,
    zoneLatency: 1.5,
    regionLatency: 10,
  });
}

function makeRequest(conversation: number): PlacementRequest {
  const blocks = 1 + conversation % 4;
  const promptTokens = blocks * TOKENS_PER_BLOCK + 300;
  return {
    conversation: `c${conversation}`,
    customer: "kennel",
    weights: "w1",
    blocks: Array.from(
      { length: blocks },
      (_, index) => nameBlock(conversation, index),
    ),
    tokensPerBlock: TOKENS_PER_BLOCK,
    promptTokens,
    promptBytes: 4 * promptTokens,
    blockBytes: 1,
    barredZones: [],
    returning: true,
    copies: [],
  };
}

function nameBlock(conversation: number, index: number): string {
  const number = conversation * 16 + index + 1;
  const high = Math.imul(number, 0x9e3779b1) >>> 0;
  const hex = (value: number) => value.toString(16).padStart(8, "0");
  return hex(high) + hex(number);
}

/** Requests in a tick: the mean, randomly rounded up or down. */
function countRequests(now: number, random: RandomSource): number {
  const isBurst = now % (10 * SECOND) < 2 * SECOND;
  const mean = isBurst ? BURST_REQUESTS : CALM_REQUESTS;
  return Math.floor(mean + random());
}

async function runPolicy(name: PolicyName, seed: number): Promise<Figures> {
  const clock = createManualClock();
  const arrivals = createRandomSource(seed);
  const replicas = Array.from(
    { length: REPLICAS },
    (_, index) => createSimulatedReplica(`r${index}`, ORIGIN),
  );
  const daemons = Array.from({ length: DAEMONS }, (_, index): Daemon => {
    const prefixIndex = createPrefixIndex({ clock, capacity: 16_384 });
    const random = createRandomSource(1_000 * seed + index);
    return { prefixIndex, placement: POLICIES[name](random, prefixIndex) };
  });
  const done: Assignment[] = [];
  let maximumQueue = 0;

  function place(daemon: number, conversation: number): void {
    const now = clock.monotonic();
    const request = makeRequest(conversation);
    const candidates = replicas.map((replica) => replica.view(now, daemon));
    const [first] = daemons[daemon]!.placement.rank(request, candidates);
    const replica = replicas.find((entry) =>
      entry.name === first?.candidate.name
    )!;
    done.push(replica.assign(request, { now, daemon }));
    const holder = { replica: replica.name, weights: "w1" };
    daemons[daemon]!.prefixIndex.recordDispatch(holder, request.blocks);
    maximumQueue = Math.max(maximumQueue, replica.countWaiting(now));
  }

  while (clock.monotonic() < DURATION) {
    const count = countRequests(clock.monotonic(), arrivals);
    for (let index = 0; index < count; index += 1) {
      const daemon = Math.floor(arrivals() * DAEMONS);
      // Squaring makes some conversations return more often than others.
      place(daemon, Math.floor(arrivals() ** 2 * CONVERSATIONS));
    }
    await clock.advance(TICK_MS);
  }
  return summarize(done, maximumQueue);
}

function summarize(
  done: readonly Assignment[],
  maximumQueue: number,
): Figures {
  const sorted = done.map((entry) => entry.firstToken)
    .sort((left, right) => left - right);
  const at = (part: number) =>
    Math.round(sorted[Math.floor(part * (sorted.length - 1))]!);
  const total = (pick: (entry: Assignment) => number) =>
    done.reduce((sum, entry) => sum + pick(entry), 0);
  const recomputedFraction = total((entry) => entry.recomputed) /
    total((entry) => entry.tokens);
  return {
    requests: done.length,
    maximumQueue,
    recomputedPart: round(recomputedFraction),
    firstToken: { p50: at(0.5), p95: at(0.95), p99: at(0.99) },
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}

/** For each policy, the median over the seeds of its ratio to `estimate`. */
function compare(
  runs: readonly Readonly<Record<string, Figures>>[],
  pick: (figures: Figures) => number,
): Readonly<Record<string, number>> {
  const names = Object.keys(POLICIES);
  return Object.fromEntries(names.map((name) => {
    const ratios = runs.map((run) =>
      pick(run[name]!) / Math.max(1, pick(run["estimate"]!))
    );
    return [name, round(medianOf(ratios))];
  }));
}

async function main(): Promise<void> {
  const named = process.argv.slice(2).map(Number);
  const seeds = named.length > 0 ? named : DEFAULT_SEEDS;
  const runs: Readonly<Record<string, Figures>>[] = [];
  for (const seed of seeds) {
    const run: Record<string, Figures> = {};
    for (const name of Object.keys(POLICIES) as PolicyName[]) {
      run[name] = await runPolicy(name, seed);
    }
    runs.push(run);
  }
  const ratios = {
    maximumQueue: compare(runs, (figures) => figures.maximumQueue),
    firstTokenP50: compare(runs, (figures) => figures.firstToken.p50),
    firstTokenP95: compare(runs, (figures) => figures.firstToken.p95),
    firstTokenP99: compare(runs, (figures) => figures.firstToken.p99),
  };
  console.log(JSON.stringify({ seeds, runs, ratiosToEstimate: ratios }));
}

await main();
