/**
 * The blocks of an attempt: imported before it, published after it.
 */
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import type { Runtime } from "../runtime.ts";
import type { Choice } from "./choice.ts";
import type { ChatWork } from "./work.ts";

/** Factor over the estimated transfer after which an import is given up. */
const TRANSFER_FACTOR = 4;

/** Estimates leave out the engine's own delays. */
const MINIMUM_TIMEOUT: Milliseconds = 300;

/** Part of the caller's patience that an import may take. */
const PATIENCE_PART = 0.25;

/**
 * Imports the blocks of an attempt that was planned with a copy. Returns the
 * time to first token to expect from the replica afterwards.
 */
export async function prepareBlocks(
  runtime: Runtime,
  work: ChatWork,
  choice: Choice,
): Promise<Milliseconds> {
  const { copy, ranked, replica, group } = choice;
  if (copy === undefined) return choice.estimate;
  const rate = replica.settings.prefillTokensPerSecond;
  const blockTime = group.tokensPerBlock / rate * SECOND;
  const { availabilityZone, region } = ranked.candidate;
  const imported = await runtime.cache.import({
    engine: replica.engine,
    place: { availabilityZone, region },
    copy,
    reserved: copy.copy.region === region
      ? 0
      : copy.located.length * choice.blockBytes,
    timeout: Math.min(
      // A longer import saves nothing over a recomputation.
      copy.located.length * blockTime,
      Math.max(MINIMUM_TIMEOUT, TRANSFER_FACTOR * ranked.parts.transfer),
      (work.deadline - runtime.clock.monotonic()) * PATIENCE_PART,
    ),
  });
  const missing = copy.located.length - imported;
  return choice.estimate - ranked.parts.transfer + missing * blockTime;
}

/**
 * Notes what the dispatch says of the replica's blocks. An import or the
 * prefill brings them all.
 */
export function noteDispatch(runtime: Runtime, choice: Choice): void {
  const { replica, ranked, weights, blocks } = choice;
  const { incarnation } = ranked.candidate;
  const holder = {
    replica: replica.name,
    weights,
    ...(incarnation === undefined ? {} : { incarnation }),
  };
  runtime.beliefs.recordHolder(holder);
  runtime.beliefs.recordDispatch(
    holder,
    blocks.names.map((name) => name.block),
  );
}

/** Publishes the prompt's blocks of a conversation that can return. */
export function publishBlocks(
  runtime: Runtime,
  work: ChatWork,
  choice: Choice,
): void {
  if (!choice.keepsBlocks) return;
  const { replica, ranked, blocks, blockBytes, customer } = choice;
  const { availabilityZone, region } = ranked.candidate;
  runtime.cache.publish({
    engine: replica.engine,
    place: { availabilityZone, region },
    group: work.chat.model,
    names: blocks.names,
    blockBytes,
    barredZones: customer.barredZones,
  });
}
