/**
 * A queue with three priority levels: orders, advice and long work. Each level
 * is a fair queue. Levels are served in strict order, but a limit on how often
 * a lower level is skipped prevents starvation.
 */
import type { Milliseconds } from "@peridotvalve/types";
import {
  createFairQueue,
  type FairQueue,
  MINIMUM_SHARE,
  type QueueItem,
} from "./fair_queue.ts";
import type { WorkClass } from "./request.ts";

export interface PriorityQueueItem extends QueueItem {
  readonly workClass: WorkClass;
  readonly isLong: boolean;
}

export interface PriorityQueueOptions {
  readonly shareOf: (customer: string) => number;
}

export interface Eligibility {
  /** Whether the customer is below its concurrency limit. */
  readonly mayRun: (customer: string) => boolean;
  /** Whether the number of running long requests is below its limit. */
  readonly mayRunLong: boolean;
}

/** Queued service time that is served before an item. */
export interface QueuedWorkAhead {
  /** At the item's own level. */
  readonly sameLevel: Milliseconds;
  /** At higher levels. */
  readonly higherLevels: Milliseconds;
}

export abstract class PriorityQueue<Item extends PriorityQueueItem> {
  abstract push(item: Item): void;
  abstract remove(item: Item): boolean;
  abstract take(eligibility: Eligibility): Item | undefined;
  abstract items(): Generator<Item, void, void>;
  abstract size(): number;
  abstract totalTime(): Milliseconds;

  /** Queued service time of the item's customer at the item's level. */
  abstract timeOf(item: PriorityQueueItem): Milliseconds;

  /** Queued work that is served before a new item of the same kind. */
  abstract workAhead(item: PriorityQueueItem): QueuedWorkAhead;
}

/** Orders granted in a row before waiting advice, which then gets a fifth. */
const MAX_ADVICE_SKIPS = 4;

/** Short requests granted before long work while a slot for it is free. */
const MAX_LONG_SKIPS = 16;

interface PriorityLevel<Item extends PriorityQueueItem> {
  readonly queue: FairQueue<Item>;
  readonly maxSkips: number;
  skips: number;
}

export function createPriorityQueue<Item extends PriorityQueueItem>(
  options: PriorityQueueOptions,
): PriorityQueue<Item> {
  const orders = createLevel(0);
  const advice = createLevel(MAX_ADVICE_SKIPS);
  const long = createLevel(MAX_LONG_SKIPS);
  const levels = [orders, advice, long];

  function createLevel(maxSkips: number): PriorityLevel<Item> {
    return {
      queue: createFairQueue<Item>(options),
      maxSkips,
      skips: 0,
    };
  }

  function levelOf(item: PriorityQueueItem): PriorityLevel<Item> {
    if (item.isLong) return long;
    return item.workClass === "order" ? orders : advice;
  }

  /** Levels in service order: overdue levels first, from the lowest up. */
  function listInServiceOrder(): readonly PriorityLevel<Item>[] {
    const overdue = [long, advice].filter(isOverdue);
    return [...overdue, ...levels.filter((level) => !overdue.includes(level))];
  }

  function isOverdue(level: PriorityLevel<Item>): boolean {
    return level.skips >= level.maxSkips && level.queue.size() > 0;
  }

  /** Counts a skip for the other levels that were eligible for the grant. */
  function countSkips(
    taken: PriorityLevel<Item>,
    eligibility: Eligibility,
  ): void {
    taken.skips = 0;
    for (const level of levels) {
      if (level.queue.size() === 0) level.skips = 0;
      else if (level === long && !eligibility.mayRunLong) continue;
      else if (level !== taken) level.skips += 1;
    }
  }

  return new (class extends PriorityQueue<Item> {
    override push(item: Item): void {
      levelOf(item).queue.push(item);
    }

    override remove(item: Item): boolean {
      return levelOf(item).queue.remove(item);
    }

    override take(eligibility: Eligibility): Item | undefined {
      for (const level of listInServiceOrder()) {
        if (level === long && !eligibility.mayRunLong) continue;
        const item = level.queue.take(eligibility.mayRun);
        if (item === undefined) continue;
        countSkips(level, eligibility);
        return item;
      }
      return undefined;
    }

    override *items(): Generator<Item, void, void> {
      for (const level of levels) yield* level.queue.items();
    }

    override size(): number {
      return levels.reduce((sum, level) => sum + level.queue.size(), 0);
    }

    override totalTime(): Milliseconds {
      return levels.reduce((sum, level) => sum + level.queue.totalTime(), 0);
    }

    override timeOf(item: PriorityQueueItem): Milliseconds {
      return levelOf(item).queue.timeOf(item.customer);
    }

    override workAhead(item: PriorityQueueItem): QueuedWorkAhead {
      const level = levelOf(item);
      const sameLevel = timeAtLevel(level.queue, item);
      const higherLevels = levels.slice(0, levels.indexOf(level))
        .reduce((sum, higher) => sum + higher.queue.totalTime(), 0);
      // Limits the work of higher levels to what may skip this level.
      const passing = (sameLevel + item.serviceTime) * level.maxSkips;
      return {
        sameLevel: sameLevel,
        higherLevels: Math.min(higherLevels, passing),
      };
    }
  })();

  /** Service time at the level before the item's turn under fair queuing. */
  function timeAtLevel(
    queue: FairQueue<Item>,
    item: PriorityQueueItem,
  ): Milliseconds {
    const share = Math.max(MINIMUM_SHARE, options.shareOf(item.customer));
    const others = queue.otherShares(item.customer);
    const own = queue.timeOf(item.customer);
    return Math.min(queue.totalTime(), own * (share + others) / share);
  }
}
