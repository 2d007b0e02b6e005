/**
 * Decides whether store VMs are asked for copies of a prompt's blocks.
 */
import type {
  PlacementRequest,
  PrefixIndex,
  RankedCandidate,
} from "@peridotvalve/routing";
import { type Milliseconds, SECOND } from "@peridotvalve/types";

/** Confidence from which the blocks of a replica are not looked up. */
const TRUSTED_CONFIDENCE = 0.5;

/** A look-up and an import take several milliseconds themselves. */
const MINIMUM_SAVING: Milliseconds = 30;

/** Part of the possible saving that a look-up may take. */
const LOOK_UP_PART = 0.25;

/** Bounds the wait for a silent store VM; answers take a few milliseconds. */
const MAXIMUM_TIMEOUT: Milliseconds = 150;

/** The deadline of a look-up; undefined when none is worth its time. */
export function limitLookUp(
  beliefs: PrefixIndex,
  request: PlacementRequest,
  best: RankedCandidate,
): Milliseconds | undefined {
  const { blocks, weights, tokensPerBlock } = request;
  const belief = beliefs.find(blocks, weights).get(best.candidate.name);
  const held = (belief?.confidence ?? 0) >= TRUSTED_CONFIDENCE
    ? belief?.blocks ?? 0
    : 0;
  const missing = (blocks.length - held) * tokensPerBlock;
  const saving = missing / best.candidate.prefillTokensPerSecond * SECOND;
  if (saving < MINIMUM_SAVING) return undefined;
  return Math.min(MAXIMUM_TIMEOUT, saving * LOOK_UP_PART);
}
