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

interface CustomerQueue<Item> {
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
  const queues = new Map<string, CustomerQueue<Item>>();
  let size = 0;
  let total: Milliseconds = 0;

  function costOf(item: Item): Milliseconds {
    return Math.max(MINIMUM_COST, item.serviceTime);
  }

  function creditOf(queue: CustomerQueue<Item>): Milliseconds {
    return quantum * Math.max(MINIMUM_SHARE, options.shareOf(queue.customer));
  }

  function removeItem(queue: CustomerQueue<Item>, item: Item): void {
    queue.items.delete(item);
    queue.time -= costOf(item);
    total -= costOf(item);
    size -= 1;
    // An idle customer saves up nothing.
    if (queue.items.size === 0) queues.delete(queue.customer);
  }

  function moveToEnd(queue: CustomerQueue<Item>): void {
    queues.delete(queue.customer);
    queues.set(queue.customer, queue);
  }

  /** Takes the head of the first lane that can pay for it. */
  function takeAffordable(
    ready: readonly CustomerQueue<Item>[],
  ): Item | undefined {
    for (const queue of ready) {
      const head = headOf(queue);
      if (queue.deficit < costOf(head)) {
        moveToEnd(queue);
        queue.deficit += creditOf(queue);
        continue;
      }
      queue.deficit -= costOf(head);
      removeItem(queue, head);
      return head;
    }
    return undefined;
  }

  /** Whole rounds after which the first lane can pay for its head. */
  function roundsNeeded(ready: readonly CustomerQueue<Item>[]): number {
    const needed = ready.map((queue) => {
      const missing = costOf(headOf(queue)) - queue.deficit;
      return Math.ceil(Math.max(0, missing) / creditOf(queue));
    });
    return Math.min(...needed);
  }

  return new (class extends FairQueue<Item> {
    override push(item: Item): void {
      const queue = queues.get(item.customer) ??
        {
          customer: item.customer,
          items: new Set(),
          deficit: 0,
          time: 0,
        };
      queues.set(item.customer, queue);
      queue.items.add(item);
      queue.time += costOf(item);
      total += costOf(item);
      size += 1;
    }

    override remove(item: Item): boolean {
      const queue = queues.get(item.customer);
      if (queue === undefined || !queue.items.has(item)) return false;
      removeItem(queue, item);
      return true;
    }

    override take(mayRun: (customer: string) => boolean): Item | undefined {
      const ready = [...queues.values()]
        .filter((queue) => mayRun(queue.customer));
      if (ready.length === 0) return undefined;
      for (;;) {
        const item = takeAffordable(ready);
        if (item !== undefined) return item;
        // Rounds in which nobody can pay are skipped in one step. Rounding can
        // leave a deficit just short of a cost; one more round then pays it.
        const rounds = roundsNeeded(ready);
        for (const queue of ready) queue.deficit += rounds * creditOf(queue);
      }
    }

    override *items(): Generator<Item, void, void> {
      for (const queue of queues.values()) yield* queue.items;
    }

    override size(): number {
      return size;
    }

    override totalTime(): Milliseconds {
      return total;
    }

    override timeOf(customer: string): Milliseconds {
      return queues.get(customer)?.time ?? 0;
    }

    override otherShares(customer: string): number {
      let shares = 0;
      for (const queue of queues.values()) {
        if (queue.customer === customer) continue;
        shares += Math.max(MINIMUM_SHARE, options.shareOf(queue.customer));
      }
      return shares;
    }
  })();
}

function headOf<Item>(queue: CustomerQueue<Item>): Item {
  const [head] = queue.items;
  if (head === undefined) throw new Error("a lane without items is kept");
  return head;
}
