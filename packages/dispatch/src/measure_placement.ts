/**
 * Measures the time of one placement with 100 candidates, by number of daemons
 * whose load is known, with `mixed_prompts` off and on. The two variants take
 * turns, so that other load on the machine meets both alike. Prints one row for
 * each number.
 */
import { createSystemClock } from "@peridotvalve/clock";
import { createLoadView } from "@peridotvalve/load";
import type { Milliseconds } from "@peridotvalve/types";
import { createCacheView } from "./cache_view.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { createPlacement } from "./placement.ts";
import { createReplicaTable } from "./replica.ts";
import { createTransferPlanner } from "./transfers.ts";
import { createWeightTargets } from "./weights.ts";

const DAEMONS = [8, 24, 65, 195, 360];
const REPLICAS = 100;
const STORES = 26;
const SESSIONS = 500;
const RUNS = 2_000;
const WARM_UP_RUNS = 500;

const ZONES = ["a", "b", "c", "d", "e", "f"];
const REGIONS = new Map(
  ZONES.map((zone, index) => [zone, index < 3 ? "north" : "south"]),
);

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? "";
}

function createRequest(session: number): DispatchRequest {
  return {
    id: `request-${session}`,
    route: {
      name: "advice",
      host: "h",
      prefix: "/",
      kind: "stream",
      targets: [{ service: "llm", weight: 1 }],
      timeout: 12_000,
      latencyTarget: 800,
      eventGapTarget: 300,
      priority: 1,
      maxExecutions: 2,
      isPublic: true,
      isResumable: true,
    },
    service: "llm",
    prompt: {
      model: "m",
      promptTokens: 12_000,
      outputTokens: 50,
      parts: [
        { id: "guide", tokens: 512 },
        { id: `session-${session}`, tokens: 8_610 },
        { id: `own-${session}`, tokens: 2_878 },
      ],
    },
    arrivedAt: 0,
    deadline: Infinity,
  };
}

function createSubject(daemons: number, isMixed: boolean) {
  const clock = createSystemClock();
  const load = createLoadView(clock);
  const cache = createCacheView();
  const weights = createWeightTargets({ clock, patience: () => 10_000 });
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  const ids = Array.from({ length: REPLICAS }, (_, index) => `i-${index}`);
  replicas.replaceAll(ids.map((id, index) => ({
    id,
    service: "llm",
    address: `10.0.0.${index}:80`,
    zone: zoneOf(index),
    slots: 12,
    state: "ready",
    weights: new Map([["m", 1]]),
  })));
  for (let daemon = 1; daemon < daemons; daemon += 1) {
    const peer = createLoadView(clock);
    for (let count = 0; count < 6; count += 1) {
      const id = ids[(daemon * 7 + count) % REPLICAS] ?? "";
      peer.trackRequest(id, { unread: 500, memory: 2_000 });
    }
    const digest = peer.composeDigest(1_000);
    if (digest !== undefined) load.applyDigest(`front-${daemon}`, digest);
  }
  const stores = Array.from({ length: STORES }, (_, index) => ({
    address: `10.1.0.${index}:80`,
    zone: zoneOf(index),
    capacity: 1_000_000,
    tokensPerMillisecond: 600,
    startDelay: 1,
  }));
  for (let session = 0; session < SESSIONS; session += 2) {
    const { parts } = createRequest(session).prompt!;
    const { address } = stores[session % STORES]!;
    cache.expect(address, "m@1", parts.slice(0, 2));
    cache.expect(ids[session % REPLICAS] ?? "", "m@1", parts);
  }
  const transfers = createTransferPlanner({
    clock,
    cache,
    stores: () => stores,
    regions: REGIONS,
    prefillRate: () => 80,
  });
  return createPlacement({
    ...{ replicas, load, cache, weights, transfers },
    topology: { zone: "a", regions: REGIONS },
    memoryOf: () => 99_653,
    prefillRate: () => 80,
    knowsCaches: () => daemons <= 10,
    mixedPrompts: () => isMixed,
  });
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Medians of the variants: off, on. */
function measure(daemons: number): readonly Milliseconds[] {
  const subjects = [false, true].map((isMixed) => ({
    placement: createSubject(daemons, isMixed),
    times: [] as number[],
  }));
  for (let run = 0; run < WARM_UP_RUNS + RUNS; run += 1) {
    const request = createRequest(run % SESSIONS);
    for (const { placement, times } of subjects) {
      const start = performance.now();
      placement.choose(request, new Set());
      if (run >= WARM_UP_RUNS) times.push(performance.now() - start);
    }
  }
  return subjects.map(({ times }) => median(times));
}

console.log("daemons  median of one placement with 100 candidates: off, on");
for (const daemons of DAEMONS) {
  const [off = 0, on = 0] = measure(daemons);
  const ratio = (on / off).toFixed(2);
  console.log(
    `${String(daemons).padStart(7)}  ${off.toFixed(3)} ms  ${
      on.toFixed(3)
    } ms` +
      `  ${ratio}`,
  );
}
