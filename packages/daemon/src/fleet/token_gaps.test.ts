import { createManualClock } from "@peridotvalve/clock";
import { createSlownessDetector } from "@peridotvalve/routing";
import { expect } from "earl";
import { test } from "node:test";
import { createSlownessByKind } from "./slowness_by_kind.ts";
import { createTokenGaps } from "./token_gaps.ts";

/** Runs streams on three replicas; the gaps of the last one are `slowGap`. */
async function runStreams(slowGap: number) {
  const clock = createManualClock();
  const slowness = createSlownessByKind(() =>
    createSlownessDetector({ clock })
  );
  const gaps = createTokenGaps(clock, slowness);
  const streams = ["r1", "r2", "r3"].map((replica) => ({
    sample: gaps.trackStream({ group: "sizing", replica }),
    gap: replica === "r3" ? slowGap : 20,
  }));
  for (let time = 0; time < 20_000; time += 10) {
    await clock.advance(10);
    for (const { sample, gap } of streams) {
      if (time % gap === 0) sample();
    }
  }
  return slowness;
}

test("a replica with long gaps between tokens is found slow", async () => {
  const slowness = await runStreams(200);
  expect(slowness.healthOf("r3")).toEqual("slow");
  expect(slowness.healthOf("r1")).toEqual("healthy");
});

test("replicas with equal gaps are healthy", async () => {
  const slowness = await runStreams(20);
  expect(slowness.healthOf("r3")).toEqual("healthy");
});

test("samples of one kind do not change the other kind's comparison", () => {
  // In a shared window, a replica with short responses (many first tokens, poor
  // estimates) would look slow beside replicas with long responses.
  const clock = createManualClock();
  const slowness = createSlownessByKind(() =>
    createSlownessDetector({ clock })
  );
  for (let count = 0; count < 30; count += 1) {
    for (const replica of ["r1", "r2", "r3", "r4"]) {
      const kind = replica === "r4" ? "first token" : "between tokens";
      const gap = replica === "r4" ? 100 : 20;
      slowness.record(replica, { kind, gap, expected: 20 });
    }
  }
  expect(slowness.healthOf("r4")).toEqual("healthy");
});
