/**
 * Chooses the replica for an attempt.
 */
import { listBlocks, type PromptBlocks } from "@peridotvalve/blocks";
import type { RelayRecord } from "@peridotvalve/retries";
import type { Candidate, RankedCandidate } from "@peridotvalve/routing";
import type { Configuration, Milliseconds, Tokens } from "@peridotvalve/types";
import type { Replica } from "../fleet/replica.ts";
import type { Runtime } from "../runtime.ts";
import { TOKENIZER } from "./prompt.ts";
import type { ChatWork } from "./work.ts";

export interface Choice {
  readonly replica: Replica;
  readonly ranked: RankedCandidate;
  /** Weight version for which the attempt is planned. */
  readonly weights: string;
  readonly blocks: PromptBlocks;
  readonly tokens: Tokens;
  readonly estimate: Milliseconds;
  /** Candidates left besides this one. */
  readonly others: number;
  readonly configuration: Configuration;
}

interface Attempted {
  /** Replicas that failed earlier attempts. */
  readonly excluded: readonly string[];
  readonly record: RelayRecord;
}

// Bytes of KV cache for each token of the models in use, for the estimate of
// transfer times only.
const CACHE_BYTES_PER_TOKEN = 1_024;

/** The best replica, or undefined when none is eligible. */
export function chooseReplica(
  runtime: Runtime,
  work: ChatWork,
  attempted: Attempted,
): Choice | undefined {
  const configuration = runtime.configuration.current()?.content;
  const group = configuration?.groups[work.chat.model];
  if (configuration === undefined || group === undefined) return undefined;
  const candidates = runtime.fleet.candidates(work.chat.model);
  const weights = planWeights(group.weights, candidates, attempted);
  const blocks = listBlocks(work.chat.prompt, {
    customer: work.identity.name,
    weights,
    tokensPerBlock: group.tokensPerBlock,
    tokenizer: TOKENIZER,
  });
  const placement = runtime.placementOf(configuration.policy.placement);
  const customer = configuration.customers[work.identity.name];
  if (customer === undefined || customer.disabled) return undefined;
  const ranked = placement.choose({
    conversation: `${work.identity.name}/${work.conversation}`,
    customer: work.identity.name,
    weights,
    blocks: blocks.names.map((name) => name.block),
    tokensPerBlock: group.tokensPerBlock,
    promptTokens: blocks.tokens,
    promptBytes: Buffer.byteLength(work.chat.prompt),
    blockBytes: group.tokensPerBlock * CACHE_BYTES_PER_TOKEN,
    barredZones: customer.barredZones,
    returning: work.chat.conversation !== undefined,
    copies: [],
    excluded: attempted.excluded,
  }, candidates);
  const best = ranked[0];
  const replica = best && runtime.fleet.find(best.candidate.name);
  if (best === undefined || replica === undefined) return undefined;
  return {
    replica,
    ranked: best,
    weights,
    blocks,
    tokens: blocks.tokens,
    estimate: best.estimate,
    others: ranked.length - 1,
    configuration,
  };
}

/**
 * The weight version to plan for. A stream that has begun stays with its
 * version where a replica has it. Before the first replica of a roll-out has
 * the new version, requests go to the version that most replicas have.
 */
function planWeights(
  target: string,
  candidates: readonly Candidate[],
  attempted: Attempted,
): string {
  const counts = new Map<string, number>();
  for (const { name, state, weights } of candidates) {
    if (state !== "ready" || attempted.excluded.includes(name)) continue;
    counts.set(weights, (counts.get(weights) ?? 0) + 1);
  }
  const begun = attempted.record.weights;
  if (begun !== undefined && counts.has(begun)) return begun;
  if (counts.has(target)) return target;
  const byCount = [...counts].sort((left, right) => right[1] - left[1]);
  return byCount[0]?.[0] ?? target;
}
