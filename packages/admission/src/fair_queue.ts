/**
 * A queue that serves customers by deficit round robin (DRR) on estimated
 * service time. In each round a customer's deficit counter grows by quantum x
 * share, and the service time of each request taken is subtracted from it.
 * Requests of one customer are served in arrival order.
 */
import type { Milliseconds } from "@peridotvalve/types";

export interface QueueItem {
  readonly customer: string;
  readonly serviceTime: Milliseconds;
}

export interface FairQueueOptions {
  /** Weight of a customer; greater than 0. */
  readonly shareOf: (customer: string) => number;
  /** Service time credited per round to a share of 1. */
  readonly quantum?: Milliseconds;
}

export abstract class FairQueue<Item extends QueueItem> {
  abstract push(item: Item): void;

  /** Removes the item; false if it is not in the queue. */
  abstract remove(item: Item): boolean;

  /** Takes the next item among the customers that may run. */
  abstract take(mayRun: (customer: string) => boolean): Item | undefined;

  abstract items(): Generator<Item, void, void>;

  abstract size(): number;

  /** Service time of all queued items. */
  abstract totalTime(): Milliseconds;

  /** Service time of the customer's queued items. */
  abstract timeOf(customer: string): Milliseconds;

  /** Sum of the shares of all other customers with queued items. */
  abstract otherShares(customer: string): number;
}

/** About the service time of one short chat request. */
const DEFAULT_QUANTUM: Milliseconds = 250;

/** A smaller share would need too many rounds for one request. */
export const MINIMUM_SHARE = 0.001;

/** Items with an estimate of 0 would never reduce a deficit. */
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
  // In round-robin order; the first queue is served next.
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
    // A customer without queued items keeps no deficit.
    if (queue.items.size === 0) queues.delete(queue.customer);
  }

  function moveToEnd(queue: CustomerQueue<Item>): void {
    queues.delete(queue.customer);
    queues.set(queue.customer, queue);
  }

  /** Takes the first head whose cost is covered by its customer's deficit. */
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

  /** Number of rounds until some deficit covers the cost of its head. */
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
        // Skips the rounds in which no deficit covers a cost in one step. A
        // rounding error can leave a deficit just below a cost; the next round
        // then covers it.
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
  if (head === undefined) throw new Error("customer queue must not be empty");
  return head;
}
