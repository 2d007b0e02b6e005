/**
 * Chooses the replica for an attempt from the placement's ranking, taking into
 * account the copies of the prompt's blocks on store VMs.
 */
import { type PromptBlocks, splitIntoBlocks } from "@peridotvalve/blocks";
import {
  type Candidate,
  isZoneBarred,
  type Placement,
  type PlacementRequest,
  type RankedCandidate,
} from "@peridotvalve/routing";
import type {
  Bytes,
  Configuration,
  Customer,
  Milliseconds,
  ModelGroup,
  Tokens,
} from "@peridotvalve/types";
import { type Copy, findLongestBlock } from "../cache/copies.ts";
import { isDutyOn } from "../callers/duties.ts";
import type { Replica } from "../fleet/replica.ts";
import type { Runtime } from "../runtime.ts";
import { planLookupTimeout } from "./lookup.ts";
import { TOKENIZER } from "./prompt.ts";
import { planWeightVersion } from "./weights.ts";
import type { ChatWork } from "./work.ts";

export interface ReplicaChoice {
  readonly replica: Replica;
  readonly ranked: RankedCandidate;
  /** Copy of the blocks to import before the attempt. */
  readonly copy: Copy | undefined;
  /** Weight version that the attempt requires. */
  readonly weights: string;
  readonly blocks: PromptBlocks;
  /** Expected size of one block. */
  readonly blockBytes: Bytes;
  readonly tokens: Tokens;
  /** Estimated time to first token. */
  readonly estimate: Milliseconds;
  /** Number of other replicas that could serve the request. */
  readonly otherCandidates: number;
  readonly configuration: Configuration;
  readonly group: ModelGroup;
  readonly customer: Customer;
  /** True when the request names a conversation and its duty `cache` is on. */
  readonly usesBlockCache: boolean;
}

interface AttemptConstraints {
  /** Replicas that failed earlier attempts. */
  readonly excluded: readonly string[];
  /** Weight version to which a started stream is pinned. */
  readonly pinned: string | undefined;
}

interface Ranking {
  readonly ranked: readonly RankedCandidate[];
  readonly copies: readonly Copy[];
  readonly blockBytes: Bytes;
}

// KV cache size of the models in use. Used only to estimate transfer times
// until the sizes of actual copies are known.
const CACHE_BYTES_PER_TOKEN = 1_024;

/**
 * Chooses the best replica, or undefined when none is eligible or the model or
 * customer is no longer configured. Reserves the bytes that the choice sends
 * over the region link.
 */
export async function chooseReplica(
  runtime: Runtime,
  work: ChatWork,
  constraints: AttemptConstraints,
): Promise<ReplicaChoice | undefined> {
  const configuration = runtime.configuration.current()?.content;
  const group = configuration?.groups[work.chat.model];
  if (configuration === undefined || group === undefined) return undefined;
  const customer = configuration.customers[work.identity.name];
  if (customer === undefined || customer.disabled) return undefined;
  const candidates = runtime.fleet.candidates(work.chat.model);
  const { barredZones } = customer;
  const { excluded, pinned } = constraints;
  const conversation = `${work.identity.name}/${work.conversation}`;
  const weights = planWeightVersion({
    ...{ conversation, barredZones, excluded, pinned },
    target: group.weights,
  }, candidates);
  const blocks = splitIntoBlocks(work.chat.prompt, {
    customer: work.identity.name,
    weights,
    tokensPerBlock: group.tokensPerBlock,
    tokenizer: TOKENIZER,
  });
  const duty = { duty: "cache", route: work.chat.model } as const;
  const usesBlockCache = work.chat.conversation !== undefined &&
    isDutyOn(configuration, { ...duty, customer: work.identity.name });
  const request = {
    conversation,
    customer: work.identity.name,
    weights,
    blocks: blocks.names.map((name) => name.block),
    tokensPerBlock: group.tokensPerBlock,
    promptTokens: blocks.tokens,
    promptBytes: Buffer.byteLength(work.chat.prompt),
    blockBytes: group.tokensPerBlock * CACHE_BYTES_PER_TOKEN,
    barredZones,
    returning: work.chat.conversation !== undefined,
    copies: [],
    excluded,
  };
  const placement = runtime.placementOf(configuration.policy.placement);
  const ranking = await rankCandidates(runtime, work, {
    ...{ request, candidates, placement, blocks, usesBlockCache },
  });
  const selected = selectWithinLinkBudget(
    runtime,
    request.customer,
    ranking.ranked,
  );
  if (selected === undefined) return undefined;
  const { replica, ranked } = selected;
  return {
    ...{ replica, ranked, weights, blocks, configuration, group, customer },
    copy: ranking.copies.find(({ copy }) => copy === ranked.copy),
    blockBytes: ranking.blockBytes,
    tokens: blocks.tokens,
    estimate: ranked.estimate,
    otherCandidates: countUsable(candidates, { barredZones, excluded }) - 1,
    usesBlockCache,
  };
}

/**
 * Counts the ready candidates of all weight versions, because a request can be
 * replanned for another version when no replica with its version is left.
 */
function countUsable(
  candidates: readonly Candidate[],
  plan:
    & Pick<PlacementRequest, "barredZones">
    & Pick<AttemptConstraints, "excluded">,
): number {
  return candidates.filter(({ name, state, availabilityZone }) =>
    state === "ready" && !plan.excluded.includes(name) &&
    !isZoneBarred(plan, availabilityZone)
  ).length;
}

/**
 * Ranks the candidates, with copies on store VMs when a lookup is worthwhile.
 */
async function rankCandidates(
  runtime: Runtime,
  work: ChatWork,
  plan: {
    readonly request: PlacementRequest;
    readonly candidates: readonly Candidate[];
    readonly placement: Placement;
    readonly blocks: PromptBlocks;
    readonly usesBlockCache: boolean;
  },
): Promise<Ranking> {
  const { request, candidates, placement, blocks } = plan;
  const initialRanking = placement.rank(request, candidates);
  const withoutCopies = {
    ranked: initialRanking,
    copies: [],
    blockBytes: request.blockBytes,
  };
  const best = initialRanking[0];
  if (best === undefined || !plan.usesBlockCache) return withoutCopies;
  const timeout = planLookupTimeout(runtime.prefixIndex, request, best);
  if (timeout === undefined) return withoutCopies;
  const copies = await runtime.cache.find({
    group: work.chat.model,
    names: blocks.names,
    barredZones: request.barredZones,
    blockBytes: request.blockBytes,
  }, timeout);
  if (copies.length === 0) return withoutCopies;
  const blockBytes = findLongestBlock(copies);
  const ranked = placement.rank({
    ...request,
    copies: copies.map(({ copy }) => copy),
    blockBytes,
  }, candidates);
  return { ranked, copies, blockBytes };
}

/**
 * Selects the first candidate whose transfer over the region link is within the
 * link budget, and reserves its bytes.
 */
function selectWithinLinkBudget(
  runtime: Runtime,
  customer: string,
  ranked: readonly RankedCandidate[],
): { readonly replica: Replica; readonly ranked: RankedCandidate } | undefined {
  for (const candidate of ranked) {
    const replica = runtime.fleet.find(candidate.candidate.name);
    if (replica === undefined) continue;
    const { linkBytes } = candidate;
    if (linkBytes === 0 || runtime.link.reserve(customer, linkBytes)) {
      return { replica, ranked: candidate };
    }
  }
  return undefined;
}
