/**
 * Measures the CPU time, reads and writes of claims against the platform
 * stand-in at several order rates, and of claim sweeps and lease renewals on the
 * in-memory platform, and prints them as JSON.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_coordination.ts`.
 */
import { createClaims, createClaimSweeper } from "@peridotvalve/claims";
import { createManualClock, createSystemClock } from "@peridotvalve/clock";
import { createLease } from "@peridotvalve/lease";
import { createHttpPlatform, createMemoryPlatform } from "@peridotvalve/tables";
import { countCalls } from "./counted_platform.ts";
import { startStandins } from "./standin_processes.ts";
import { cpuMillisecondsSince, roundToThousandths } from "./measuring.ts";

const ORDERS_PER_SECOND = [50, 100, 200, 300];
const CLAIM_SECONDS = 3;
const SWEEP_ROW_COUNTS = [1_000, 5_000, 20_000];
const LEASE_COUNTS = [1, 4, 16];
const RENEWALS_PER_LEASE = 200;
const OUTCOME = {
  status: 201,
  headers: { "content-type": "application/json" },
  body: Buffer.from(JSON.stringify({ order: 1 })),
  bodyOmitted: false,
};

async function measureClaims(address: string, rate: number) {
  const clock = createSystemClock();
  const http = createHttpPlatform({ address: `http://${address}`, clock });
  const { platform, calls } = countCalls(http);
  const claims = createClaims({ platform, clock, owner: `owner-${rate}` });
  const total = rate * CLAIM_SECONDS;
  let stored = 0;
  async function runOrder(index: number): Promise<void> {
    const result = await claims.claim({
      customer: `customer-${rate}`,
      idempotencyKey: `order-${index}`,
      fingerprint: "f",
    });
    if (result.kind !== "owned" || !result.claim.startSending()) return;
    if (await result.claim.complete(OUTCOME) === "stored") stored += 1;
  }
  const usage = process.cpuUsage();
  const start = clock.monotonic();
  const all: Promise<void>[] = [];
  for (let index = 0; index < total; index += 1) {
    const due = start + index * 1_000 / rate;
    await clock.sleep(Math.max(0, due - clock.monotonic()));
    all.push(runOrder(index));
  }
  await Promise.all(all);
  await claims.idle();
  const elapsed = clock.monotonic() - start;
  const cpuMilliseconds = cpuMillisecondsSince(usage);
  await http.close();
  return {
    ordersPerSecond: rate,
    orders: total,
    stored,
    writesForEachOrder: roundToThousandths(calls().writes / total),
    readsForEachOrder: roundToThousandths(calls().reads / total),
    processorMillisecondsForEachOrder: roundToThousandths(
      cpuMilliseconds / total,
    ),
    elapsedPart: roundToThousandths(elapsed / (CLAIM_SECONDS * 1_000)),
  };
}

async function measureSweep(rows: number) {
  const clock = createManualClock(1_700_000_000_000);
  const memory = createMemoryPlatform({ clock });
  const claims = createClaims({ platform: memory, clock, owner: "owner" });
  for (let index = 0; index < rows; index += 1) {
    const idempotencyKey = `order-${index}`;
    const call = { customer: "c", idempotencyKey, fingerprint: "f" };
    const claimed = await claims.claim(call);
    if (claimed.kind === "owned" && claimed.claim.startSending()) {
      await claimed.claim.complete(OUTCOME);
    }
  }
  const { platform, calls } = countCalls(memory);
  const sweeper = createClaimSweeper({ platform, clock });
  const usage = process.cpuUsage();
  let done = false;
  const sweep = sweeper.sweep(new AbortController().signal).then((result) => {
    done = true;
    return result;
  });
  while (!done) await clock.advance(1_000);
  const { seen, complete } = await sweep;
  return {
    rows,
    seen,
    complete,
    readsForEachSweep: calls().reads,
    processorMilliseconds: roundToThousandths(cpuMillisecondsSince(usage)),
  };
}

async function measureLeases(count: number) {
  const clock = createSystemClock();
  const { platform, calls } = countCalls(createMemoryPlatform({ clock }));
  const leases = Array.from(
    { length: count },
    (_, index) =>
      createLease({ platform, clock, name: `lease-${index}`, holder: "h" }),
  );
  for (const lease of leases) await lease.acquire();
  const before = calls();
  const usage = process.cpuUsage();
  for (let index = 0; index < RENEWALS_PER_LEASE; index += 1) {
    for (const lease of leases) await lease.renew();
  }
  const total = RENEWALS_PER_LEASE * count;
  return {
    leases: count,
    writesForEachRenewal: (calls().writes - before.writes) / total,
    readsForEachRenewal: (calls().reads - before.reads) / total,
    processorMillisecondsForEachRenewal: roundToThousandths(
      cpuMillisecondsSince(usage) / total,
    ),
  };
}

async function main(): Promise<void> {
  const claims = [];
  const standin = await startStandins([["platform"]]);
  const [address = ""] = standin.addresses;
  for (const rate of ORDERS_PER_SECOND) {
    claims.push(await measureClaims(address, rate));
  }
  await standin.stop();
  const sweeps = [];
  for (const rows of SWEEP_ROW_COUNTS) sweeps.push(await measureSweep(rows));
  const leases = [];
  for (const count of LEASE_COUNTS) leases.push(await measureLeases(count));
  console.log(JSON.stringify({ claims, sweeps, leases }));
}

await main();
