/**
 * Chooses the replica for an attempt.
 */
import { type PromptBlocks, splitIntoBlocks } from "@peridotvalve/blocks";
import type {
  Candidate,
  Placement,
  PlacementRequest,
  RankedCandidate,
} from "@peridotvalve/routing";
import type {
  Bytes,
  Configuration,
  Customer,
  Milliseconds,
  ModelGroup,
  Tokens,
} from "@peridotvalve/types";
import { type Copy, measureBlocks } from "../cache/copies.ts";
import { isDutyOn } from "../callers/duties.ts";
import type { Replica } from "../fleet/replica.ts";
import type { Runtime } from "../runtime.ts";
import { limitLookUp } from "./look_up.ts";
import { TOKENIZER } from "./prompt.ts";
import { planWeights } from "./weights.ts";
import type { ChatWork } from "./work.ts";

export interface Choice {
  readonly replica: Replica;
  readonly ranked: RankedCandidate;
  /** The copy to import before the attempt. */
  readonly copy: Copy | undefined;
  /** Weight version for which the attempt is planned. */
  readonly weights: string;
  readonly blocks: PromptBlocks;
  /** Expected length of one block. */
  readonly blockBytes: Bytes;
  readonly tokens: Tokens;
  readonly estimate: Milliseconds;
  /** Candidates left besides this one. */
  readonly others: number;
  readonly configuration: Configuration;
  readonly group: ModelGroup;
  readonly customer: Customer;
  /** True when the duty `cache` is on for the request. */
  readonly keepsBlocks: boolean;
}

interface Attempted {
  /** Replicas that failed earlier attempts. */
  readonly excluded: readonly string[];
  /** Version of the stream that has begun. */
  readonly begun: string | undefined;
}

interface Ranking {
  readonly ranked: readonly RankedCandidate[];
  readonly copies: readonly Copy[];
  readonly blockBytes: Bytes;
}

// Bytes of KV cache for each token of the models in use, for the estimate of
// transfer times only.
const CACHE_BYTES_PER_TOKEN = 1_024;

/** The best replica, or undefined when none is eligible. */
export async function chooseReplica(
  runtime: Runtime,
  work: ChatWork,
  attempted: Attempted,
): Promise<Choice | undefined> {
  const configuration = runtime.configuration.current()?.content;
  const group = configuration?.groups[work.chat.model];
  if (configuration === undefined || group === undefined) return undefined;
  const customer = configuration.customers[work.identity.name];
  if (customer === undefined || customer.disabled) return undefined;
  const candidates = runtime.fleet.candidates(work.chat.model);
  const { barredZones } = customer;
  const { excluded, begun } = attempted;
  const conversation = `${work.identity.name}/${work.conversation}`;
  const weights = planWeights({
    ...{ conversation, barredZones, excluded, begun },
    target: group.weights,
  }, candidates);
  const blocks = splitIntoBlocks(work.chat.prompt, {
    customer: work.identity.name,
    weights,
    tokensPerBlock: group.tokensPerBlock,
    tokenizer: TOKENIZER,
  });
  const duty = { duty: "cache", route: work.chat.model } as const;
  const keepsBlocks = work.chat.conversation !== undefined &&
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
  const ranking = await rank(runtime, work, {
    ...{ request, candidates, placement, blocks, keepsBlocks },
  });
  const taken = takeFirst(runtime, request.customer, ranking.ranked);
  if (taken === undefined) return undefined;
  const { replica, ranked } = taken;
  return {
    ...{ replica, ranked, weights, blocks, configuration, group, customer },
    copy: ranking.copies.find(({ copy }) => copy === ranked.copy),
    blockBytes: ranking.blockBytes,
    tokens: blocks.tokens,
    estimate: ranked.estimate,
    others: countUsable(candidates, { barredZones, excluded }) - 1,
    keepsBlocks,
  };
}

/**
 * Counts the candidates of all weight versions: a request whose version has no
 * other replica can be planned for another version.
 */
function countUsable(
  candidates: readonly Candidate[],
  plan: Pick<PlacementRequest, "barredZones"> & Pick<Attempted, "excluded">,
): number {
  return candidates.filter(({ name, state, availabilityZone }) =>
    state === "ready" && !plan.excluded.includes(name) &&
    !plan.barredZones.includes(availabilityZone)
  ).length;
}

/** Ranks the candidates, with the copies of store VMs where these can help. */
async function rank(
  runtime: Runtime,
  work: ChatWork,
  plan: {
    readonly request: PlacementRequest;
    readonly candidates: readonly Candidate[];
    readonly placement: Placement;
    readonly blocks: PromptBlocks;
    readonly keepsBlocks: boolean;
  },
): Promise<Ranking> {
  const { request, candidates, placement, blocks } = plan;
  const first = placement.rank(request, candidates);
  const without = {
    ranked: first,
    copies: [],
    blockBytes: request.blockBytes,
  };
  const best = first[0];
  if (best === undefined || !plan.keepsBlocks) return without;
  const timeout = limitLookUp(runtime.beliefs, request, best);
  if (timeout === undefined) return without;
  const copies = await runtime.cache.find({
    group: work.chat.model,
    names: blocks.names,
    barredZones: request.barredZones,
    blockBytes: request.blockBytes,
  }, timeout);
  if (copies.length === 0) return without;
  const blockBytes = measureBlocks(copies);
  const ranked = placement.rank({
    ...request,
    copies: copies.map(({ copy }) => copy),
    blockBytes,
  }, candidates);
  return { ranked, copies, blockBytes };
}

/** The first candidate whose bytes the budget of the region link allows. */
function takeFirst(
  runtime: Runtime,
  customer: string,
  ranked: readonly RankedCandidate[],
): { readonly replica: Replica; readonly ranked: RankedCandidate } | undefined {
  for (const one of ranked) {
    const replica = runtime.fleet.find(one.candidate.name);
    if (replica === undefined) continue;
    const { linkBytes } = one;
    if (linkBytes === 0 || runtime.link.reserve(customer, linkBytes)) {
      return { replica, ranked: one };
    }
  }
  return undefined;
}
