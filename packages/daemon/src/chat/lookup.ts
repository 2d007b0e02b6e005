/**
 * Decides whether to look up copies of a prompt's blocks on store VMs, and with
 * which timeout.
 */
import type {
  PlacementRequest,
  PrefixIndex,
  RankedCandidate,
} from "@peridotvalve/routing";
import { type Milliseconds, SECOND } from "@peridotvalve/types";

/** Minimum confidence at which a replica is taken to hold its blocks. */
const TRUSTED_CONFIDENCE = 0.5;

/** A lookup and an import themselves take several milliseconds. */
const MINIMUM_SAVING: Milliseconds = 30;

/** Fraction of the possible saving that a lookup may take. */
const LOOKUP_FRACTION = 0.25;

/** Limit for unresponsive store VMs; others answer in a few milliseconds. */
const MAXIMUM_LOOKUP_TIMEOUT: Milliseconds = 150;

/**
 * Returns the timeout of a lookup, or undefined when the best replica would
 * save too little time by an import.
 */
export function planLookupTimeout(
  prefixIndex: PrefixIndex,
  request: PlacementRequest,
  best: RankedCandidate,
): Milliseconds | undefined {
  const { blocks, weights, tokensPerBlock } = request;
  const match = prefixIndex.find(blocks, weights).get(best.candidate.name);
  const cachedBlocks = (match?.confidence ?? 0) >= TRUSTED_CONFIDENCE
    ? match?.blocks ?? 0
    : 0;
  const missingTokens = (blocks.length - cachedBlocks) * tokensPerBlock;
  const saving = missingTokens / best.candidate.prefillTokensPerSecond * SECOND;
  if (saving < MINIMUM_SAVING) return undefined;
  return Math.min(MAXIMUM_LOOKUP_TIMEOUT, saving * LOOKUP_FRACTION);
}
