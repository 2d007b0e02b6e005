/**
 * Estimates the time to first token of a request on each candidate: queue wait
 * + recomputed tokens / prefill rate + transfer of the prompt or of cache
 * blocks + network latency + a penalty for suspect and slow replicas.
 */
import type { Bytes, Milliseconds, Tokens } from "@peridotvalve/types";
import type { PrefixIndex, PrefixMatch } from "./prefix_index.ts";
import type {
  Candidate,
  EstimateParts,
  PlacementKind,
  PlacementRequest,
  RankedCandidate,
  StoreCopy,
} from "./candidate.ts";
import type { LinkBudget } from "./link_budget.ts";
import { countRequests } from "./placement.ts";
import { isZoneBarred } from "./zone_scope.ts";

export interface EstimatorOptions {
  readonly prefixIndex: PrefixIndex;
  readonly link: LinkBudget;
  /** Where this daemon runs. */
  readonly origin: {
    readonly availabilityZone: string;
    readonly region: string;
  };
  /** One-way latency between availability zones of a region. */
  readonly zoneLatency: Milliseconds;
  /** One-way latency between regions. */
  readonly regionLatency: Milliseconds;
}

export interface Estimator {
  /** One entry for each candidate that the link budget allows. */
  estimateAll(
    request: PlacementRequest,
    inRendezvousOrder: readonly Candidate[],
  ): readonly RankedCandidate[];
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Confidence that the rendezvous home of a returning conversation caches its
 * prefix. The assumption holds because all daemons make it and therefore send
 * the conversation there. It is below the confidence of a recent dispatch,
 * since the engine may have evicted the prefix.
 */
const HOME_CONFIDENCE = 0.8;

/** Delay per request beyond the slots, whose queued tokens may be unknown. */
const WAIT_PER_QUEUED_REQUEST: Milliseconds = 50;

/** A slow replica responds several times later than its report suggests. */
const SLOW_PENALTY: Milliseconds = 2_000;
const SUSPECT_PENALTY: Milliseconds = 200;

interface PlacementOption {
  readonly kind: PlacementKind;
  readonly recompute: Milliseconds;
  readonly transfer: Milliseconds;
  readonly linkBytes: Bytes;
  readonly copy?: StoreCopy;
}

interface EstimateContext {
  readonly request: PlacementRequest;
  readonly prefixes: ReadonlyMap<string, PrefixMatch>;
  readonly linkBytes: Bytes;
  readonly linkRate: number;
}

export function createEstimator(options: EstimatorOptions): Estimator {
  const { prefixIndex, link, origin } = options;

  function estimateAll(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly RankedCandidate[] {
    const context = {
      request,
      prefixes: findPrefixes(request, candidates),
      linkBytes: link.available(request.customer),
      linkRate: link.bytesPerSecond(request.customer),
    };
    const ranked: RankedCandidate[] = [];
    for (const candidate of candidates) {
      const option = findCheapest(listOptions(context, candidate));
      if (option !== undefined) ranked.push(rank(candidate, option));
    }
    return ranked;
  }

  function findPrefixes(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): ReadonlyMap<string, PrefixMatch> {
    const found = prefixIndex.find(request.blocks, request.weights);
    if (!request.returning) return found;
    const home = candidates[0];
    if (home === undefined) return found;
    const blocks = request.blocks.length;
    const prefix = found.get(home.name);
    const known = (prefix?.blocks ?? 0) * (prefix?.confidence ?? 0);
    if (known >= blocks * HOME_CONFIDENCE) return found;
    const confidence = HOME_CONFIDENCE;
    return new Map([...found, [home.name, { blocks, confidence }]]);
  }

  /** The options for a request on a candidate that the link budget allows. */
  function listOptions(
    context: EstimateContext,
    candidate: Candidate,
  ): readonly PlacementOption[] {
    const { request } = context;
    const crossesRegion = candidate.region !== origin.region;
    const promptBytes = crossesRegion ? request.promptBytes : 0;
    const promptTime = transferTime(promptBytes, context.linkRate);
    const local = localOption(context, candidate);
    const choices: PlacementOption[] = [{
      ...local,
      transfer: promptTime,
      linkBytes: promptBytes,
    }];
    for (const copy of request.copies) {
      const imported = importOption(context, candidate, copy);
      if (imported === undefined) continue;
      choices.push({
        ...imported,
        transfer: imported.transfer + promptTime,
        linkBytes: imported.linkBytes + promptBytes,
      });
    }
    return choices.filter((choice) => choice.linkBytes <= context.linkBytes);
  }

  /**
   * Uses the prefix that the replica probably caches and recomputes the rest.
   */
  function localOption(
    context: EstimateContext,
    candidate: Candidate,
  ): PlacementOption {
    const { request } = context;
    const prefix = context.prefixes.get(candidate.name);
    const cached = prefix === undefined
      ? 0
      : prefix.confidence * prefix.blocks * request.tokensPerBlock;
    const recompute = prefillTime(request.promptTokens - cached, candidate);
    const kind = cached > 0 ? "cached" : recomputeKind(candidate);
    return { kind, recompute, transfer: 0, linkBytes: 0 };
  }

  function recomputeKind(candidate: Candidate): PlacementKind {
    if (candidate.region !== origin.region) return "other region";
    if (candidate.availabilityZone !== origin.availabilityZone) {
      return "other zone";
    }
    return "recompute";
  }

  function importOption(
    context: EstimateContext,
    candidate: Candidate,
    copy: StoreCopy,
  ): PlacementOption | undefined {
    const { request } = context;
    if (isZoneBarred(request, copy.availabilityZone)) return undefined;
    if (copy.blocks === 0) return undefined;
    const bytes = copy.blocks * request.blockBytes;
    const crossesRegion = copy.region !== candidate.region;
    const rate = crossesRegion
      ? Math.min(copy.bytesPerSecond, context.linkRate)
      : copy.bytesPerSecond;
    const importedTokens = copy.blocks * request.tokensPerBlock;
    return {
      kind: "import",
      recompute: prefillTime(request.promptTokens - importedTokens, candidate),
      transfer: transferTime(bytes, rate),
      linkBytes: crossesRegion ? bytes : 0,
      copy,
    };
  }

  function roundTripTo(candidate: Candidate): Milliseconds {
    if (candidate.region !== origin.region) return 2 * options.regionLatency;
    if (candidate.availabilityZone === origin.availabilityZone) return 0;
    return 2 * options.zoneLatency;
  }

  function rank(
    candidate: Candidate,
    option: PlacementOption,
  ): RankedCandidate {
    const parts = {
      queue: estimateQueue(candidate),
      recompute: option.recompute,
      transfer: option.transfer,
      distance: roundTripTo(candidate),
      caution: healthPenalty(candidate),
    };
    const estimate = sumParts(parts);
    return {
      candidate,
      kind: option.kind,
      estimate,
      parts,
      reason: describe(option, parts),
      linkBytes: option.linkBytes,
      ...(option.copy === undefined ? {} : { copy: option.copy }),
    };
  }

  return { estimateAll };
}

function findCheapest(
  choices: readonly PlacementOption[],
): PlacementOption | undefined {
  let best: PlacementOption | undefined;
  for (const choice of choices) {
    if (best === undefined || costOf(choice) < costOf(best)) best = choice;
  }
  return best;
}

function costOf(option: PlacementOption): Milliseconds {
  return option.recompute + option.transfer;
}

function sumParts(parts: EstimateParts): Milliseconds {
  return parts.queue + parts.recompute + parts.transfer + parts.distance +
    parts.caution;
}

/** Prefill time of the queued tokens, plus a delay if all slots are in use. */
function estimateQueue(candidate: Candidate): Milliseconds {
  const reported = candidate.reported?.queuedTokens ?? 0;
  const tokens = reported + candidate.unreported.tokens;
  const excess = Math.max(0, countRequests(candidate) + 1 - candidate.slots);
  return prefillTime(tokens, candidate) + excess * WAIT_PER_QUEUED_REQUEST;
}

function healthPenalty(candidate: Candidate): Milliseconds {
  if (candidate.health === "healthy" || candidate.probeDue) return 0;
  return candidate.health === "slow" ? SLOW_PENALTY : SUSPECT_PENALTY;
}

function prefillTime(tokens: Tokens, candidate: Candidate): Milliseconds {
  const rate = candidate.prefillTokensPerSecond;
  return Math.max(0, tokens) / rate * MILLISECONDS_PER_SECOND;
}

function transferTime(bytes: Bytes, rate: number): Milliseconds {
  if (bytes === 0) return 0;
  return rate > 0
    ? bytes / rate * MILLISECONDS_PER_SECOND
    : Number.POSITIVE_INFINITY;
}

function describe(option: PlacementOption, parts: EstimateParts): string {
  const listed = Object.entries(parts)
    .filter(([, value]) => value > 0)
    .map(([name, value]) => `${name} ${Math.round(value)} ms`);
  return [option.kind, ...listed].join(", ");
}
