/**
 * Publishes blocks to store VMs and imports them from there. The data moves
 * directly between engine and store VM; the daemon compares what both report. In
 * case of doubt a block is not published, and a prompt is recomputed.
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

/** Block transfer operations of an engine. */
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

/** Look-up operation of a store VM, by which blocks are confirmed. */
export interface BlockStore {
  readonly address: string;
  findBlock(
    name: BlockName,
    timeout: Milliseconds,
  ): Promise<Result<StoredBlock | undefined, string>>;
}

/** A store VM of a cache group, with its relation to the engine. */
export interface StoreCandidate extends RankedStore {
  readonly store: BlockStore;
  /** True when transfers between the engine and the VM cross regions. */
  readonly crossesRegions: boolean;
}

/** Budget of the link; `reserve` is false when the bytes must not be sent. */
export interface TransferBudget {
  reserve(bytes: Bytes): boolean;
}

export interface TransferOptions {
  readonly clock: Clock;
  readonly stores: readonly StoreCandidate[];
  readonly budget: TransferBudget;
  /** Time limit of the whole transfer, over all store VMs that are tried. */
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
    /** False when the store VM already held the block. */
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

// The first VM in rendezvous order and its fallback; blocks are not stored
// further down the order.
const MAX_STORES_TRIED = 2;

/** Exports a block to the first store VM in rank order that accepts it. */
export async function publishBlock(
  engine: BlockEngine,
  name: BlockName,
  options: PublishOptions,
): Promise<Publication> {
  const reasons: string[] = [];
  for (const { candidate, timeout } of iterateStores(name, options)) {
    const { store } = candidate;
    const existing = await store.findBlock(name, timeout());
    if (existing.isErr()) {
      reasons.push(existing.error);
      continue;
    }
    if (existing.value !== undefined) {
      const block = existing.value;
      const { address } = store;
      return { kind: "published", store: address, block, copied: false };
    }
    if (!reserveTransfer(candidate, options.budget, options.blockBytes)) {
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
    if (confirmed.isOk() && matchesExport(confirmed.value, exported.value)) {
      const block = exported.value;
      const { address } = store;
      return { kind: "published", store: address, block, copied: true };
    }
    reasons.push("the store VM did not confirm the export");
  }
  return { kind: "not published", reason: reasons.join("; ") || "no store" };
}

/** Imports a block from the first store VM in rank order that holds it. */
export async function importBlock(
  engine: BlockEngine,
  name: BlockName,
  options: TransferOptions,
): Promise<Import> {
  const reasons: string[] = [];
  for (const { candidate, timeout } of iterateStores(name, options)) {
    const { store } = candidate;
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
    if (!reserveTransfer(candidate, options.budget, block.length)) {
      reasons.push("no budget");
      continue;
    }
    const { address } = store;
    const limits = { store: address, timeout: timeout() };
    const imported = await engine.importBlock(block, limits);
    if (imported.kind === "done") {
      return { kind: "imported", store: address, block };
    }
    // A second transfer would cost more time than it is likely to save.
    return { kind: "recompute", reason: imported.reason };
  }
  return { kind: "recompute", reason: reasons.join("; ") || "no store" };
}

/**
 * Yields the store VMs to try, each with an equal share of the remaining time,
 * so that a silent VM leaves time for the next one.
 */
function* iterateStores(
  name: BlockName,
  options: TransferOptions,
): Generator<
  { readonly candidate: StoreCandidate; readonly timeout: () => Milliseconds }
> {
  const { clock } = options;
  const deadline = clock.monotonic() + options.timeout;
  const candidates = rankStores(name, options.stores).slice(
    0,
    MAX_STORES_TRIED,
  );
  for (const [index, candidate] of candidates.entries()) {
    const now = clock.monotonic();
    if (now >= deadline) return;
    const attemptDeadline = now +
      (deadline - now) / (candidates.length - index);
    yield {
      candidate,
      timeout: () => Math.max(0, attemptDeadline - clock.monotonic()),
    };
  }
}

function reserveTransfer(
  candidate: StoreCandidate,
  budget: TransferBudget,
  bytes: Bytes,
): boolean {
  return !candidate.crossesRegions || budget.reserve(bytes);
}

function matchesExport(
  confirmed: StoredBlock | undefined,
  exported: StoredBlock,
): boolean {
  return confirmed !== undefined &&
    confirmed.incarnation === exported.incarnation &&
    confirmed.generation === exported.generation &&
    confirmed.length === exported.length &&
    confirmed.checksum === exported.checksum;
}
