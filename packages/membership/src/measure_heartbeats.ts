/**
 * Measures the CPU time and the bytes of heartbeats in zones of 10, 20 and 45
 * daemons on the in-memory network and prints the medians as JSON. All daemons
 * run in this process on a manual clock; the zone sizes alternate over several
 * rounds.
 *
 * Run: `npx tsx packages/membership/src/measure_heartbeats.ts`.
 */
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { createTestZone, type TestDaemon } from "./testing.ts";

const SIZES = [10, 20, 45];
const ROUNDS = 5;
const WARM_UP: Milliseconds = 10_000;
const MEASURED_TIME: Milliseconds = 30_000;
const MILLISECONDS_PER_SECOND = 1_000;

interface Sample {
  /** CPU time of one daemon per second of operation. */
  readonly processorMilliseconds: number;
  readonly bytesPerSecond: Bytes;
  readonly datagramBytes: Bytes;
  readonly intervalMilliseconds: Milliseconds;
}

function sumTraffic(daemons: readonly TestDaemon[]) {
  const all = daemons.map(({ membership }) => membership.traffic());
  return {
    sent: all.reduce((sum, traffic) => sum + traffic.sentBytes, 0),
    received: all.reduce((sum, traffic) => sum + traffic.receivedBytes, 0),
    datagrams: all.reduce((sum, traffic) => sum + traffic.sentDatagrams, 0),
  };
}

async function measure(size: number, hasDigest: boolean): Promise<Sample> {
  const zone = createTestZone(size);
  const createDigest = (limit: Bytes) =>
    hasDigest ? "x".repeat(Math.max(0, limit - 2)) : undefined;
  const daemons = Array.from(
    { length: size },
    (_, index) => zone.start(index, { createDigest }),
  );
  await zone.clock.advance(WARM_UP);
  const before = sumTraffic(daemons);
  const usage = process.cpuUsage();
  await zone.clock.advance(MEASURED_TIME);
  const { user, system } = process.cpuUsage(usage);
  const after = sumTraffic(daemons);
  const interval = daemons[0]?.membership.interval() ?? 0;
  for (const daemon of daemons) daemon.stop();
  await zone.clock.advance(WARM_UP);
  const seconds = MEASURED_TIME / MILLISECONDS_PER_SECOND;
  const sent = after.sent - before.sent;
  const received = after.received - before.received;
  return {
    processorMilliseconds: (user + system) / MILLISECONDS_PER_SECOND / size /
      seconds,
    bytesPerSecond: (sent + received) / size / seconds,
    datagramBytes: sent / (after.datagrams - before.datagrams),
    intervalMilliseconds: interval,
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function summarize(samples: readonly Sample[]): Sample {
  const of = (key: keyof Sample) =>
    Number(median(samples.map((sample) => sample[key])).toFixed(3));
  return {
    processorMilliseconds: of("processorMilliseconds"),
    bytesPerSecond: of("bytesPerSecond"),
    datagramBytes: of("datagramBytes"),
    intervalMilliseconds: of("intervalMilliseconds"),
  };
}

async function main(): Promise<void> {
  const cases = SIZES.flatMap((daemons) =>
    [false, true].map((hasDigest) => ({ daemons, hasDigest }))
  );
  const samples = cases.map((): Sample[] => []);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [index, { daemons, hasDigest }] of cases.entries()) {
      samples[index]?.push(await measure(daemons, hasDigest));
    }
  }
  const results = cases.map(({ daemons, hasDigest }, index) => ({
    daemons,
    digest: hasDigest ? "full" : "none",
    ...summarize(samples[index] ?? []),
  }));
  console.log(JSON.stringify({ rounds: ROUNDS, results }, null, 2));
}

await main();
