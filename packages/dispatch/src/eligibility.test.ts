import { createManualClock } from "@peridotvalve/clock";
import { createLoadView } from "@peridotvalve/load";
import { restrictZones } from "@peridotvalve/routing";
import { expect } from "earl";
import { test } from "node:test";
import { createCacheView } from "./cache_view.ts";
import type { Customer, Route } from "./desired_state.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { createEligibility } from "./eligibility.ts";
import { createPlacement, readSalt, saltOf } from "./placement.ts";
import { createReplicaTable } from "./replica.ts";
import { createTransferPlanner } from "./transfers.ts";
import { createWeightTargets } from "./weights.ts";

/** Counts how often the zones are listed. */
class CountedRegions extends Map<string, string> {
  listed = 0;
  override [Symbol.iterator]() {
    this.listed += 1;
    return super[Symbol.iterator]();
  }
}

const ZONES: readonly (readonly [string, string])[] = [
  ["espoo", "uusimaa"],
  ["vantaa", "uusimaa"],
  ["vaasa", "pohjanmaa"],
];
const PARTS = [{ id: "shared", tokens: 4_000 }, { id: "own", tokens: 50 }];

function createRoute(allowedRegions?: readonly string[]): Route {
  return {
    ...{ name: "advice", host: "h", prefix: "/", kind: "stream" },
    ...{ targets: [], timeout: 1_000, latencyTarget: 500, eventGapTarget: 300 },
    ...{ priority: 1, maxExecutions: 2, isPublic: true, isResumable: true },
    ...(allowedRegions === undefined ? {} : { allowedRegions }),
  };
}

function createCustomer(allowedRegions: readonly string[]): Customer {
  return { name: "kennel", isIsolated: false, allowedRegions };
}

function createRequest(
  { route = createRoute(), ...rest }: Partial<DispatchRequest> = {},
): DispatchRequest {
  return {
    ...{ id: "r", route, service: "llm", arrivedAt: 0, deadline: Infinity },
    prompt: {
      ...{ model: "m", promptTokens: 4_050, outputTokens: 9, parts: PARTS },
    },
    ...rest,
  };
}

/** A daemon in espoo with two replicas and one store in each zone. */
function setUp(evacuated = () => new Set<string>()) {
  const regions = new CountedRegions(ZONES);
  const clock = createManualClock();
  const [load, cache] = [createLoadView(clock), createCacheView()];
  const weights = createWeightTargets({ clock, patience: () => 10_000 });
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.replaceAll(
    ZONES.flatMap(([zone]) =>
      ["llm", "shop"].map((service) => ({
        ...{
          id: `${service}-${zone}`,
          service,
          address: `${service}-${zone}:1`,
        },
        ...{ zone, slots: 4, state: "ready" as const },
        weights: new Map([["m", 1]]),
      }))
    ),
  );
  const eligibility = createEligibility({ regions, evacuated });
  const stores = ZONES.map(([zone]) => ({
    ...{ address: `store-${zone}`, zone, capacity: 1e6 },
    ...{ tokensPerMillisecond: 600, startDelay: 1 },
  }));
  const placement = createPlacement({
    ...{ replicas, load, cache, weights, eligibility },
    topology: { zone: "espoo", regions },
    memoryOf: () => 100_000,
    transfers: createTransferPlanner({
      ...{ clock, cache, regions, stores: () => stores },
      prefillRate: () => 100,
    }),
    prefillRate: () => 100,
  });
  const choose = (request: DispatchRequest, excluded: string[] = []) =>
    placement.choose(request, new Set(excluded));
  return { regions, cache, load, replicas, eligibility, placement, choose };
}

test("both restrictions apply, and unknown regions allow nothing", () => {
  const zonesFor = (...lists: (readonly string[] | undefined)[]) => {
    const scope = restrictZones(new Map(ZONES), lists);
    return scope && [...scope.zones];
  };
  expect(zonesFor(undefined, [])).toEqual(undefined);
  expect(zonesFor(["uusimaa"], undefined)).toEqual(["espoo", "vantaa"]);
  expect(zonesFor(["uusimaa", "pohjanmaa"], ["pohjanmaa"])).toEqual(["vaasa"]);
  expect(zonesFor(["uusimaa"], ["pohjanmaa"])).toEqual([]);
  expect(zonesFor(["atlantis"])).toEqual([]);
});

// Guards against a request that leaves its regions under load: the replicas of
// the region are full, have failed or have refused, and others are idle.
test("no other region is a way out of a region without room", () => {
  const { choose, load, placement, replicas } = setUp();
  const requests = [
    createRequest({ route: createRoute(["pohjanmaa"]) }),
    createRequest({ customer: createCustomer(["pohjanmaa"]) }),
  ];
  for (let sent = 0; sent < 300; sent += 1) {
    const choice = choose(requests[sent % 2]!);
    if (choice === undefined) break;
    expect(choice.replica.entry.zone).toEqual("vaasa");
    load.trackRequest(choice.replica.entry.id, choice);
  }
  replicas.recordFailure("llm-vaasa");
  const plain = { ...requests[1]!, service: "shop" };
  for (const request of [requests[0]!, plain]) {
    const service = request.service;
    expect(placement.candidates(request, new Set()).map(({ id }) => id))
      .toEqual([`${service}-vaasa`]);
    const refused = [`${service}-vaasa`];
    expect(choose(request, refused)).toEqual(undefined);
    expect(placement.hasCandidates(request, new Set(refused))).toEqual(false);
  }
  expect(placement.barrierOf(requests[0]!)).toEqual(undefined);
  const nowhere = createRequest({ route: createRoute(["atlantis"]) });
  expect(choose(nowhere)).toEqual(undefined);
  expect(placement.barrierOf(nowhere)).toEqual("regions");
});

// Guards against cached parts that cross a region in either direction: of a
// restricted request to a far store, and by an unrestricted one that finds them.
test("parts of a restricted request stay in its regions", () => {
  const { cache, choose } = setUp();
  const restricted = createRequest({ route: createRoute(["uusimaa"]) });
  const { salt = "", parts } = choose(restricted) ?? {};
  expect(salt).toEqual("m@1~[uusimaa]");
  expect(parts?.[0]?.saveTo).not.toEqual("store-vaasa");
  cache.apply("store-vaasa", { salt, part: "shared", tokens: 4_000 });
  expect(choose(restricted)?.parts?.[0]?.fetchFrom).toEqual(undefined);
  cache.apply("store-espoo", { salt, part: "shared", tokens: 4_000 });
  expect(choose(restricted)?.parts?.[0]?.fetchFrom).toEqual("store-espoo");
  const far = ["llm-espoo", "llm-vantaa"];
  expect(choose(createRequest(), far)?.parts?.[0]?.fetchFrom)
    .toEqual(undefined);
  // A wider restriction is another salt, so its requests move nothing either.
  const wide = createRequest({ route: createRoute(["pohjanmaa", "uusimaa"]) });
  expect(choose(wide, far)?.parts?.[0]?.fetchFrom).toEqual(undefined);
});

test("salts with regions are distinct and readable", () => {
  const { eligibility } = setUp();
  const label = eligibility.scopeOf(
    createRequest({ route: createRoute(["uusimaa", "pohjanmaa"]) }),
  )?.label;
  const customer = { name: "a", isIsolated: true };
  const salts = [{}, { customer }, { cacheGroup: "g" }].flatMap((request) => [
    saltOf(request, "m", 2),
    saltOf(request, "m", 2, label),
  ]);
  expect(new Set(salts).size).toEqual(6);
  expect(label).toEqual("[pohjanmaa,uusimaa]");
  for (const salt of salts) {
    expect(readSalt(salt)).toEqual({ model: "m", version: 2 });
  }
});

// Guards against a gate whose cost grows with requests or replicas.
test("the zones are computed once for a route and customer", () => {
  const { choose, regions } = setUp();
  const route = createRoute(["uusimaa"]);
  const customer = createCustomer(["uusimaa", "pohjanmaa"]);
  for (let sent = 0; sent < 500; sent += 1) {
    choose(createRequest({ route, customer }));
    choose(createRequest({ route }));
    choose(createRequest());
  }
  expect(regions.listed).toEqual(2);
});

// Guards against an evacuated replica that is used as a last resort while all
// others are full, fail or are excluded.
test("nothing is placed in an evacuated zone, whatever is left", () => {
  let evacuated = new Set<string>();
  const { cache, choose, placement, replicas } = setUp(() => evacuated);
  const far = ["llm-vaasa", "shop-vaasa"];
  const prompt = createRequest();
  const { prompt: _, ...rest } = prompt;
  const plain = { ...rest, service: "shop" };
  const isBarred = placement.watchCandidates(prompt, new Set(far));
  expect([isBarred(), placement.barrierOf(prompt)]).toEqual([false, undefined]);
  evacuated = new Set(["espoo", "vantaa"]);
  for (const id of far) replicas.recordFailure(id);
  for (const request of [prompt, plain]) {
    expect(choose(request)?.replica.entry.zone).toEqual("vaasa");
    expect(placement.candidates(request, new Set()).length).toEqual(1);
    expect(choose(request, far)).toEqual(undefined);
    expect(placement.hasCandidates(request, new Set(far))).toEqual(false);
    expect(placement.barrierOf(request)).toEqual("evacuation");
  }
  const [near] = replicas.usable("llm");
  expect(near && placement.mayUse(prompt, near.entry)).toEqual(false);
  expect(isBarred()).toEqual(true);
  const salt = choose(prompt)?.salt ?? "";
  cache.apply("store-espoo", { salt, part: "shared", tokens: 4_000 });
  expect(choose(prompt)?.parts?.[0]?.fetchFrom).toEqual(undefined);
  evacuated = new Set();
  expect(isBarred()).toEqual(false);
  expect(choose(plain)?.replica.entry.zone).toEqual("espoo");
});
