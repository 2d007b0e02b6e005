import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { createLoadView } from "@peridotvalve/load";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { expect } from "earl";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createLimits, divideLimit } from "./limits.ts";
import { createStatements } from "./statements.ts";

const HOME = "espoo";
const REPLICA = { id: "a", zone: HOME };

/** What the platform's page allows in a window. */
const WINDOW = 4 * SECOND;
const allowedFor = (limit: number) => 1.5 * limit * WINDOW / SECOND + 5;

/** Time after an answer from which requests of its daemon count. */
const NOTICE = 500;
const STEP = 100;
const DURATION = 12 * SECOND;
const ANSWER_TIME = 150;
const MAX_WAIT = 2 * SECOND;

/** Time in which a replica names its limit before a lull. */
const LULL_START = 2 * SECOND;

/** Share of a limit that must be used when three times as much comes in. */
const MIN_USED_SHARE = 0.5;

/** The users' fleets: daemons, and zones of a fleet that is divided. */
const FLEETS = [[6, 1], [16, 1], [24, 4], [89, 4], [195, 6], [360, 8]] as const;

interface Scenario {
  readonly daemons: number;
  readonly zones: number;
  readonly limit: number;
  /** Requests that come in, as a multiple of the limit. */
  readonly demand: number;
  /** 0: all daemons get the same; 1: the n-th one gets 1 / n of the first. */
  readonly skew: number;
  readonly lossRate: number;
  readonly seed: number;
  /** Time at which the demand begins; it is low at first and then 0. */
  readonly lull?: Milliseconds;
  readonly answerTime?: Milliseconds;
}

/** Requests that reach one limited replica, by time and by daemon. */
async function simulate(scenario: Scenario) {
  const { daemons, zones, limit, seed, lull = 0 } = scenario;
  const { answerTime = ANSWER_TIME } = scenario;
  const duration = DURATION + lull;
  const clock = createManualClock();
  const generator = xoroshiro128plus(seed);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const fleet = Array.from({ length: daemons }, (_, index) => {
    const statements = createStatements({ clock });
    const load = createLoadView(clock, {
      sharesRate: () => statements.find(REPLICA, "limit") !== undefined,
    });
    const zone = index % zones;
    const members = Math.ceil((daemons - zone) / zones);
    const neighborhood = {
      ...{ zone: zone === 0 ? HOME : `zone-${zone}`, members, live: members },
      ...{ isWholeFleet: zones === 1, fleetShare: members / daemons },
      rank: Math.floor(index / zones),
    };
    const limits = createLimits({
      ...{ clock, statements, random },
      rates: load.rates.bind(load),
      groupOf: (replica) => divideLimit(replica, neighborhood),
    });
    const weight = (1 + index) ** -scenario.skew;
    return {
      ...{ name: `front-${index}`, zone, statements, load, limits, weight },
      waiting: [] as number[],
      heardAt: Infinity,
      digestAt: random() * 600,
    };
  });
  const total = fleet.reduce((sum, { weight }) => sum + weight, 0);
  const answers: { readonly at: number; readonly daemon: typeof fleet[0] }[] =
    [];
  const counted: number[] = [];
  let taken = 0;
  while (clock.monotonic() < duration) {
    await clock.advance(STEP);
    const now = clock.monotonic();
    while (answers[0] !== undefined && answers[0].at <= now) {
      const { daemon } = answers.shift()!;
      daemon.statements.record(REPLICA, { limit });
      daemon.heardAt = Math.min(daemon.heardAt, now);
    }
    for (const daemon of fleet) {
      const { load, limits, statements, name, zone } = daemon;
      const demand = now > lull ? scenario.demand : now < LULL_START ? 1 : 0;
      const expected = demand * limit * daemon.weight / total * STEP / SECOND;
      if (random() < expected) daemon.waiting.push(now);
      if (expected > 1) {
        for (let more = 1; more < expected; more += 1) daemon.waiting.push(now);
      }
      daemon.waiting = daemon.waiting.filter((at) => at > now - MAX_WAIT);
      while (daemon.waiting.length > 0 && limits.hasRoom(REPLICA)) {
        daemon.waiting.shift();
        limits.take(REPLICA);
        const request = load.trackRequest("a", { unread: 1, memory: 1 });
        answers.push({ at: now + answerTime, daemon });
        request.end();
        if (now >= daemon.heardAt + NOTICE) counted.push(now);
        if (now > lull + DURATION / 2) taken += 1;
      }
      if (now < daemon.digestAt) continue;
      daemon.digestAt = now + 600 + random() * 200;
      const digest = load.composeDigest(400);
      const news = statements.compose(200);
      for (const other of fleet) {
        if (other === daemon || other.zone !== zone) continue;
        if (random() < scenario.lossRate) continue;
        if (digest !== undefined) other.load.applyDigest(name, digest).unwrap();
        if (news !== undefined) assert(other.statements.apply(news));
      }
    }
  }
  return {
    most: countBusiestWindow(counted),
    used: taken / (limit * DURATION / 2 / SECOND),
  };
}

function countBusiestWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  times.forEach((at, index) => {
    while (at - (times[first] ?? 0) > WINDOW) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

// Guards against a limit that is exceeded as soon as each daemon takes what it
// likes, and against waits that end before there is room.
test("the wait for a limit follows from the requests ahead", async () => {
  const clock = createManualClock();
  const statements = createStatements({ clock });
  const limits = createLimits({
    ...{ clock, statements, random: () => 0 },
    rates: () => ({ own: 1, peers: 0 }),
    groupOf: () => ({ fraction: 1, members: 1, live: 1 }),
  });
  const other = { id: "b", zone: HOME };
  expect(limits.hasRoom(REPLICA)).toEqual(true);
  statements.record(REPLICA, { limit: 2 });
  expect(limits.rateOf(REPLICA)).toEqual(2);
  expect(limits.estimateWait([REPLICA], 1)).toEqual(500);
  expect(limits.estimateWait([REPLICA], 5)).toEqual(2_500);
  expect(limits.estimateWait([REPLICA, other], 5)).toEqual(0);
  expect(limits.estimateWait([], 5)).toEqual(0);
  await clock.advance(499);
  expect(limits.hasRoom(REPLICA)).toEqual(false);
  await clock.advance(1);
  expect(limits.hasRoom(REPLICA)).toEqual(true);
  limits.take(REPLICA);
  expect(limits.hasRoom(REPLICA)).toEqual(false);
  limits.giveBack(REPLICA);
  expect(limits.hasRoom(REPLICA)).toEqual(true);
  statements.record(REPLICA, {});
  expect(limits.rateOf(REPLICA)).toEqual(Infinity);
});

// Guards against daemons on both sides of a cut that each take the whole limit.
test("a daemon leaves their part to daemons that it cannot reach", async () => {
  const clock = createManualClock();
  const statements = createStatements({ clock });
  const group = { fraction: 1, members: 8, live: 8 };
  const limits = createLimits({
    ...{ clock, statements },
    rates: () => ({ own: 4, peers: 0 }),
    groupOf: () => group,
  });
  statements.record(REPLICA, { limit: 8 });
  expect(limits.rateOf(REPLICA)).toEqual(1);
  await clock.advance(1_500);
  expect(limits.rateOf(REPLICA)).toEqual(8);
  group.live = 2;
  expect(limits.rateOf(REPLICA)).toEqual(2);
});

// Guards against fleets whose daemons each take all of a limit, or of which
// some leave their parts unused while others refuse requests.
for (const [daemons, zones] of FLEETS) {
  test(`${daemons} daemons together keep a replica's limit`, async () => {
    for (const limit of [0.5, 9.5, 40]) {
      for (const [demand, skew] of [[0.5, 0], [3, 0], [3, 1]] as const) {
        const scenario = {
          ...{ daemons, zones, limit, demand, skew },
          ...{ lossRate: 0.05, seed: daemons },
        };
        const { most, used } = await simulate(scenario);
        const text = JSON.stringify({ ...scenario, most, used });
        assert(most <= allowedFor(limit), text);
        // Uneven load must not leave most of a limit unused.
        const needsAll = skew > 0 && limit > 1;
        assert(!needsAll || used > MIN_USED_SHARE, text);
      }
    }
  });
}

// Guards against daemons that forget a limit in a lull, and against ones that each
// take all of it afterwards, as they have heard of no requests of the others.
for (const [daemons, zones] of FLEETS) {
  test(`${daemons} daemons keep a replica's limit after a lull`, async () => {
    for (const limit of [9.5, 40]) {
      for (const lull of [8 * SECOND, 30 * SECOND]) {
        const scenario = {
          ...{ daemons, zones, limit, demand: 20, skew: 0, lull },
          ...{ answerTime: 1.5 * SECOND, lossRate: 0.05, seed: daemons },
        };
        const { most, used } = await simulate(scenario);
        const text = JSON.stringify({ ...scenario, most, used });
        assert(most <= allowedFor(limit), text);
      }
    }
  });
}

// Guards against LIMIT right after the settling time: the load of all daemons rises
// within it, and each takes the others to send what they sent before.
test("a rate that rises while equal parts hold is not used at once", async () => {
  const clock = createManualClock();
  await clock.advance(60 * SECOND);
  const statements = createStatements({ clock });
  let own = 0;
  const limits = createLimits({
    ...{ clock, statements, rates: () => ({ own, peers: 0 }) },
    groupOf: () => ({ fraction: 1, members: 4, live: 4 }),
  });
  statements.record(REPLICA, { limit: 40 });
  for (let at = 0; at < 14; at += 1) {
    expect(limits.rateOf(REPLICA)).toEqual(10);
    await clock.advance(100);
  }
  // Requests come in; the peers hear of them a heartbeat later.
  own = 10;
  await clock.advance(100);
  expect(limits.rateOf(REPLICA)).toEqual(10);
});
