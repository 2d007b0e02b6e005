import type { Candidate } from "@peridotvalve/routing";
import { expect } from "earl";
import { test } from "node:test";
import { planWeightVersion } from "./weights.ts";

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
  change: Partial<Parameters<typeof planWeightVersion>[0]> = {},
): string {
  return planWeightVersion({
    conversation,
    target: "w2",
    barredZones: [],
    excluded: [],
    pinned: undefined,
    ...change,
  }, candidates);
}

test("versions share the conversations by their ready slots", () => {
  // If the target version took all requests as soon as one replica had it, one
  // of six replicas would receive all of them.
  for (const updated of [1, 3, 5]) {
    const replicas = [
      ...makeReplicas("w1", 6 - updated),
      ...makeReplicas("w2", updated),
    ];
    const planned = CONVERSATIONS.map((key) => plan(replicas, key));
    const share = planned.filter((weights) => weights === "w2").length / 1_000;
    expect(Math.abs(share - updated / 6) < 0.06).toEqual(true);
  }
});

test("a conversation moves to the new version at most once", () => {
  for (const key of CONVERSATIONS) {
    const planned = [0, 1, 2, 3, 4, 5, 6].map((updated) =>
      plan([
        ...makeReplicas("w1", 6 - updated),
        ...makeReplicas("w2", updated),
      ], key)
    );
    expect(planned).toEqual([...planned].sort());
  }
});

test("only replicas that are eligible for the request are counted", () => {
  const replicas = [...makeReplicas("w1", 1), ...makeReplicas("w2", 1)];
  const [outdated, updated] = replicas as [Candidate, Candidate];
  const barred = { ...updated, availabilityZone: "vaasa" };
  for (const key of CONVERSATIONS.slice(0, 20)) {
    expect(plan([outdated, barred], key, { barredZones: ["vaasa"] })).toEqual(
      "w1",
    );
    expect(plan(replicas, key, { excluded: ["w1-0"] })).toEqual("w2");
    expect(plan([outdated, { ...updated, state: "loading" }], key)).toEqual(
      "w1",
    );
    expect(plan(replicas, key, { pinned: "w1" })).toEqual("w1");
  }
  expect(plan([], "kennel/1")).toEqual("w2");
});
