import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createRandomSource, type RandomSource } from "./random_source.ts";
import { createSlownessDetector, type SlownessDetector } from "./slowness.ts";

const REPLICAS = ["r0", "r1", "r2", "r3", "r4", "r5"];
const EXPECTED_GAP_MS = 50;

/**
 * Draws from a long-tailed distribution: 1 in 20 gaps is up to 8 times longer.
 */
function drawGap(random: RandomSource, factor = 1): number {
  const tail = random() < 0.05 ? 1 + 7 * random() : 1;
  return EXPECTED_GAP_MS * (0.7 + 0.6 * random()) * tail * factor;
}

function feed(
  detector: SlownessDetector,
  random: RandomSource,
  factors: Readonly<Record<string, number>> = {},
): void {
  for (const replica of REPLICAS) {
    const gap = drawGap(random, factors[replica]);
    const sample = {
      kind: "between tokens",
      gap,
      expected: EXPECTED_GAP_MS,
    } as const;
    detector.record(replica, sample);
  }
}

function setUp() {
  const clock = createManualClock();
  const detector = createSlownessDetector({ clock });
  return { clock, detector, random: createRandomSource(11) };
}

test("a stalled replica, and no other, is detected within ten samples", async () => {
  const { clock, detector, random } = setUp();
  for (let step = 0; step < 30; step += 1) {
    feed(detector, random);
    await clock.advance(50);
  }
  for (let step = 0; step < 10; step += 1) {
    feed(detector, random, { r2: 6 });
    await clock.advance(50);
  }
  const slow = REPLICAS.filter((name) => detector.healthOf(name) === "slow");
  expect(slow).toEqual(["r2"]);
});

test("a burst that slows the whole group marks no replica as slow", async () => {
  const { clock, detector, random } = setUp();
  const all = Object.fromEntries(REPLICAS.map((name) => [name, 6]));
  for (let step = 0; step < 60; step += 1) {
    feed(detector, random, step < 30 ? {} : all);
    await clock.advance(50);
    const slow = REPLICAS.filter((name) => detector.healthOf(name) === "slow");
    expect(slow).toEqual([]);
  }
});

test("a slow replica is probed after 5 s and recovers after good samples", async () => {
  const { clock, detector, random } = setUp();
  for (let step = 0; step < 20; step += 1) {
    feed(detector, random, { r2: 6 });
    await clock.advance(50);
  }
  const sample = {
    kind: "first token",
    gap: 50,
    expected: EXPECTED_GAP_MS,
  } as const;
  expect(detector.healthOf("r2")).toEqual("slow");
  await clock.advance(5_000);
  expect(detector.isProbeDue("r2")).toEqual(true);
  detector.recordProbe("r2");
  expect(detector.isProbeDue("r2")).toEqual(false);
  for (let step = 0; step < 6; step += 1) feed(detector, random);
  for (let count = 0; count < 3; count += 1) detector.record("r2", sample);
  expect(detector.healthOf("r2")).toEqual("healthy");
});

test("ordinary long gaps raise false alarms in less than one of 1,000 checks", async () => {
  const { clock, detector, random } = setUp();
  let alarms = 0;
  let checks = 0;
  for (let step = 0; step < 1_000; step += 1) {
    feed(detector, random);
    await clock.advance(50);
    for (const replica of REPLICAS) {
      checks += 1;
      if (detector.healthOf(replica) !== "healthy") alarms += 1;
    }
  }
  expect(alarms / checks < 0.001).toEqual(true);
});
