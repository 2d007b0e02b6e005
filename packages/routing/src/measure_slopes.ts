/**
 * Measures the CPU time of one placement decision for several numbers of
 * candidates and the memory of the prefix index for several numbers of prompts,
 * and prints them as JSON. The capacity page is derived from these figures. Run
 * with `node --import tsx`.
 */
import { createSystemClock } from "@peridotvalve/clock";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createPrefixIndex } from "./prefix_index.ts";
import type { Candidate, PlacementRequest } from "./candidate.ts";
import { LinkBudget } from "./link_budget.ts";
import { createEstimatePlacement } from "./policies/estimate.ts";
import { createRandomSource } from "./random_source.ts";

const CANDIDATE_COUNTS = [9, 91, 730];
const PROMPT_COUNTS = [10_000, 50_000, 250_000];
const BLOCKS_PER_PROMPT = 4;

/**
 * Rounds over all sizes; interleaving the sizes reduces the effect of noise.
 */
const ROUNDS = 9;
const CANDIDATES_PER_ROUND = 200_000;

const ORIGIN = { availabilityZone: "z0", region: "uusimaa" };

const FULL_LINK = new (class extends LinkBudget {
  override available = () => 1e9;
  override bytesPerSecond = () => 2_500_000;
  override reserve = () => true;
})();

function makeCandidate(index: number): Candidate {
  return {
    name: `r${index}`,
    availabilityZone: `z${index % 8}`,
    region: index % 8 < 5 ? "uusimaa" : "pohjanmaa",
    weights: "w1",
    state: "ready",
    weight: 1,
    slots: 8,
    prefillTokensPerSecond: 10_000,
    reported: {
      running: index % 9,
      waiting: index % 3,
      queuedTokens: 100 * (index % 50),
      age: 500,
    },
    unreported: { requests: index % 2, tokens: 50 * (index % 7) },
    health: "healthy",
    probeDue: false,
  };
}

function makeBlocks(prompt: number): readonly string[] {
  return Array.from({ length: BLOCKS_PER_PROMPT }, (_, index) => {
    const number = prompt * BLOCKS_PER_PROMPT + index + 1;
    const high = Math.imul(number, 0x9e3779b1) >>> 0;
    return hex(high) + hex(Math.imul(number, 0x85ebca6b) >>> 0);
  });
}

function hex(value: number): string {
  return value.toString(16).padStart(8, "0");
}

function makeRequest(prompt: number): PlacementRequest {
  return {
    conversation: `c${prompt}`,
    customer: "kennel",
    weights: "w1",
    blocks: makeBlocks(prompt),
    tokensPerBlock: 2_000,
    promptTokens: 8_300,
    promptBytes: 33_000,
    blockBytes: 2_000_000,
    barredZones: ["z7"],
    returning: true,
    copies: [{
      store: "s1",
      ...ORIGIN,
      blocks: 4,
      bytesPerSecond: 100_000_000,
    }],
  };
}

/** CPU time of one decision in microseconds. */
function timeDecision(candidates: readonly Candidate[], seed: number): number {
  const clock = createSystemClock();
  const prefixIndex = createPrefixIndex({ clock, capacity: 10_000 });
  const placement = createEstimatePlacement({
    prefixIndex,
    link: FULL_LINK,
    random: createRandomSource(seed),
    origin: ORIGIN,
    zoneLatency: 1.5,
    regionLatency: 10,
  });
  const decisions = Math.ceil(CANDIDATES_PER_ROUND / candidates.length);
  const requests = Array.from({ length: 100 }, (_, index) => {
    const request = makeRequest(index);
    const replica = `r${index % candidates.length}`;
    prefixIndex.recordDispatch({ replica, weights: "w1" }, request.blocks);
    return request;
  });
  const before = process.cpuUsage();
  for (let index = 0; index < decisions; index += 1) {
    placement.rank(requests[index % requests.length]!, candidates);
  }
  const used = process.cpuUsage(before);
  return (used.user + used.system) / decisions;
}

/** Memory and hit rate of an index with capacity for this many prompts. */
function measureTable(prompts: number, collect: () => void) {
  collect();
  const before = process.memoryUsage();
  const clock = createSystemClock();
  const capacity = prompts * BLOCKS_PER_PROMPT;
  const prefixIndex = createPrefixIndex({ clock, capacity });
  for (let prompt = 0; prompt < prompts; prompt += 1) {
    const replica = `r${prompt % 91}`;
    prefixIndex.recordDispatch({ replica, weights: "w1" }, makeBlocks(prompt));
  }
  collect();
  const after = process.memoryUsage();
  let found = 0;
  for (let prompt = 0; prompt < prompts; prompt += 1) {
    const replica = `r${prompt % 91}`;
    const match = prefixIndex.find(makeBlocks(prompt), "w1").get(replica);
    if (match?.blocks === BLOCKS_PER_PROMPT) found += 1;
  }
  return {
    prompts,
    entries: capacity,
    tableBytes: prefixIndex.byteLength(),
    measuredBytes: after.arrayBuffers - before.arrayBuffers +
      after.heapUsed - before.heapUsed,
    foundPart: found / prompts,
  };
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function main(): void {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const tables = PROMPT_COUNTS.map((count) => measureTable(count, collect));
  const groups = CANDIDATE_COUNTS.map((count) => ({
    candidates: Array.from({ length: count }, (_, i) => makeCandidate(i)),
    times: [] as number[],
  }));
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const group of groups) {
      group.times.push(timeDecision(group.candidates, round));
    }
  }
  const decisions = groups.map((group) => ({
    candidates: group.candidates.length,
    medianMicroseconds: Math.round(10 * medianOf(group.times)) / 10,
    lowestMicroseconds: Math.round(10 * Math.min(...group.times)) / 10,
  }));
  console.log(JSON.stringify({ decisions, beliefs: tables }));
}

main();
