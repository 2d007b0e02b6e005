import type { Candidate } from "@peridotvalve/routing";
import { expect } from "earl";
import { test } from "node:test";
import { planWeights } from "./weights.ts";

const CONVERSATIONS = Array.from({ length: 1_000 }, (_, i) => `kennel/${i}`);

function makeReplicas(weights: string, count: number): readonly Candidate[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${weights}-${index}`,
    availabilityZone: "espoo",
    region: "uusimaa",
    weights,
    state: "ready" as const,
    weight: 8,
    slots: 8,
    prefillTokensPerSecond: 8_000,
    unreported: { requests: 0, tokens: 0 },
    health: "healthy" as const,
    probeDue: false,
  }));
}

function plan(
  candidates: readonly Candidate[],
  conversation: string,
  change: Partial<Parameters<typeof planWeights>[0]> = {},
): string {
  return planWeights({
    conversation,
    target: "w2",
    barredZones: [],
    excluded: [],
    begun: undefined,
    ...change,
  }, candidates);
}

test("versions share the conversations by their ready slots", () => {
  // With the target preferred as soon as one replica has it, one replica of
  // six would get all requests.
  for (const swapped of [1, 3, 5]) {
    const replicas = [
      ...makeReplicas("w1", 6 - swapped),
      ...makeReplicas("w2", swapped),
    ];
    const planned = CONVERSATIONS.map((key) => plan(replicas, key));
    const part = planned.filter((weights) => weights === "w2").length / 1_000;
    expect(Math.abs(part - swapped / 6) < 0.06).toEqual(true);
  }
});

test("a conversation moves to the new version at most once", () => {
  for (const key of CONVERSATIONS) {
    const planned = [0, 1, 2, 3, 4, 5, 6].map((swapped) =>
      plan([
        ...makeReplicas("w1", 6 - swapped),
        ...makeReplicas("w2", swapped),
      ], key)
    );
    expect(planned).toEqual([...planned].sort());
  }
});

test("only replicas that can take the request count", () => {
  const replicas = [...makeReplicas("w1", 1), ...makeReplicas("w2", 1)];
  const [old, swapped] = replicas as [Candidate, Candidate];
  const far = { ...swapped, availabilityZone: "vaasa" };
  for (const key of CONVERSATIONS.slice(0, 20)) {
    expect(plan([old, far], key, { barredZones: ["vaasa"] })).toEqual("w1");
    expect(plan(replicas, key, { excluded: ["w1-0"] })).toEqual("w2");
    expect(plan([old, { ...swapped, state: "loading" }], key)).toEqual("w1");
    expect(plan(replicas, key, { begun: "w1" })).toEqual("w1");
  }
  expect(plan([], "kennel/1")).toEqual("w2");
});
