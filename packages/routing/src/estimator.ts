/**
 * The estimated time to first token of a request on each candidate: queue wait
 * + recomputed tokens / prefill rate + transfer of the prompt or of cache
 * blocks + distance.
 */
import type { Bytes, Milliseconds, Tokens } from "@peridotvalve/types";
import type { Beliefs, PrefixBelief } from "./beliefs.ts";
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

export interface EstimatorOptions {
  readonly beliefs: Beliefs;
  readonly link: LinkBudget;
  readonly origin: {
    readonly availabilityZone: string;
    readonly region: string;
  };
  readonly zoneLatency: Milliseconds;
  readonly regionLatency: Milliseconds;
}

export interface Estimator {
  /** One entry for each candidate that the link budget can reach. */
  estimateAll(
    request: PlacementRequest,
    inRendezvousOrder: readonly Candidate[],
  ): readonly RankedCandidate[];
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Confidence that the rendezvous home holds the prefix of a returning
 * conversation. It confirms itself, because all daemons expect the prefix there
 * and send the conversation there. It is below the confidence of a fresh own
 * dispatch, since the engine may have evicted the prefix.
 */
const HOME_CONFIDENCE = 0.8;

/** Delay that a busy slot adds when nothing is known of the queued tokens. */
const WAIT_PER_QUEUED_REQUEST: Milliseconds = 50;

/** A slow replica answers several times later than its report suggests. */
const SLOW_SURCHARGE: Milliseconds = 2_000;
const SUSPECT_SURCHARGE: Milliseconds = 200;

interface Option {
  readonly kind: PlacementKind;
  readonly recompute: Milliseconds;
  readonly transfer: Milliseconds;
  readonly linkBytes: Bytes;
  readonly copy?: StoreCopy;
}

interface Context {
  readonly request: PlacementRequest;
  readonly beliefs: ReadonlyMap<string, PrefixBelief>;
  readonly linkBytes: Bytes;
  readonly linkRate: number;
}

export function createEstimator(options: EstimatorOptions): Estimator {
  const { beliefs, link, origin } = options;

  function estimateAll(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly RankedCandidate[] {
    const context = {
      request,
      beliefs: beliefsFor(request, candidates),
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

  function beliefsFor(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): ReadonlyMap<string, PrefixBelief> {
    const found = beliefs.find(request.blocks, request.weights);
    if (!request.returning) return found;
    const home = candidates[0];
    if (home === undefined) return found;
    const blocks = request.blocks.length;
    const belief = found.get(home.name);
    const known = (belief?.blocks ?? 0) * (belief?.confidence ?? 0);
    if (known >= blocks * HOME_CONFIDENCE) return found;
    const confidence = HOME_CONFIDENCE;
    return new Map([...found, [home.name, { blocks, confidence }]]);
  }

  /** The ways to run the request on a candidate that the budget allows. */
  function listOptions(
    context: Context,
    candidate: Candidate,
  ): readonly Option[] {
    const { request } = context;
    const crosses = candidate.region !== origin.region;
    const promptBytes = crosses ? request.promptBytes : 0;
    const promptTime = timeFor(promptBytes, context.linkRate);
    const local = localOption(context, candidate);
    const choices: Option[] = [{
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

  /** Uses what the replica probably holds and recomputes the rest. */
  function localOption(context: Context, candidate: Candidate): Option {
    const { request } = context;
    const belief = context.beliefs.get(candidate.name);
    const cached = belief === undefined
      ? 0
      : belief.confidence * belief.blocks * request.tokensPerBlock;
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
    context: Context,
    candidate: Candidate,
    copy: StoreCopy,
  ): Option | undefined {
    const { request } = context;
    if (request.barredZones.includes(copy.availabilityZone)) return undefined;
    if (copy.blocks === 0) return undefined;
    const bytes = copy.blocks * request.blockBytes;
    const crosses = copy.region !== candidate.region;
    const rate = crosses
      ? Math.min(copy.bytesPerSecond, context.linkRate)
      : copy.bytesPerSecond;
    const held = copy.blocks * request.tokensPerBlock;
    return {
      kind: "import",
      recompute: prefillTime(request.promptTokens - held, candidate),
      transfer: timeFor(bytes, rate),
      linkBytes: crosses ? bytes : 0,
      copy,
    };
  }

  function distanceTo(candidate: Candidate): Milliseconds {
    if (candidate.region !== origin.region) return 2 * options.regionLatency;
    if (candidate.availabilityZone === origin.availabilityZone) return 0;
    return 2 * options.zoneLatency;
  }

  function rank(candidate: Candidate, option: Option): RankedCandidate {
    const parts = {
      queue: estimateQueue(candidate),
      recompute: option.recompute,
      transfer: option.transfer,
      distance: distanceTo(candidate),
      caution: cautionOf(candidate),
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

function findCheapest(choices: readonly Option[]): Option | undefined {
  let best: Option | undefined;
  for (const choice of choices) {
    if (best === undefined || costOf(choice) < costOf(best)) best = choice;
  }
  return best;
}

function costOf(option: Option): Milliseconds {
  return option.recompute + option.transfer;
}

function sumParts(parts: EstimateParts): Milliseconds {
  return parts.queue + parts.recompute + parts.transfer + parts.distance +
    parts.caution;
}

/** Prefill of the queued tokens, and waiting for a slot once all are taken. */
function estimateQueue(candidate: Candidate): Milliseconds {
  const reported = candidate.reported?.queuedTokens ?? 0;
  const tokens = reported + candidate.unreported.tokens;
  const excess = Math.max(0, countRequests(candidate) + 1 - candidate.slots);
  return prefillTime(tokens, candidate) + excess * WAIT_PER_QUEUED_REQUEST;
}

function cautionOf(candidate: Candidate): Milliseconds {
  if (candidate.health === "healthy" || candidate.probeDue) return 0;
  return candidate.health === "slow" ? SLOW_SURCHARGE : SUSPECT_SURCHARGE;
}

function prefillTime(tokens: Tokens, candidate: Candidate): Milliseconds {
  const rate = candidate.prefillTokensPerSecond;
  return Math.max(0, tokens) / rate * MILLISECONDS_PER_SECOND;
}

function timeFor(bytes: Bytes, rate: number): Milliseconds {
  if (bytes === 0) return 0;
  return rate > 0
    ? bytes / rate * MILLISECONDS_PER_SECOND
    : Number.POSITIVE_INFINITY;
}

function describe(option: Option, parts: EstimateParts): string {
  const listed = Object.entries(parts)
    .filter(([, value]) => value > 0)
    .map(([name, value]) => `${name} ${Math.round(value)} ms`);
  return [option.kind, ...listed].join(", ");
}
