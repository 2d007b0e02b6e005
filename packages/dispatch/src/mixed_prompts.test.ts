import { expect } from "earl";
import { test } from "node:test";
import {
  createMixedPrompts,
  type Occupancy,
  type PromptTraits,
} from "./mixed_prompts.ts";
import {
  DEPLOYMENT_A,
  DEPLOYMENT_B,
  type SimulatedDeployment,
  simulateFleet,
} from "./simulated_fleet.ts";

// The pattern: a burst of 2.5 times the load that docs/design/hard-load.md
// states, over a second, with long, short and middle prompts on all replicas.
const BURST = { load: 2.5, duration: 5_000 };

async function countLate(deployment: SimulatedDeployment, isMixed: boolean) {
  let late = 0;
  let prefilled = 0;
  for (const seed of [1, 2, 3]) {
    const result = await simulateFleet(deployment, {
      ...{ ...BURST, seed, isMixed },
    });
    for (const { total, inTarget } of result.kinds.values()) {
      late += total - inTarget;
    }
    prefilled += result.sharedPrefilled;
  }
  return { late, prefilled };
}

// Guards against short prompts behind long ones, and against shared parts that
// each zone prefills for itself although a replica of the region holds them.
const DEPLOYMENTS = { A: DEPLOYMENT_A, B: DEPLOYMENT_B };
for (const [name, deployment] of Object.entries(DEPLOYMENTS)) {
  test(`fewer prompts of deployment ${name} are late in a burst`, async () => {
    const off = await countLate(deployment, false);
    const on = await countLate(deployment, true);
    expect(on.late * 2 < off.late).toEqual(true);
    expect(on.prefilled < off.prefilled * 0.85).toEqual(true);
  });
}

const LONG: PromptTraits = {
  ...{ service: "llm", route: "long", latencyTarget: 808, age: 0, rate: 66 },
  eventGapTarget: 300,
};
const SHORT: PromptTraits = { ...LONG, route: "short", latencyTarget: 603 };
const EFFORT = { unread: 11_992, recomputed: 0, fetch: 0 };

function occupancy(unread: number, slowness = 1): Occupancy {
  const load = { requests: 4, unread, memory: 0, recentTokens: 0 };
  return { load, slots: 16, slowness, distance: "zone" };
}

// Guards against a long prompt that is put in front of short ones, and against
// one that waits for them until it is late itself.
test("a long prompt waits while it would block short ones", () => {
  const mixed = createMixedPrompts({ now: () => 0 });
  const mayBlock = (prompt: PromptTraits, unread: number) => {
    const weighing = mixed.weigh(prompt);
    return weighing.mayBlock(weighing.occupy(occupancy(unread)), EFFORT);
  };
  mixed.weigh(SHORT);
  expect(mayBlock(LONG, 0)).toEqual(true);
  expect(mayBlock(LONG, 66 * 100)).toEqual(true);
  expect(mayBlock(LONG, 66 * 200)).toEqual(false);
  expect(mayBlock({ ...LONG, age: 300 }, 66 * 200)).toEqual(true);
  expect(mayBlock({ ...LONG, age: 300 }, 66 * 400)).toEqual(false);
});

// Guards against targets of routes that are no longer called.
test("the bound follows the prompts that are there", () => {
  let now = 0;
  const mixed = createMixedPrompts({ now: () => now });
  const mayBlock = () => {
    const weighing = mixed.weigh(LONG);
    return weighing.mayBlock(weighing.occupy(occupancy(66 * 200)), EFFORT);
  };
  mixed.weigh({ ...SHORT, latencyTarget: 258 });
  expect(mayBlock()).toEqual(false);
  now = 6_000;
  expect(mayBlock()).toEqual(true);
});

// Guards against prompts that go to a slow machine because it has the least to
// prefill.
test("a slow machine costs more than a longer queue", () => {
  const weighing = createMixedPrompts({ now: () => 0 }).weigh(LONG);
  const at = (unread: number, slowness: number) =>
    weighing.forecast(weighing.occupy(occupancy(unread, slowness)), EFFORT);
  expect(at(0, 5).cost > at(66 * 200, 1).cost).toEqual(true);
  expect(at(0, 5).isInTarget).toEqual(false);
  expect(at(66 * 200, 1).isInTarget).toEqual(true);
});
