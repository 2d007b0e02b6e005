/**
 * Measures the CPU time of one admission and the memory of one queued request
 * for several numbers of customers and prints them as JSON. The capacity page
 * is derived from these figures. Run with `node --import tsx`.
 */
import { createSystemClock } from "@peridotvalve/clock";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type Admission, createAdmission } from "./admission.ts";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import { createCustomerLimits } from "./customer_limits.ts";

const CUSTOMER_COUNTS = [10, 100, 300];

/**
 * Rounds over all sizes; interleaving the sizes reduces the effect of noise.
 */
const ROUNDS = 9;
const QUEUED_PER_CUSTOMER = 10;
const SLOTS = 16;

function setUp(): Admission {
  const clock = createSystemClock();
  const limit = createConcurrencyLimit({
    clock,
    initial: SLOTS,
    maximum: () => SLOTS,
  });
  const customers = createCustomerLimits({
    clock,
    liveDaemons: () => 1,
    quotaOf: (customer) => ({
      share: 1 + customer.length,
      concurrency: 1_000,
      requestsPerSecond: 1_000_000,
    }),
  });
  return createAdmission({
    clock,
    limit,
    customers,
    queueLength: () => 1_000_000,
    replicas: () => 9,
  });
}

/** Fills the queues of all customers and then serves all requests. */
async function measure(count: number, collect: () => void) {
  const admission = setUp();
  const requests = count * QUEUED_PER_CUSTOMER;
  collect();
  const heapBefore = process.memoryUsage().heapUsed;
  const before = process.cpuUsage();
  const all: Promise<void>[] = [];
  for (let index = 0; index < requests; index += 1) {
    all.push(serve(admission, index, count));
  }
  const filled = process.cpuUsage(before);
  collect();
  const heap = process.memoryUsage().heapUsed - heapBefore;
  const drainStart = process.cpuUsage();
  await Promise.all(all);
  const drained = process.cpuUsage(drainStart);
  const total = filled.user + filled.system + drained.user + drained.system;
  return {
    microseconds: total / requests,
    bytesPerQueued: heap / requests,
  };
}

async function serve(
  admission: Admission,
  index: number,
  count: number,
): Promise<void> {
  const request = {
    customer: `customer-${index % count}`,
    workClass: index % 10 === 0 ? "order" : "advice",
    serviceTime: 100 + index % 400,
    patience: 3_600_000,
  } as const;
  const signal = new AbortController().signal;
  const permit = (await admission.admit(request, signal)).unwrap();
  await Promise.resolve();
  permit.finish({ latency: 100, expected: 100, overloaded: false });
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}

async function main(): Promise<void> {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const groups = CUSTOMER_COUNTS.map((customers) => ({
    customers,
    times: [] as number[],
    sizes: [] as number[],
  }));
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const group of groups) {
      const figures = await measure(group.customers, collect);
      group.times.push(figures.microseconds);
      group.sizes.push(figures.bytesPerQueued);
    }
  }
  const admissions = groups.map(({ customers, times, sizes }) => ({
    customers,
    queued: customers * QUEUED_PER_CUSTOMER,
    medianMicroseconds: Math.round(10 * medianOf(times)) / 10,
    lowestMicroseconds: Math.round(10 * Math.min(...times)) / 10,
    bytesPerQueued: Math.round(medianOf(sizes)),
  }));
  console.log(JSON.stringify({ admissions }));
}

await main();
