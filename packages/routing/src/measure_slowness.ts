/**
 * Measures the false alarm rate and the detection delay of the slowness
 * detector on random gaps with a long-tailed distribution, for several group
 * sizes, and prints them as JSON. Run with `node --import tsx`.
 */
import { createManualClock } from "@peridotvalve/clock";
import { createRandomSource } from "./random_source.ts";
import { createSlownessDetector } from "./slowness.ts";

const GROUP_SIZES = [3, 6, 9];
const SEEDS = 20;
const CALM_STEPS = 200;
const STALL_STEPS = 40;
const STEP_MS = 50;
const EXPECTED_GAP_MS = 50;

/** Factor by which the gaps of the stalled replica are longer. */
const STALL_FACTOR = 6;

interface Run {
  readonly checks: number;
  readonly alarms: number;
  /** Samples until the stall was detected; undefined if it was not. */
  readonly delay: number | undefined;
}

async function run(size: number, seed: number): Promise<Run> {
  const clock = createManualClock();
  const detector = createSlownessDetector({ clock });
  const random = createRandomSource(seed);
  const names = Array.from({ length: size }, (_, index) => `r${index}`);
  let alarms = 0;

  async function step(stalled?: string): Promise<void> {
    for (const name of names) {
      const tail = random() < 0.05 ? 1 + 7 * random() : 1;
      const factor = name === stalled ? STALL_FACTOR : 1;
      const gap = EXPECTED_GAP_MS * (0.7 + 0.6 * random()) * tail * factor;
      detector.record(name, {
        kind: "between tokens",
        gap,
        expected: EXPECTED_GAP_MS,
      });
    }
    await clock.advance(STEP_MS);
  }

  for (let count = 0; count < CALM_STEPS; count += 1) {
    await step();
    alarms += names.filter((name) => detector.healthOf(name) !== "healthy")
      .length;
  }
  const checks = CALM_STEPS * size;
  for (let delay = 1; delay <= STALL_STEPS; delay += 1) {
    await step("r1");
    if (detector.healthOf("r1") === "slow") return { checks, alarms, delay };
  }
  return { checks, alarms, delay: undefined };
}

async function measureGroup(size: number) {
  const runs: Run[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) runs.push(await run(size, seed));
  const sum = (pick: (entry: Run) => number) =>
    runs.reduce((total, entry) => total + pick(entry), 0);
  const delays = runs.flatMap((entry) => entry.delay ?? []);
  return {
    replicas: size,
    runs: runs.length,
    falseAlarmPart: sum((entry) => entry.alarms) / sum((entry) => entry.checks),
    found: delays.length,
    longestDelaySamples: Math.max(...delays),
  };
}

async function main(): Promise<void> {
  const groups = [];
  for (const size of GROUP_SIZES) groups.push(await measureGroup(size));
  console.log(JSON.stringify({ groups }));
}

await main();
