import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { createPrefixIndex } from "./prefix_index.ts";
import type { Candidate, PlacementRequest, StoreCopy } from "./candidate.ts";
import { createLinkBudget, LinkBudget } from "./link_budget.ts";
import type { Placement } from "./placement.ts";
import { createEstimatePlacement } from "./policies/estimate.ts";
import { createLeastLoadPlacement } from "./policies/least_load.ts";
import { createRandomPlacement } from "./policies/random.ts";
import { createRoundRobinPlacement } from "./policies/round_robin.ts";
import { createStickyPlacement } from "./policies/sticky.ts";
import { createRandomSource } from "./random_source.ts";

const ORIGIN = { availabilityZone: "espoo", region: "uusimaa" };

function makeCandidate(
  name: string,
  change: Partial<Candidate> = {},
): Candidate {
  return {
    name,
    ...ORIGIN,
    weights: "w1",
    state: "ready",
    weight: 1,
    slots: 8,
    prefillTokensPerSecond: 10_000,
    unreported: { requests: 0, tokens: 0 },
    health: "healthy",
    probeDue: false,
    ...change,
  };
}

function makeRequest(change: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    conversation: "c-1",
    customer: "kennel",
    weights: "w1",
    blocks: ["00000001000000a1", "00000002000000a2"],
    tokensPerBlock: 2_000,
    promptTokens: 4_500,
    promptBytes: 18_000,
    blockBytes: 2_000_000,
    barredZones: [],
    returning: false,
    copies: [],
    ...change,
  };
}

/** A link with a constant byte budget. */
function createFixedLink(bytes: number, rate = 2_500_000): LinkBudget {
  return new (class extends LinkBudget {
    override available = () => bytes;
    override bytesPerSecond = () => rate;
    override reserve = (_customer: string, wanted: number) => wanted <= bytes;
  })();
}

function setUp(link = createFixedLink(1e9), seed = 1) {
  const clock = createManualClock();
  const prefixIndex = createPrefixIndex({ clock, capacity: 1_000 });
  const placement = createEstimatePlacement({
    prefixIndex,
    link,
    random: createRandomSource(seed),
    origin: ORIGIN,
    zoneLatency: 1.5,
    regionLatency: 10,
  });
  return { clock, prefixIndex, placement };
}

const candidates = fc.array(
  fc.record({
    zone: fc.constantFrom("espoo", "vantaa", "vaasa"),
    state: fc.constantFrom("ready", "loading", "leaving", "dead"),
    weights: fc.constantFrom("w1", "w2"),
    tokens: fc.nat(20_000),
  }),
  { maxLength: 12 },
);

test("no policy chooses a replica that is barred, not ready or of other weights", () => {
  const policies: readonly Placement[] = [
    setUp().placement,
    createLeastLoadPlacement(),
    createRandomPlacement(createRandomSource(2)),
    createRoundRobinPlacement(),
    createStickyPlacement(),
  ];
  const barred = fc.subarray(["espoo", "vantaa", "vaasa"]);
  fc.assert(fc.property(candidates, barred, (drawn, barredZones) => {
    const all = drawn.map((entry, index) =>
      makeCandidate(`r${index}`, {
        availabilityZone: entry.zone,
        state: entry.state as Candidate["state"],
        weights: entry.weights,
        unreported: { requests: 1, tokens: entry.tokens },
      })
    );
    const allowed = all.filter((candidate) =>
      candidate.state === "ready" && candidate.weights === "w1" &&
      !barredZones.includes(candidate.availabilityZone) &&
      candidate.name !== "r0"
    );
    const request = makeRequest({ barredZones, excluded: ["r0"] });
    for (const policy of policies) {
      const names = policy.rank(request, all).map((r) => r.candidate.name);
      const expected = allowed.map((candidate) => candidate.name);
      expect(names.toSorted()).toEqual(expected.toSorted());
    }
  }));
});

test("the parts of an estimate add up to the estimate", () => {
  const { placement } = setUp();
  const far = { availabilityZone: "vaasa", region: "pohjanmaa" };
  const all = [makeCandidate("r1"), makeCandidate("r2", far)];
  for (const ranked of placement.rank(makeRequest(), all)) {
    const total = Object.values(ranked.parts).reduce((sum, part) => sum + part);
    expect(Math.abs(total - ranked.estimate) < 1e-6).toEqual(true);
  }
});

test("a replica that caches the prefix is chosen until its queue costs more", () => {
  const { prefixIndex, placement } = setUp();
  const request = makeRequest();
  const holder = { replica: "r3", weights: "w1" };
  prefixIndex.recordDispatch(holder, request.blocks);
  const all = ["r1", "r2", "r3"].map((name) => makeCandidate(name));
  const [first] = placement.rank(request, all);
  expect([first?.candidate.name, first?.kind]).toEqual(["r3", "cached"]);
  const busy = { unreported: { requests: 9, tokens: 30_000 } };
  const [second] = placement.rank(request, [
    ...all.slice(0, 2),
    makeCandidate("r3", busy),
  ]);
  expect(second?.candidate.name).not.toEqual("r3");
});

const COPY: StoreCopy = {
  store: "guide-cache-1",
  ...ORIGIN,
  blocks: 2,
  bytesPerSecond: 100_000_000,
};

test("blocks are imported only where that is faster than prefill", () => {
  const { placement } = setUp();
  const all = [makeCandidate("r1")];
  const fast = placement.rank(makeRequest({ copies: [COPY] }), all)[0];
  expect([fast?.kind, fast?.copy]).toEqual(["import", COPY]);
  const slowCopy = { ...COPY, bytesPerSecond: 1_000_000 };
  const slow = placement.rank(makeRequest({ copies: [slowCopy] }), all)[0];
  expect(slow?.kind).toEqual("recompute");
});

test("the prompt crosses the region link instead of its cache blocks", () => {
  const { placement } = setUp();
  const far = { availabilityZone: "vaasa", region: "pohjanmaa" };
  const copies = [{ ...COPY, ...far }];
  const busy = { unreported: { requests: 20, tokens: 60_000 } };
  const all = [makeCandidate("near", busy), makeCandidate("far", far)];
  const [first] = placement.rank(makeRequest({ copies }), all);
  expect([first?.candidate.name, first?.linkBytes]).toEqual(["far", 18_000]);
  const empty = setUp(createFixedLink(1_000)).placement;
  const names = empty.rank(makeRequest({ copies }), all)
    .map((ranked) => ranked.candidate.name);
  expect(names).toEqual(["near"]);
});

test("daemons with different seeds agree on equal candidates", () => {
  const all = Array.from({ length: 9 }, (_, i) => makeCandidate(`r${i}`));
  const choices = [1, 2, 3, 4].map((seed) =>
    setUp(undefined, seed).placement.rank(makeRequest(), all)[0]?.candidate
  );
  expect(new Set(choices).size).toEqual(1);
});

test("daemons with the same old reports spread over near-equal replicas", () => {
  const tokens = [0, 30, 60, 9_000];
  const all = tokens.map((queued, index) =>
    makeCandidate(`r${index}`, { unreported: { requests: 0, tokens: queued } })
  );
  const names = new Set(
    Array.from(
      { length: 60 },
      (_, seed) =>
        setUp(undefined, seed).placement.rank(makeRequest(), all)[0]
          ?.candidate.name,
    ),
  );
  expect([...names].toSorted()).toEqual(["r0", "r1", "r2"]);
});

const reservations = fc.array(
  fc.record({
    customer: fc.constantFrom("a", "b", "c"),
    bytes: fc.nat(60_000),
    wait: fc.nat(2_000),
  }),
  { maxLength: 80 },
);

interface Reservation {
  readonly customer: string;
  readonly bytes: number;
  readonly wait: number;
}

/** Whether more bytes were granted than the burst plus the refill since. */
async function isOverrun(
  all: readonly Reservation[],
  unlimited?: LinkBudget,
): Promise<boolean> {
  const clock = createManualClock();
  const link = unlimited ?? createLinkBudget({
    clock,
    bytesPerSecond: () => 100_000,
    liveDaemons: () => 2,
    shareOf: (customer) => customer === "a" ? 2 : 1,
  });
  let taken = 0;
  for (const { customer, bytes, wait } of all) {
    const available = link.available(customer);
    const granted = link.reserve(customer, bytes);
    expect(granted).toEqual(bytes <= available);
    if (granted) taken += bytes;
    if (taken > 50_000 + 50 * clock.monotonic() + 1e-3) return true;
    await clock.advance(wait);
  }
  return false;
}

test("reservations never exceed the link budget", async () => {
  await fc.assert(
    fc.asyncProperty(reservations, async (all) => {
      expect(await isOverrun(all)).toEqual(false);
    }),
    { numRuns: 30 },
  );
});

test("the budget check fails for a link without a budget", async () => {
  const flood = { customer: "a", bytes: 40_000, wait: 10 };
  const overrun = await isOverrun([flood, flood], createFixedLink(1e9));
  expect(overrun).toEqual(true);
});

test("a customer that floods the link leaves the others their share", async () => {
  const clock = createManualClock();
  const link = createLinkBudget({
    clock,
    bytesPerSecond: () => 100_000,
    liveDaemons: () => 1,
    shareOf: () => 1,
  });
  const taken = { flood: 0, calm: 0 };
  for (let step = 0; step < 400; step += 1) {
    while (link.reserve("flood", 1_000)) taken.flood += 1_000;
    while (link.reserve("calm", 4_000)) taken.calm += 4_000;
    await clock.advance(100);
  }
  expect(taken.calm >= 0.9 * 100 * clock.monotonic() / 2).toEqual(true);
});
