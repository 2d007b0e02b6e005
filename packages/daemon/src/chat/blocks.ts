/**
 * Transfers of KV-cache blocks for an attempt: stored copies are imported
 * before the attempt, and the blocks of the prompt are published after it.
 */
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import type { Runtime } from "../runtime.ts";
import type { ReplicaChoice } from "./replica_choice.ts";
import type { ChatWork } from "./work.ts";

/** Multiple of the estimated transfer time after which an import times out. */
const TRANSFER_TIMEOUT_FACTOR = 4;

/** The estimated transfer time does not include delays in the engine. */
const MINIMUM_IMPORT_TIMEOUT: Milliseconds = 300;

/** Fraction of the time until the caller's deadline that an import may take. */
const PATIENCE_FRACTION = 0.25;

/**
 * Imports the copy that the attempt was planned with, if any. Returns the
 * expected time to first token, including the recomputation of blocks that
 * could not be imported.
 */
export async function importBlocks(
  runtime: Runtime,
  work: ChatWork,
  choice: ReplicaChoice,
): Promise<Milliseconds> {
  const { copy, ranked, replica, group } = choice;
  if (copy === undefined) return choice.estimate;
  const tokensPerSecond = replica.settings.prefillTokensPerSecond;
  const blockPrefillTime = group.tokensPerBlock / tokensPerSecond * SECOND;
  const { availabilityZone, region } = ranked.candidate;
  const imported = await runtime.cache.import({
    engine: replica.engine,
    location: { availabilityZone, region },
    copy,
    reserved: copy.copy.region === region
      ? 0
      : copy.located.length * choice.blockBytes,
    timeout: Math.min(
      // Beyond this time, recomputing the blocks is faster than importing them.
      copy.located.length * blockPrefillTime,
      Math.max(
        MINIMUM_IMPORT_TIMEOUT,
        TRANSFER_TIMEOUT_FACTOR * ranked.parts.transfer,
      ),
      (work.deadline - runtime.clock.monotonic()) * PATIENCE_FRACTION,
    ),
  });
  const missing = copy.located.length - imported;
  return choice.estimate - ranked.parts.transfer + missing * blockPrefillTime;
}

/**
 * Records that the replica is expected to hold all blocks of the prompt: each
 * of them is either imported or computed by the prefill.
 */
export function recordDispatch(runtime: Runtime, choice: ReplicaChoice): void {
  const { replica, ranked, weights, blocks } = choice;
  const { incarnation } = ranked.candidate;
  const holder = {
    replica: replica.name,
    weights,
    ...(incarnation === undefined ? {} : { incarnation }),
  };
  runtime.prefixIndex.recordHolder(holder);
  runtime.prefixIndex.recordDispatch(
    holder,
    blocks.names.map((name) => name.block),
  );
}

/**
 * Publishes the prompt's blocks to store VMs for the conversation's next turns.
 */
export function publishBlocks(
  runtime: Runtime,
  work: ChatWork,
  choice: ReplicaChoice,
): void {
  if (!choice.usesBlockCache) return;
  const { replica, ranked, blocks, blockBytes, customer } = choice;
  const { availabilityZone, region } = ranked.candidate;
  runtime.cache.publish({
    engine: replica.engine,
    location: { availabilityZone, region },
    group: work.chat.model,
    names: blocks.names,
    blockBytes,
    barredZones: customer.barredZones,
  });
}
