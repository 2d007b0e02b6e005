/**
 * The order between kinds of queued work. Three fair queues are served in
 * strict order (orders, advice, long work), with a bound on how often the head
 * of a lower one is passed over.
 */
import type { Milliseconds } from "@peridotvalve/types";
import {
  createFairQueue,
  type FairQueue,
  MINIMUM_SHARE,
  type QueueItem,
} from "./fair_queue.ts";
import type { WorkClass } from "./request.ts";

export interface LaneItem extends QueueItem {
  readonly workClass: WorkClass;
  readonly isLong: boolean;
}

export interface LaneOptions {
  readonly shareOf: (customer: string) => number;
}

export interface TakeRules {
  /** False while a customer is at its own limit. */
  readonly mayRun: (customer: string) => boolean;
  /** False while the bound on long work is reached. */
  readonly mayRunLong: boolean;
}

/** Service times that are served before an item. */
export interface WorkBefore {
  /** In the item's own lane. */
  readonly inLane: Milliseconds;
  /** In lanes that go before it. */
  readonly above: Milliseconds;
}

export abstract class Lanes<Item extends LaneItem> {
  abstract push(item: Item): void;
  abstract remove(item: Item): boolean;
  abstract take(rules: TakeRules): Item | undefined;
  abstract items(): Generator<Item, void, void>;
  abstract size(): number;
  abstract totalTime(): Milliseconds;

  /** Queued service time of the customer's items of this kind. */
  abstract timeOf(item: LaneItem): Milliseconds;

  /** Queued work that is served before a new item of this kind. */
  abstract workBefore(item: LaneItem): WorkBefore;
}

/** Orders that may pass waiting advice; advice then gets a fifth. */
const ADVICE_PASSED_OVER = 4;

/** Short requests that may pass long work while a place for it is free. */
const LONG_PASSED_OVER = 16;

interface Lane<Item extends LaneItem> {
  readonly queue: FairQueue<Item>;
  readonly bound: number;
  passedOver: number;
}

export function createLanes<Item extends LaneItem>(
  options: LaneOptions,
): Lanes<Item> {
  const orders = createLane(0);
  const advice = createLane(ADVICE_PASSED_OVER);
  const long = createLane(LONG_PASSED_OVER);
  const all = [orders, advice, long];

  function createLane(bound: number): Lane<Item> {
    return { queue: createFairQueue<Item>(options), bound, passedOver: 0 };
  }

  function laneOf(item: LaneItem): Lane<Item> {
    if (item.isLong) return long;
    return item.workClass === "order" ? orders : advice;
  }

  /** Lanes in the order of service: overdue ones first, lowest first. */
  function inOrder(): readonly Lane<Item>[] {
    const overdue = [long, advice].filter(isOverdue);
    return [...overdue, ...all.filter((lane) => !overdue.includes(lane))];
  }

  function isOverdue(lane: Lane<Item>): boolean {
    return lane.passedOver >= lane.bound && lane.queue.size() > 0;
  }

  /** Counts a grant against the lower lanes that could have had it. */
  function countPassed(taken: Lane<Item>, rules: TakeRules): void {
    taken.passedOver = 0;
    for (const lane of all) {
      if (lane.queue.size() === 0) lane.passedOver = 0;
      else if (lane === long && !rules.mayRunLong) continue;
      else if (lane !== taken) lane.passedOver += 1;
    }
  }

  return new (class extends Lanes<Item> {
    override push(item: Item): void {
      laneOf(item).queue.push(item);
    }

    override remove(item: Item): boolean {
      return laneOf(item).queue.remove(item);
    }

    override take(rules: TakeRules): Item | undefined {
      for (const lane of inOrder()) {
        if (lane === long && !rules.mayRunLong) continue;
        const item = lane.queue.take(rules.mayRun);
        if (item === undefined) continue;
        countPassed(lane, rules);
        return item;
      }
      return undefined;
    }

    override *items(): Generator<Item, void, void> {
      for (const lane of all) yield* lane.queue.items();
    }

    override size(): number {
      return all.reduce((sum, lane) => sum + lane.queue.size(), 0);
    }

    override totalTime(): Milliseconds {
      return all.reduce((sum, lane) => sum + lane.queue.totalTime(), 0);
    }

    override timeOf(item: LaneItem): Milliseconds {
      return laneOf(item).queue.timeOf(item.customer);
    }

    override workBefore(item: LaneItem): WorkBefore {
      const lane = laneOf(item);
      const inLane = timeInLane(lane.queue, item);
      const above = all.slice(0, all.indexOf(lane))
        .reduce((sum, higher) => sum + higher.queue.totalTime(), 0);
      // Of the work above only so much passes until the lane is overdue.
      const passing = (inLane + item.serviceTime) * lane.bound;
      return { inLane, above: Math.min(above, passing) };
    }
  })();

  /** By its fair share, the lane serves this much before the item's turn. */
  function timeInLane(queue: FairQueue<Item>, item: LaneItem): Milliseconds {
    const share = Math.max(MINIMUM_SHARE, options.shareOf(item.customer));
    const others = queue.otherShares(item.customer);
    const own = queue.timeOf(item.customer);
    return Math.min(queue.totalTime(), own * (share + others) / share);
  }
}
