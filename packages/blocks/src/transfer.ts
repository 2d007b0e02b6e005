/**
 * Publishing blocks to store VMs and importing them from there. The bytes go
 * between engine and store VM; the daemon compares what both say. In any doubt
 * a block is not published, and a prompt is recomputed.
 */
import type { Clock } from "@peridotvalve/clock";
import type {
  BlockName,
  Bytes,
  Milliseconds,
  Settlement,
  StoredBlock,
} from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import { type RankedStore, rankStores } from "./ranking.ts";

/** The part of an engine that moves blocks. */
export interface BlockEngine {
  exportBlock(
    name: BlockName,
    options: { readonly store: string; readonly timeout: Milliseconds },
  ): Promise<Settlement<StoredBlock>>;
  importBlock(
    block: StoredBlock,
    options: { readonly store: string; readonly timeout: Milliseconds },
  ): Promise<Settlement<void>>;
}

/** The part of a store VM's client that confirms blocks. */
export interface BlockStore {
  readonly address: string;
  findBlock(
    name: BlockName,
    timeout: Milliseconds,
  ): Promise<Result<StoredBlock | undefined, string>>;
}

/** A store VM of a cache group, as seen from the engine. */
export interface StoreChoice extends RankedStore {
  readonly store: BlockStore;
  /** True when bytes between the engine and the VM cross regions. */
  readonly crossesRegions: boolean;
}

/** The link's budget; false when the bytes must not be sent now. */
export interface TransferBudget {
  reserve(bytes: Bytes): boolean;
}

export interface TransferOptions {
  readonly clock: Clock;
  readonly stores: readonly StoreChoice[];
  readonly budget: TransferBudget;
  /** Limit of the whole transfer, over all store VMs that are tried. */
  readonly timeout: Milliseconds;
}

export interface PublishOptions extends TransferOptions {
  /** Expected length of a block, for the budget. */
  readonly blockBytes: Bytes;
}

export type Publication =
  | {
    readonly kind: "published";
    readonly store: string;
    readonly block: StoredBlock;
    /** False when the store VM already had the block. */
    readonly copied: boolean;
  }
  | { readonly kind: "not published"; readonly reason: string };

export type Import =
  | {
    readonly kind: "imported";
    readonly store: string;
    readonly block: StoredBlock;
  }
  | { readonly kind: "recompute"; readonly reason: string };

// The first VM in rendezvous order and its fallback; blocks are not kept
// further down the order.
const STORES_TRIED = 2;

/** Exports a block to the first store VM of its order that takes it. */
export async function publishBlock(
  engine: BlockEngine,
  name: BlockName,
  options: PublishOptions,
): Promise<Publication> {
  const reasons: string[] = [];
  for (const { choice, timeout } of iterateStores(name, options)) {
    const { store } = choice;
    const held = await store.findBlock(name, timeout());
    if (held.isErr()) {
      reasons.push(held.error);
      continue;
    }
    if (held.value !== undefined) {
      const block = held.value;
      const { address } = store;
      return { kind: "published", store: address, block, copied: false };
    }
    if (!mayTransfer(choice, options.budget, options.blockBytes)) {
      reasons.push("no budget");
      continue;
    }
    const exported = await engine.exportBlock(name, {
      store: store.address,
      timeout: timeout(),
    });
    if (exported.kind !== "done") {
      reasons.push(exported.reason);
      if (exported.reason === "not_cached") break;
      continue;
    }
    const confirmed = await store.findBlock(name, timeout());
    if (confirmed.isOk() && agrees(confirmed.value, exported.value)) {
      const block = exported.value;
      const { address } = store;
      return { kind: "published", store: address, block, copied: true };
    }
    reasons.push("the store VM does not confirm the export");
  }
  return { kind: "not published", reason: reasons.join("; ") || "no store" };
}

/** Imports a block from the first store VM of its order that holds it. */
export async function importBlock(
  engine: BlockEngine,
  name: BlockName,
  options: TransferOptions,
): Promise<Import> {
  const reasons: string[] = [];
  for (const { choice, timeout } of iterateStores(name, options)) {
    const { store } = choice;
    const found = await store.findBlock(name, timeout());
    if (found.isErr()) {
      reasons.push(found.error);
      continue;
    }
    const block = found.value;
    if (block === undefined) {
      reasons.push("not stored");
      continue;
    }
    if (!mayTransfer(choice, options.budget, block.length)) {
      reasons.push("no budget");
      continue;
    }
    const { address } = store;
    const limits = { store: address, timeout: timeout() };
    const imported = await engine.importBlock(block, limits);
    if (imported.kind === "done") {
      return { kind: "imported", store: address, block };
    }
    // A second copy would cost more time than it is likely to save.
    return { kind: "recompute", reason: imported.reason };
  }
  return { kind: "recompute", reason: reasons.join("; ") || "no store" };
}

/**
 * The store VMs to try, each with its part of the time that is left, so that a
 * silent VM leaves time for the next one.
 */
function* iterateStores(
  name: BlockName,
  options: TransferOptions,
): Generator<
  { readonly choice: StoreChoice; readonly timeout: () => Milliseconds }
> {
  const { clock } = options;
  const due = clock.monotonic() + options.timeout;
  const tried = rankStores(name, options.stores).slice(0, STORES_TRIED);
  for (const [index, choice] of tried.entries()) {
    const now = clock.monotonic();
    if (now >= due) return;
    const end = now + (due - now) / (tried.length - index);
    yield { choice, timeout: () => Math.max(0, end - clock.monotonic()) };
  }
}

function mayTransfer(
  choice: StoreChoice,
  budget: TransferBudget,
  bytes: Bytes,
): boolean {
  return !choice.crossesRegions || budget.reserve(bytes);
}

function agrees(
  confirmed: StoredBlock | undefined,
  exported: StoredBlock,
): boolean {
  return confirmed !== undefined &&
    confirmed.incarnation === exported.incarnation &&
    confirmed.generation === exported.generation &&
    confirmed.length === exported.length &&
    confirmed.checksum === exported.checksum;
}
