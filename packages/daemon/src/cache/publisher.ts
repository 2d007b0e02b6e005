/**
 * Publishes the blocks of completed prompts in the background. Blocks beyond
 * the queue limits are dropped: a repeated prompt is then recomputed.
 */
import {
  type BlockEngine,
  publishBlock,
  type StoreCandidate,
  type TransferBudget,
} from "@peridotvalve/blocks";
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { LinkBudget } from "@peridotvalve/routing";
import type { BlockName, Bytes, Milliseconds } from "@peridotvalve/types";
import type { PublishedBlocks } from "./published.ts";
import type { StoreGroup, Stores } from "./stores.ts";

export interface PublishRequest {
  readonly engine: BlockEngine;
  /** Block names, starting with the first block of the prompt. */
  readonly names: readonly BlockName[];
  /** Expected length of one block in bytes. */
  readonly blockBytes: Bytes;
  /** Lists the usable cache groups, nearest first; called again at the export. */
  readonly groups: () => readonly StoreGroup[];
}

export interface Publisher {
  enqueue(work: PublishRequest): void;
  close(): void;
}

export interface PublisherOptions {
  readonly clock: Clock;
  readonly log: EventLogger["log"];
  readonly link: LinkBudget;
  readonly stores: Stores;
  readonly published: PublishedBlocks;
  readonly onPublished: () => void;
}

/** Concurrent exports; more would slow the engines' requests. */
const EXPORT_CONCURRENCY = 4;

const MAX_PENDING_BLOCKS = 256;
const MAX_PENDING_BYTES: Bytes = 512 * 1024 * 1024;

/** Time limit of one block; no request waits for it. */
const EXPORT_TIMEOUT: Milliseconds = 3_000;

/**
 * A block is exported over the region link only while this multiple of its
 * bytes is available, so that prompts keep a part of the budget.
 */
const LINK_RESERVE_FACTOR = 2;

interface Job {
  readonly work: PublishRequest;
  readonly name: BlockName;
}

export function createPublisher(options: PublisherOptions): Publisher {
  const { clock, log, link, stores, published } = options;
  const waiting: Job[] = [];
  const pending = new Set<string>();
  let pendingBytes: Bytes = 0;
  let running = 0;
  let isClosed = false;

  function startNext(): void {
    while (running < EXPORT_CONCURRENCY) {
      const job = waiting.shift();
      if (job === undefined) return;
      running += 1;
      void publish(job).finally(() => {
        running -= 1;
        pendingBytes -= job.work.blockBytes;
        pending.delete(job.name.block);
        startNext();
      });
    }
  }

  async function publish({ work, name }: Job): Promise<void> {
    const group = work.groups()[0];
    if (group === undefined || published.has(group.name, name.block)) return;
    const outcome = await publishBlock(
      reportExportFailures(work.engine),
      name,
      {
        clock,
        stores: group.stores.map(reportLookupFailures),
        budget: budgetOf(name.customer),
        timeout: EXPORT_TIMEOUT,
        blockBytes: work.blockBytes,
      },
    );
    if (outcome.kind !== "published") return;
    published.add(group.name, name.block);
    if (!outcome.copied) return;
    options.onPublished();
    const { customer, block } = name;
    log("block_published", { block, store: outcome.store }, { customer });
  }

  function budgetOf(customer: string): TransferBudget {
    return {
      reserve: (wanted) =>
        link.available(customer) >= LINK_RESERVE_FACTOR * wanted &&
        link.reserve(customer, wanted),
    };
  }

  /** Reports the store VM of each export whose outcome is unknown. */
  function reportExportFailures(engine: BlockEngine): BlockEngine {
    return {
      importBlock: (block, limits) => engine.importBlock(block, limits),
      async exportBlock(name, limits) {
        const outcome = await engine.exportBlock(name, limits);
        if (outcome.kind === "unknown" && !isClosed) {
          const { reason } = outcome;
          stores.noteFailure(limits.store, { use: "write", reason });
        }
        return outcome;
      },
    };
  }

  function reportLookupFailures(choice: StoreCandidate): StoreCandidate {
    const { store } = choice;
    return {
      ...choice,
      store: {
        address: store.address,
        async findBlock(name, timeout) {
          const found = await store.findBlock(name, timeout);
          if (found.isErr() && !isClosed) {
            const reason = found.error;
            stores.noteFailure(store.address, { use: "write", reason });
          }
          return found;
        },
      },
    };
  }

  return {
    enqueue(work) {
      const nearest = work.groups()[0]?.name;
      if (isClosed || nearest === undefined) return;
      for (const name of work.names) {
        if (published.has(nearest, name.block)) continue;
        if (pending.has(name.block)) continue;
        // Later blocks are useless without the earlier ones.
        if (pending.size >= MAX_PENDING_BLOCKS) break;
        if (pendingBytes + work.blockBytes > MAX_PENDING_BYTES) break;
        pending.add(name.block);
        pendingBytes += work.blockBytes;
        waiting.push({ work, name });
      }
      startNext();
    },
    close() {
      isClosed = true;
      waiting.length = 0;
    },
  };
}
