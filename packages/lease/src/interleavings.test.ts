/**
 * Property test of the lease with several contenders that pause, on a network
 * that delays and loses messages. The property must fail when one safety
 * mechanism is disabled.
 */
import { createManualClock } from "@peridotvalve/clock";
import { createMemoryPlatform } from "@peridotvalve/tables";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { createLease, type Lease } from "./lease.ts";

const DURATION = 6_000;
// Much shorter than the timeout, so that a term whose expiry counts from the
// response instead of the request overlaps with the next term.
const MARGIN = 100;
const TIMEOUT = 2_000;
const STEP = 250;
const STEPS = 160;

type Mutant = "none" | "early takeover" | "late end";

interface Scenario {
  /** For each contender, the pauses before its calls, used cyclically. */
  readonly pauses: readonly (readonly number[])[];
  /** Network delays in milliseconds, used cyclically. */
  readonly delays: readonly number[];
  /** Share of calls by the holder that release the lease, in percent. */
  readonly releases: number;
}

const PAUSE = fc.oneof(
  { weight: 5, arbitrary: fc.integer({ min: 100, max: 1_500 }) },
  { weight: 1, arbitrary: fc.integer({ min: 3_000, max: 2 * DURATION }) },
);
const DELAY = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 0, max: 100 }) },
  { weight: 1, arbitrary: fc.integer({ min: 100, max: TIMEOUT }) },
  { weight: 1, arbitrary: fc.integer({ min: TIMEOUT, max: 5_000 }) },
);
const SCENARIO = fc.record<Scenario>({
  pauses: fc.array(fc.array(PAUSE, { minLength: 1, maxLength: 8 }), {
    minLength: 2,
    maxLength: 3,
  }),
  delays: fc.array(DELAY, { minLength: 1, maxLength: 16 }),
  releases: fc.integer({ min: 0, max: 20 }),
});

interface ScenarioResult {
  readonly overlaps: number;
  /** Tokens in the order in which they were first observed. */
  readonly tokens: readonly number[];
}

async function runScenario(
  scenario: Scenario,
  mutant: Mutant,
): Promise<ScenarioResult> {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  let turn = 0;
  platform.setFaults({
    messageDelay: () => scenario.delays[turn++ % scenario.delays.length] ?? 0,
  });
  const leases = scenario.pauses.map((_, index) =>
    createLease({
      platform,
      clock,
      name: "l",
      holder: String(index),
      duration: mutant === "early takeover" && index === 0
        ? DURATION / 2
        : DURATION,
      margin: mutant === "late end" ? -DURATION / 3 : MARGIN,
      timeout: TIMEOUT,
    })
  );

  async function contend(lease: Lease, pauses: readonly number[]) {
    for (let call = 0;; call += 1) {
      await clock.sleep(pauses[call % pauses.length] ?? 0);
      if (lease.token() === undefined) await lease.acquire();
      else if ((call * 37) % 100 < scenario.releases) await lease.release();
      else await lease.renew();
    }
  }

  for (const [index, lease] of leases.entries()) {
    contend(lease, scenario.pauses[index]!);
  }
  let overlaps = 0;
  const tokens: number[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    await clock.advance(STEP);
    const shown = leases.flatMap((lease) => lease.token() ?? []);
    if (shown.length > 1) overlaps += 1;
    tokens.push(...shown.filter((token) => !tokens.includes(token)));
  }
  return { overlaps, tokens };
}

const singleHolder = (mutant: Mutant) =>
  fc.asyncProperty(SCENARIO, async (scenario) => {
    const { overlaps, tokens } = await runScenario(scenario, mutant);
    const isRising = tokens.every((token, at) => token > (tokens[at - 1] ?? 0));
    return overlaps === 0 && isRising;
  });

const RUNS = { numRuns: 150, seed: 7 };

test("at most one holder at a time, and tokens rise", async () => {
  await fc.assert(singleHolder("none"), RUNS);
});

for (const mutant of ["early takeover", "late end"] as const) {
  test(`the single-holder property fails with: ${mutant}`, async () => {
    const details = await fc.check(singleHolder(mutant), {
      ...RUNS,
      endOnFailure: true,
    });
    expect(details.failed).toEqual(true);
  });
}
