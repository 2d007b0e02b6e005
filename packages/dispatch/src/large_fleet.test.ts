import { createManualClock, type ManualClock } from "@peridotvalve/clock";
import { createLoadView, type LoadView } from "@peridotvalve/load";
import { expect } from "earl";
import { test } from "node:test";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { createCacheView } from "./cache_view.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { createPlacement, type Placement } from "./placement.ts";
import { createReplicaTable } from "./replica.ts";
import { createTransferPlanner } from "./transfers.ts";
import { createWeightTargets } from "./weights.ts";

// The pattern: a large fleet in which each daemon sees one request in 195, and
// knows the load of its zone with a delay and that of other zones hardly.

const ZONES = ["a", "b", "c", "d", "e", "f"];
const REGIONS = new Map(
  ZONES.map((zone, index) => [zone, index < 3 ? "north" : "south"]),
);
const DAEMONS = 195;
const REPLICAS = 87;
const SLOTS = 12;
/** Requests beyond its slots that an engine accepts. */
const QUEUE = 36;
const SESSIONS = 1_972;
const STEP_MILLISECONDS = 10;
const STEPS = 2_000;
const REQUESTS_PER_STEP = 6;
const DIGEST_MILLISECONDS = 640;
const PREFILL_RATE = 81.9;
const STREAM_MILLISECONDS = 500;

interface EmulatedDaemon {
  readonly zone: string;
  readonly load: LoadView;
  readonly placement: Placement;
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? "";
}

function createDaemon(
  clock: ManualClock,
  zone: string,
  random: () => number,
): EmulatedDaemon {
  const load = createLoadView(clock);
  const cache = createCacheView({ memoryOf: () => 99_653 });
  const weights = createWeightTargets({ clock, patience: () => 10_000 });
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.replaceAll(
    Array.from({ length: REPLICAS }, (_, index) => ({
      id: `i-${index}`,
      service: "llm",
      address: `10.0.0.${index}:80`,
      zone: zoneOf(index),
      slots: SLOTS,
      state: "ready" as const,
      weights: new Map([["m", 1]]),
    })),
  );
  const transfers = createTransferPlanner({
    clock,
    cache,
    stores: () => [],
    regions: REGIONS,
    prefillRate: () => PREFILL_RATE,
  });
  const placement = createPlacement({
    ...{ replicas, load, cache, weights, transfers, random },
    topology: { zone, regions: REGIONS },
    memoryOf: () => 99_653,
    prefillRate: () => PREFILL_RATE,
    knowsCaches: () => false,
  });
  return { zone, load, placement };
}

function createRequest(id: number, session: number): DispatchRequest {
  const tokens = 500 + (session % 5) * 1_000;
  return {
    id: `request-${id}`,
    route: {
      ...{ name: "advice", host: "h", prefix: "/", kind: "stream" as const },
      ...{ targets: [{ service: "llm", weight: 1 }], timeout: 12_000 },
      ...{ latencyTarget: 800, eventGapTarget: 300, priority: 1 },
      ...{ maxExecutions: 2, isPublic: true, isResumable: true },
    },
    service: "llm",
    prompt: {
      model: "m",
      promptTokens: tokens + 500,
      outputTokens: 50,
      parts: [{ id: `s-${session}`, tokens }, { id: `o-${id}`, tokens: 500 }],
    },
    arrivedAt: 0,
    deadline: Infinity,
  };
}

/** Plays the fleet and returns what arrived at the replicas. */
async function play(seed: number) {
  const clock = createManualClock();
  const generator = xorshift128plus(seed);
  const pick = (count: number) => uniformInt(generator, 0, count - 1);
  const random = () => pick(1_000_000) / 1_000_000;
  const daemons = Array.from(
    { length: DAEMONS },
    (_, index) => createDaemon(clock, zoneOf(index), random),
  );
  const inFlight = new Map<string, number>();
  const arrivals = new Map<string, number>();
  const ends = new Map<number, (() => void)[]>();
  let placed = 0;
  let unplaced = 0;
  let turnedAway = 0;
  let beyondSlots = 0;
  for (let step = 0; step < STEPS; step += 1) {
    for (const end of ends.get(step) ?? []) end();
    ends.delete(step);
    daemons.forEach(({ zone, load }, index) => {
      const period = DIGEST_MILLISECONDS / STEP_MILLISECONDS;
      if ((step + index) % period !== 0) return;
      const digest = load.composeDigest(1_000);
      if (digest === undefined) return;
      for (const peer of daemons) {
        if (peer.zone !== zone || peer.load === load) continue;
        peer.load.applyDigest(`front-${index}`, digest).unwrap();
      }
    });
    for (let count = 0; count < REQUESTS_PER_STEP; count += 1) {
      const { placement, load } = daemons[pick(DAEMONS)]!;
      const request = createRequest(step * 100 + count, pick(SESSIONS));
      const choice = placement.choose(request, new Set());
      if (choice === undefined) {
        unplaced += 1;
        continue;
      }
      const { id } = choice.replica.entry;
      const running = inFlight.get(id) ?? 0;
      placed += 1;
      arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
      if (running >= SLOTS) beyondSlots += 1;
      if (running >= SLOTS + QUEUE) turnedAway += 1;
      inFlight.set(id, running + 1);
      const tracked = load.trackRequest(id, choice);
      const time = choice.unread / PREFILL_RATE + STREAM_MILLISECONDS;
      const last = step + Math.ceil(time / STEP_MILLISECONDS);
      const ending = ends.get(last) ?? [];
      ends.set(last, ending);
      ending.push(() => {
        inFlight.set(id, (inFlight.get(id) ?? 1) - 1);
        tracked.end();
      });
    }
    await clock.advance(STEP_MILLISECONDS);
  }
  const counts = [...arrivals.values()];
  const mean = placed / REPLICAS;
  return {
    placed,
    unplaced,
    turnedAwayShare: turnedAway / placed,
    beyondSlotsShare: beyondSlots / placed,
    busiest: Math.max(...counts) / mean,
  };
}

for (const seed of [1, 2]) {
  test(`195 daemons spread their requests over 87 replicas, seed ${seed}`, async () => {
    const result = await play(seed);
    expect(result.unplaced).toEqual(0);
    expect(result.turnedAwayShare < 0.02).toEqual(true);
    expect(result.busiest < 1.3).toEqual(true);
  });
}
