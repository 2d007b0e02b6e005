/**
 * Imports located blocks into the replica that was chosen for an attempt. Any
 * doubt means that the replica recomputes the rest.
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

export interface ImportOrder {
  readonly engine: BlockEngine;
  readonly located: readonly LocatedBlock[];
  /** True when bytes between the engine and the store VMs cross regions. */
  readonly crossesRegions: boolean;
  readonly budget: TransferBudget;
  /** Limit for all blocks; a longer import saves nothing. */
  readonly timeout: Milliseconds;
  readonly clock: Clock;
  readonly log: EventLogger["log"];
}

/** Blocks that one prompt imports at once. */
const CONCURRENCY = 4;

/** Imports blocks in order and returns the count of leading blocks. */
export async function importAll(order: ImportOrder): Promise<number> {
  const due = order.clock.monotonic() + order.timeout;
  let imported = 0;
  while (imported < order.located.length) {
    const part = order.located.slice(imported, imported + CONCURRENCY);
    const timeout = due - order.clock.monotonic();
    if (timeout <= 0) break;
    const done = await Promise.all(
      part.map((located) => importOne(order, { located, timeout })),
    );
    const hole = done.indexOf(false);
    imported += hole < 0 ? part.length : hole;
    if (hole >= 0) break;
  }
  return imported;
}

async function importOne(
  order: ImportOrder,
  one: { readonly located: LocatedBlock; readonly timeout: Milliseconds },
): Promise<boolean> {
  const { clock, log, engine, budget, crossesRegions } = order;
  const { choice, block } = one.located;
  const begun = clock.monotonic();
  // The look-up has the answer already; a block that changed since is refused
  // by its generation.
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
    const elapsed = clock.monotonic() - begun;
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
