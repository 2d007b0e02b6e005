import { type Clock, createManualClock } from "@peridotvalve/clock";
import { createLoadTracker } from "@peridotvalve/load";
import { readConfiguration } from "@peridotvalve/settings";
import { createMemoryPlatform } from "@peridotvalve/tables";
import type { LoadReport } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import { Ok } from "ts-results-es";
import type { Fleet } from "../fleet/fleet.ts";
import { runRollouts } from "./rollouts.ts";

const GROUP = "llm";
const LEASE_DURATION = 15_000;
const SUSPENSION = 4 * LEASE_DURATION;

/** A daemon whose VM is suspended while it reads the reports of a rollout. */
function setUp() {
  const manual = createManualClock(1_000_000);
  let suspended = 0;
  /** The monotonic clock stops during a suspension, the wall clock does not. */
  const clock: Clock = {
    now: () => manual.now() + suspended,
    monotonic: () => manual.monotonic(),
    sleep: (...wait) => manual.sleep(...wait),
  };
  const platform = createMemoryPlatform({ clock: manual });
  const report = (): LoadReport => ({
    ...{ incarnation: "abcdef", weights: "w1", state: "ready" },
    ...{ running: 0, waiting: 0, queuedTokens: 0, at: clock.now() },
    ...{ usedBlocks: 0, freeBlocks: 100 },
  });
  const tracker = createLoadTracker(clock);
  const fences: number[] = [];
  const acquired: number[] = [];
  const replicas = ["a", "b"].map((name) => ({
    ...{ name, group: GROUP },
    engine: {
      readLoad() {
        if (suspended === 0) suspended = SUSPENSION;
        return Promise.resolve(Ok(report()));
      },
      loadWeights({ fence }: { readonly fence: number }) {
        fences.push(fence);
        return Promise.resolve({ kind: "done", value: undefined });
      },
    },
  }));
  for (const { name } of replicas) tracker.recordReport(name, report());
  const fleet = {
    list: () => replicas,
    find: (name: string) => replicas.find((one) => one.name === name),
    candidates: () => [{ reported: true, weights: "w1", state: "ready" }],
  } as unknown as Fleet;
  const replica = (port: number) => ({
    address: `127.0.0.1:${port}`,
    availabilityZone: "espoo",
  });
  const configuration = readConfiguration(JSON.stringify({
    regions: { uusimaa: { availabilityZones: ["espoo"] } },
    groups: {
      [GROUP]: {
        weights: "w2",
        replicas: { a: replica(9_001), b: replica(9_002) },
      },
    },
  })).unwrap();
  const stop = new AbortController();
  const ended = runRollouts({
    ...{ clock, platform, tracker, fleet },
    holder: "h",
    leaseDuration: LEASE_DURATION,
    content: () => configuration,
    version: () => 0,
    isReader: () => true,
    log(name, fields) {
      if (name !== "lease_acquired") return;
      const { fence } = fields as unknown as { readonly fence: number };
      acquired.push(fence);
    },
  }, stop.signal);
  return { manual, fences, acquired, stop, ended };
}

// Guards against ONE: a daemon whose VM was suspended for longer than its lease
// orders loads when it resumes, while another daemon holds the lease.
test("a lease does not outlast a suspension of the VM", async () => {
  const { manual, fences, acquired, stop, ended } = setUp();
  for (let second = 0; second < 60; second += 1) await manual.advance(1_000);
  const [first, second] = acquired;
  expect(fences.includes(first ?? 0)).toEqual(false);
  // The daemon acquires the lease again, as no other one has.
  expect(fences[0]).toEqual(second);
  stop.abort();
  await manual.advance(20_000);
  await ended;
});
