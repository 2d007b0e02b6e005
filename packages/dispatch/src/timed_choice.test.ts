import { createManualClock } from "@peridotvalve/clock";
import { createLoadView } from "@peridotvalve/load";
import { expect } from "earl";
import { test } from "node:test";
import { createCacheView } from "./cache_view.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { createPlacement } from "./placement.ts";
import { createReplicaTable } from "./replica.ts";
import { createTransferPlanner } from "./transfers.ts";
import { createWeightTargets } from "./weights.ts";

// The pattern: two replicas with memory for 40,000 tokens, of which running
// prompts of deployment A (9,122 shared and 2,870 own tokens) fill one.

function createSubject(isMixed = true) {
  const clock = createManualClock();
  const load = createLoadView(clock);
  const cache = createCacheView();
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.replaceAll(["i-0", "i-1"].map((id) => ({
    ...{ id, service: "llm", address: `${id}:80`, zone: "a", slots: 16 },
    ...{ state: "ready" as const, weights: new Map([["m", 1]]) },
  })));
  const topology = { zone: "a", regions: new Map([["a", "north"]]) };
  const transfers = createTransferPlanner({
    ...{ clock, cache, stores: () => [], regions: topology.regions },
    prefillRate: () => 66,
  });
  const placement = createPlacement({
    ...{ replicas, load, cache, topology, transfers },
    weights: createWeightTargets({ clock, patience: () => 10_000 }),
    ...{ memoryOf: () => 40_000, prefillRate: () => 66, random: () => 0.5 },
    mixedPrompts: () => isMixed,
  });
  let count = 0;
  const request = (priority: number): DispatchRequest => ({
    id: `r-${count += 1}`,
    route: {
      ...{ name: "long", host: "h", prefix: "/", kind: "stream" },
      ...{ targets: [], timeout: 12_000, latencyTarget: 808, priority },
      ...{ eventGapTarget: 300, maxExecutions: 2, isPublic: true },
      isResumable: true,
    },
    service: "llm",
    prompt: {
      ...{ model: "m", promptTokens: 11_992, outputTokens: 48 },
      parts: [
        { id: "session", tokens: 9_122 },
        { id: `own-${count}`, tokens: 2_870 },
      ],
    },
    ...{ arrivedAt: 0, deadline: Infinity },
  });
  const place = (priority = 2, excluded: readonly string[] = []) => {
    const choice = placement.choose(request(priority), new Set(excluded));
    if (choice === undefined) return undefined;
    const { id } = choice.replica.entry;
    cache.expect(id, choice.salt ?? "", request(0).prompt!.parts.slice(0, 1));
    load.trackRequest(id, choice).recordFirstToken();
    return id;
  };
  const fill = (id: string, memory: number) =>
    load.trackRequest(id, { unread: 0, memory });
  return { place, fill };
}

// Guards against a holder that looks full because each of its running requests
// counts the part that they share.
test("prompts of a session share its memory at the replica", () => {
  const countPlaced = (isMixed: boolean) => {
    const { place } = createSubject(isMixed);
    return Array.from({ length: 7 }, () => place(2, ["i-1"]))
      .filter((id) => id !== undefined).length;
  };
  expect(countPlaced(false)).toEqual(3);
  expect(countPlaced(true)).toEqual(7);
});

// Guards against a preemption while another replica has room, and against an
// urgent prompt that waits for less urgent ones to end.
test("a full replica takes an urgent prompt only when all are full", () => {
  for (const full of ["i-0", "i-1"]) {
    const { place, fill } = createSubject();
    fill(full, 36_000);
    const other = full === "i-0" ? "i-1" : "i-0";
    expect(place(0)).toEqual(other);
    fill(other, 36_000);
    expect(place(2)).toEqual(undefined);
    expect(place(0) === undefined).toEqual(false);
  }
});
