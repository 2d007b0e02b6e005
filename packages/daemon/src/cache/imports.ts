/**
 * Imports located blocks into the replica that was chosen for an attempt. On
 * any failure the replica recomputes the remaining blocks.
 */
import {
  type BlockEngine,
  importBlock,
  type TransferBudget,
} from "@peridotvalve/blocks";
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import { Ok } from "ts-results-es";
import type { LocatedBlock } from "./copies.ts";

export interface ImportOptions {
  readonly engine: BlockEngine;
  readonly located: readonly LocatedBlock[];
  /** True when bytes between the engine and the store VMs cross regions. */
  readonly crossesRegions: boolean;
  readonly budget: TransferBudget;
  /** Limit for all blocks; a longer import would save nothing. */
  readonly timeout: Milliseconds;
  readonly clock: Clock;
  readonly log: EventLogger["log"];
}

/** Blocks of one prompt that are imported concurrently. */
const IMPORT_CONCURRENCY = 4;

/** Imports blocks in order; returns the number of leading blocks imported. */
export async function importBlocks(options: ImportOptions): Promise<number> {
  const deadline = options.clock.monotonic() + options.timeout;
  let imported = 0;
  while (imported < options.located.length) {
    const batch = options.located.slice(
      imported,
      imported + IMPORT_CONCURRENCY,
    );
    const timeout = deadline - options.clock.monotonic();
    if (timeout <= 0) break;
    const done = await Promise.all(
      batch.map((located) => importLocatedBlock(options, { located, timeout })),
    );
    const firstFailed = done.indexOf(false);
    imported += firstFailed < 0 ? batch.length : firstFailed;
    if (firstFailed >= 0) break;
  }
  return imported;
}

async function importLocatedBlock(
  options: ImportOptions,
  one: { readonly located: LocatedBlock; readonly timeout: Milliseconds },
): Promise<boolean> {
  const { clock, log, engine, budget, crossesRegions } = options;
  const { choice, block } = one.located;
  const startedAt = clock.monotonic();
  // Reuses the result of the look-up; a block that has changed since then is
  // refused because its generation differs.
  const store = {
    address: choice.store.address,
    findBlock: () => Promise.resolve(Ok(block)),
  };
  const outcome = await importBlock(engine, block.name, {
    clock,
    stores: [{ ...choice, store, crossesRegions }],
    budget,
    timeout: one.timeout,
  });
  const { customer, block: hash } = block.name;
  if (outcome.kind === "imported") {
    const elapsed = clock.monotonic() - startedAt;
    const fields = { block: hash, store: outcome.store, elapsed };
    log("block_imported", fields, { customer });
    return true;
  }
  const { reason } = outcome;
  if (reason === "checksum_mismatch") {
    const fields = { block: hash, store: choice.store.address };
    log("checksum_mismatch", fields, { customer });
  } else {
    log("import_refused", { block: hash, reason }, { customer });
  }
  return false;
}
