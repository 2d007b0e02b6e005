/**
 * Prints JSON with the processor time, reads and writes of claims against the
 * platform stand-in at several rates, and of sweeps and lease renewals on the
 * in-memory platform.
 *
 * Run: `node --import tsx packages/replay/src/capacity/measure_coordination.ts`.
 */
import { createClaims, createClaimSweeper } from "@peridotvalve/claims";
import { createManualClock, createSystemClock } from "@peridotvalve/clock";
import { createLease } from "@peridotvalve/lease";
import { createHttpPlatform, createMemoryPlatform } from "@peridotvalve/tables";
import { countCalls } from "./counted_platform.ts";
import { startStandins } from "./standin_processes.ts";
import { processorSince, round } from "./measuring.ts";

const CLAIM_RATES = [50, 100, 200, 300];
const CLAIM_SECONDS = 3;
const SWEEP_ROWS = [1_000, 5_000, 20_000];
const LEASES = [1, 4, 16];
const RENEWALS = 200;
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
  async function order(index: number): Promise<void> {
    const answer = await claims.claim({
      customer: `customer-${rate}`,
      idempotencyKey: `order-${index}`,
      fingerprint: "f",
    });
    if (answer.kind !== "owned" || !answer.claim.startSending()) return;
    if (await answer.claim.complete(OUTCOME) === "stored") stored += 1;
  }
  const usage = process.cpuUsage();
  const begun = clock.monotonic();
  const all: Promise<void>[] = [];
  for (let index = 0; index < total; index += 1) {
    const due = begun + index * 1_000 / rate;
    await clock.sleep(Math.max(0, due - clock.monotonic()));
    all.push(order(index));
  }
  await Promise.all(all);
  await claims.idle();
  const elapsed = clock.monotonic() - begun;
  const processor = processorSince(usage);
  await http.close();
  return {
    ordersPerSecond: rate,
    orders: total,
    stored,
    writesForEachOrder: round(calls().writes / total),
    readsForEachOrder: round(calls().reads / total),
    processorMillisecondsForEachOrder: round(processor / total),
    elapsedPart: round(elapsed / (CLAIM_SECONDS * 1_000)),
  };
}

async function measureSweep(rows: number) {
  const clock = createManualClock(1_700_000_000_000);
  const memory = createMemoryPlatform({ clock });
  const claims = createClaims({ platform: memory, clock, owner: "owner" });
  for (let index = 0; index < rows; index += 1) {
    const idempotencyKey = `order-${index}`;
    const call = { customer: "c", idempotencyKey, fingerprint: "f" };
    const answer = await claims.claim(call);
    if (answer.kind === "owned" && answer.claim.startSending()) {
      await answer.claim.complete(OUTCOME);
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
    processorMilliseconds: round(processorSince(usage)),
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
  for (let index = 0; index < RENEWALS; index += 1) {
    for (const lease of leases) await lease.renew();
  }
  const total = RENEWALS * count;
  return {
    leases: count,
    writesForEachRenewal: (calls().writes - before.writes) / total,
    readsForEachRenewal: (calls().reads - before.reads) / total,
    processorMillisecondsForEachRenewal: round(processorSince(usage) / total),
  };
}

async function main(): Promise<void> {
  const claims = [];
  const standin = await startStandins([["platform"]]);
  const [address = ""] = standin.addresses;
  for (const rate of CLAIM_RATES) {
    claims.push(await measureClaims(address, rate));
  }
  await standin.stop();
  const sweeps = [];
  for (const rows of SWEEP_ROWS) sweeps.push(await measureSweep(rows));
  const leases = [];
  for (const count of LEASES) leases.push(await measureLeases(count));
  console.log(JSON.stringify({ claims, sweeps, leases }));
}

await main();
