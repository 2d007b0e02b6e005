/**
 * A queue that serves customers by deficit round robin on estimated service
 * time. A customer's deficit grows by quantum x share in each round; it pays
 * for each request that is taken. Requests of one customer leave in order.
 */
import type { Milliseconds } from "@peridotvalve/types";

export interface QueueItem {
  readonly customer: string;
  readonly serviceTime: Milliseconds;
}

export interface FairQueueOptions {
  /** Weight of a customer; above 0. */
  readonly shareOf: (customer: string) => number;
  /** Service time that a share of 1 earns in a round. */
  readonly quantum?: Milliseconds;
}

export abstract class FairQueue<Item extends QueueItem> {
  abstract push(item: Item): void;

  /** Removes the item; false when it is not in the queue. */
  abstract remove(item: Item): boolean;

  /** Takes the next item of a customer that may run. */
  abstract take(mayRun: (customer: string) => boolean): Item | undefined;

  abstract items(): Generator<Item, void, void>;

  abstract size(): number;

  /** Service time of all queued items. */
  abstract totalTime(): Milliseconds;

  /** Service time of the customer's queued items. */
  abstract timeOf(customer: string): Milliseconds;

  /** Sum of the shares of customers with queued items, besides this one. */
  abstract otherShares(customer: string): number;
}

/** About the service time of one short chat request. */
const DEFAULT_QUANTUM: Milliseconds = 250;

/** Shares below this would need too many rounds for one request. */
export const MINIMUM_SHARE = 0.001;

/** Work estimated at no time at all would never use up a deficit. */
const MINIMUM_COST: Milliseconds = 1;

interface Lane<Item> {
  readonly customer: string;
  readonly items: Set<Item>;
  deficit: Milliseconds;
  time: Milliseconds;
}

export function createFairQueue<Item extends QueueItem>(
  options: FairQueueOptions,
): FairQueue<Item> {
  const quantum = options.quantum ?? DEFAULT_QUANTUM;
  // The first lane in the order of insertion has the turn.
  const lanes = new Map<string, Lane<Item>>();
  let size = 0;
  let total: Milliseconds = 0;

  function costOf(item: Item): Milliseconds {
    return Math.max(MINIMUM_COST, item.serviceTime);
  }

  function earningOf(lane: Lane<Item>): Milliseconds {
    return quantum * Math.max(MINIMUM_SHARE, options.shareOf(lane.customer));
  }

  function discard(lane: Lane<Item>, item: Item): void {
    lane.items.delete(item);
    lane.time -= costOf(item);
    total -= costOf(item);
    size -= 1;
    // An idle customer saves up nothing.
    if (lane.items.size === 0) lanes.delete(lane.customer);
  }

  function moveToEnd(lane: Lane<Item>): void {
    lanes.delete(lane.customer);
    lanes.set(lane.customer, lane);
  }

  /** Takes the head of the first lane that can pay for it. */
  function takeAffordable(ready: readonly Lane<Item>[]): Item | undefined {
    for (const lane of ready) {
      const head = headOf(lane);
      if (lane.deficit < costOf(head)) {
        moveToEnd(lane);
        lane.deficit += earningOf(lane);
        continue;
      }
      lane.deficit -= costOf(head);
      discard(lane, head);
      return head;
    }
    return undefined;
  }

  /** Whole rounds after which the first lane can pay for its head. */
  function roundsNeeded(ready: readonly Lane<Item>[]): number {
    const needed = ready.map((lane) => {
      const missing = costOf(headOf(lane)) - lane.deficit;
      return Math.ceil(Math.max(0, missing) / earningOf(lane));
    });
    return Math.min(...needed);
  }

  return new (class extends FairQueue<Item> {
    override push(item: Item): void {
      const lane = lanes.get(item.customer) ??
        { customer: item.customer, items: new Set(), deficit: 0, time: 0 };
      lanes.set(item.customer, lane);
      lane.items.add(item);
      lane.time += costOf(item);
      total += costOf(item);
      size += 1;
    }

    override remove(item: Item): boolean {
      const lane = lanes.get(item.customer);
      if (lane === undefined || !lane.items.has(item)) return false;
      discard(lane, item);
      return true;
    }

    override take(mayRun: (customer: string) => boolean): Item | undefined {
      const ready = [...lanes.values()]
        .filter((lane) => mayRun(lane.customer));
      if (ready.length === 0) return undefined;
      for (;;) {
        const item = takeAffordable(ready);
        if (item !== undefined) return item;
        // Rounds in which nobody can pay are skipped in one step. Rounding can
        // leave a deficit just short of a cost; one more round then pays it.
        const rounds = roundsNeeded(ready);
        for (const lane of ready) lane.deficit += rounds * earningOf(lane);
      }
    }

    override *items(): Generator<Item, void, void> {
      for (const lane of lanes.values()) yield* lane.items;
    }

    override size(): number {
      return size;
    }

    override totalTime(): Milliseconds {
      return total;
    }

    override timeOf(customer: string): Milliseconds {
      return lanes.get(customer)?.time ?? 0;
    }

    override otherShares(customer: string): number {
      let shares = 0;
      for (const lane of lanes.values()) {
        if (lane.customer === customer) continue;
        shares += Math.max(MINIMUM_SHARE, options.shareOf(lane.customer));
      }
      return shares;
    }
  })();
}

function headOf<Item>(lane: Lane<Item>): Item {
  const [head] = lane.items;
  if (head === undefined) throw new Error("a lane without items is kept");
  return head;
}
