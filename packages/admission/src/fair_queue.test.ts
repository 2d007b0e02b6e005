import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { createFairQueue, type QueueItem } from "./fair_queue.ts";

const QUANTUM = 250;
const LONGEST = 2_000;

interface Backlog {
  readonly share: number;
  readonly times: readonly number[];
}

const backlogs = fc.array(
  fc.record({
    share: fc.integer({ min: 1, max: 10 }),
    times: fc.array(fc.integer({ min: 1, max: LONGEST }), {
      minLength: 30,
      maxLength: 60,
    }),
  }),
  { minLength: 2, maxLength: 6 },
);

function* takeFairly(all: readonly Backlog[]): Generator<QueueItem> {
  const queue = createFairQueue<QueueItem>({
    shareOf: (customer) => all[Number(customer)]!.share,
    quantum: QUANTUM,
  });
  for (const item of inArrivalOrder(all)) queue.push(item);
  for (;;) {
    const item = queue.take(() => true);
    if (item === undefined) return;
    yield item;
  }
}

/** First come, first served, without fair queuing. */
function* inArrivalOrder(all: readonly Backlog[]): Generator<QueueItem> {
  for (const [index, backlog] of all.entries()) {
    for (const serviceTime of backlog.times) {
      yield { customer: String(index), serviceTime };
    }
  }
}

/** Largest difference in service per share while all customers have backlog. */
function findLargestLead(
  all: readonly Backlog[],
  order: Iterable<QueueItem>,
): number {
  const left = all.map((backlog) => backlog.times.length);
  const served = all.map(() => 0);
  let lead = 0;
  for (const item of order) {
    const index = Number(item.customer);
    served[index]! += item.serviceTime / all[index]!.share;
    left[index]! -= 1;
    lead = Math.max(lead, Math.max(...served) - Math.min(...served));
    if (left.includes(0)) break;
  }
  return lead;
}

// One round of credit, plus an unused deficit and one longest item on each
// side.
const LEAD_BOUND = 2 * QUANTUM + 2 * LONGEST;

test("no backlogged customer falls behind its share by more than a bound", () => {
  fc.assert(fc.property(backlogs, (all) => {
    expect(findLargestLead(all, takeFairly(all)) <= LEAD_BOUND).toEqual(true);
  }));
});

test("the fairness check fails for first come, first served", () => {
  const flood = { share: 1, times: Array.from({ length: 50 }, () => 1_000) };
  const all = [flood, flood];
  const lead = findLargestLead(all, inArrivalOrder(all));
  expect(lead > LEAD_BOUND).toEqual(true);
});

test("take returns an item whenever an eligible customer has one", () => {
  fc.assert(fc.property(backlogs, fc.nat(5), (all, barred) => {
    const queue = createFairQueue<QueueItem>({
      // Thirds are inexact in binary, so the deficits have rounding errors.
      shareOf: (customer) => all[Number(customer)]!.share / 3,
    });
    for (const item of inArrivalOrder(all)) queue.push(item);
    const skipped = String(barred % all.length);
    const expected = queue.size() - all[Number(skipped)]!.times.length;
    let taken = 0;
    while (queue.take((customer) => customer !== skipped)) taken += 1;
    expect(taken).toEqual(expected);
  }));
});
