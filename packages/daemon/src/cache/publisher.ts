/**
 * Publishes the blocks of completed prompts in the background. Work beyond the
 * bounds is dropped: the prompt is then recomputed when it returns.
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
import type { Published } from "./published.ts";
import type { StoreGroup, Stores } from "./stores.ts";

export interface Publishable {
  readonly engine: BlockEngine;
  /** Blocks from the start of the prompt. */
  readonly names: readonly BlockName[];
  /** Expected length of one block. */
  readonly blockBytes: Bytes;
  /** The usable cache groups, nearest first; read when the work starts. */
  readonly groups: () => readonly StoreGroup[];
}

export interface Publisher {
  offer(work: Publishable): void;
  close(): void;
}

export interface PublisherOptions {
  readonly clock: Clock;
  readonly log: EventLogger["log"];
  readonly link: LinkBudget;
  readonly stores: Stores;
  readonly published: Published;
  readonly onPublished: () => void;
}

/** Exports at once; more would slow the engines' own work. */
const CONCURRENCY = 4;

const MAXIMUM_BLOCKS = 256;
const MAXIMUM_BYTES: Bytes = 512 * 1024 * 1024;

/** Limit of one block; nobody waits for it. */
const TIMEOUT: Milliseconds = 3_000;

/** Blocks leave so many times their bytes of the link budget to prompts. */
const LINK_RESERVE = 2;

interface Job {
  readonly work: Publishable;
  readonly name: BlockName;
}

export function createPublisher(options: PublisherOptions): Publisher {
  const { clock, log, link, stores, published } = options;
  const waiting: Job[] = [];
  const pending = new Set<string>();
  let bytes: Bytes = 0;
  let running = 0;
  let isClosed = false;

  function startNext(): void {
    while (running < CONCURRENCY) {
      const job = waiting.shift();
      if (job === undefined) return;
      running += 1;
      void publish(job).finally(() => {
        running -= 1;
        bytes -= job.work.blockBytes;
        pending.delete(job.name.block);
        startNext();
      });
    }
  }

  async function publish({ work, name }: Job): Promise<void> {
    const group = work.groups()[0];
    if (group === undefined || published.has(group.name, name.block)) return;
    const outcome = await publishBlock(watchEngine(work.engine), name, {
      clock,
      stores: group.stores.map(watchStore),
      budget: budgetOf(name.customer),
      timeout: TIMEOUT,
      blockBytes: work.blockBytes,
    });
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
        link.available(customer) >= LINK_RESERVE * wanted &&
        link.reserve(customer, wanted),
    };
  }

  /** Notes which store VM made an export fail. */
  function watchEngine(engine: BlockEngine): BlockEngine {
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

  function watchStore(choice: StoreCandidate): StoreCandidate {
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
    offer(work) {
      const nearest = work.groups()[0]?.name;
      if (isClosed || nearest === undefined) return;
      for (const name of work.names) {
        if (published.has(nearest, name.block)) continue;
        if (pending.has(name.block)) continue;
        // Later blocks are of no use without the earlier ones.
        if (pending.size >= MAXIMUM_BLOCKS) break;
        if (bytes + work.blockBytes > MAXIMUM_BYTES) break;
        pending.add(name.block);
        bytes += work.blockBytes;
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
