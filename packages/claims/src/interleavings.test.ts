/**
 * Property tests of claims for interleavings of several owners, on a network
 * with delays, lost messages and outages. Each property must fail when one
 * safety mechanism is disabled.
 */
import { createManualClock } from "@peridotvalve/clock";
import {
  createMemoryPlatform,
  type MemoryPlatform,
  Platform,
  type Transaction,
} from "@peridotvalve/tables";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { type Claims, createClaims } from "./claims.ts";
import type { OwnedClaim } from "./owned_claim.ts";
import { createClaimSweeper } from "./sweeper.ts";

const CALL = { customer: "c", idempotencyKey: "k", fingerprint: "f" };
const SEND_DEADLINE = 5_000;
const CLAIM_TIMEOUT = 20_000;
const TIMEOUT = 300;
const SWEEP_INTERVAL = 7_000;
const OUTCOME = {
  status: 200,
  headers: {},
  body: new Uint8Array(),
  bodyOmitted: false,
};

type Mutant =
  | "none"
  | "checks ignored"
  | "sweeper deletes"
  | "sends when not claimed"
  | "deletions ignored";

interface Step {
  readonly start: number;
  readonly pause: number;
  readonly end:
    | "complete"
    | "mark unknown"
    | "release"
    | "die before sending"
    | "die after sending";
}

interface Scenario {
  readonly owners: readonly (readonly Step[])[];
  /** Delays of requests and responses in milliseconds, used cyclically. */
  readonly delays: readonly number[];
  readonly outages: readonly {
    readonly from: number;
    readonly length: number;
  }[];
}

// Some delays exceed the timeout, so that some commands take effect late and
// some responses are lost.
const DELAY = fc.oneof(
  { weight: 3, arbitrary: fc.constant(0) },
  { weight: 2, arbitrary: fc.integer({ min: 1, max: TIMEOUT - 1 }) },
  { weight: 1, arbitrary: fc.integer({ min: TIMEOUT, max: 4_000 }) },
);
const STEP = fc.record<Step>({
  start: fc.integer({ min: 0, max: 3_000 }),
  pause: fc.oneof(
    fc.integer({ min: 0, max: 2_000 }),
    fc.integer({ min: SEND_DEADLINE, max: 3 * CLAIM_TIMEOUT }),
  ),
  end: fc.constantFrom(
    "complete",
    "mark unknown",
    "release",
    "die before sending",
    "die after sending",
  ),
});
const SCENARIO = fc.record<Scenario>({
  owners: fc.array(fc.array(STEP, { minLength: 1, maxLength: 3 }), {
    minLength: 2,
    maxLength: 3,
  }),
  delays: fc.array(DELAY, { minLength: 1, maxLength: 24 }),
  outages: fc.array(
    fc.record({
      from: fc.integer({ min: 0, max: 5_000 }),
      length: fc.integer({ min: 1, max: 30_000 }),
    }),
    { maxLength: 2 },
  ),
});

interface Network {
  readonly platform: MemoryPlatform;
  readonly mutant: Mutant;
}

/** The platform as seen by one process, which may crash. */
function createRemotePlatform(
  { platform, mutant }: Network,
  isAlive: () => boolean,
): Platform {
  const never = new Promise<never>(() => {});

  function mutate(transaction: Transaction): Transaction {
    const { id, writes } = transaction;
    if (mutant === "checks ignored") return { ...transaction, checks: [] };
    if (mutant === "sweeper deletes" && id.startsWith("sweep/")) {
      const deletions = writes.map((write) => ({ ...write, value: null }));
      return { ...transaction, writes: deletions };
    }
    if (mutant === "deletions ignored") {
      return { ...transaction, writes: writes.filter(({ value }) => value) };
    }
    return transaction;
  }

  return new (class extends Platform {
    override async transact(transaction: Transaction, timeout: number) {
      // A call of a crashed process never returns.
      if (!isAlive()) return await never;
      const mutated = mutate(transaction);
      const settlement = await platform.transact(mutated, timeout);
      return isAlive() ? settlement : await never;
    }

    override putObject: Platform["putObject"] = (object, timeout) =>
      platform.putObject(object, timeout);

    override readRow: Platform["readRow"] = async (key, timeout) => {
      const row = await platform.readRow(key, timeout);
      return isAlive() ? row : await never;
    };

    override readRows: Platform["readRows"] = (range, timeout) =>
      platform.readRows(range, timeout);

    override readObject: Platform["readObject"] = (name, timeout) =>
      platform.readObject(name, timeout);

    override readVms: Platform["readVms"] = (timeout) =>
      platform.readVms(timeout);
  })();
}

interface ScenarioResult {
  readonly sends: number;
  /** An owner crashed while it may have held a claim. */
  readonly died: boolean;
  /** Answer to a claim of a new process after everything has settled. */
  readonly final: string;
}

async function runScenario(
  scenario: Scenario,
  mutant: Mutant,
): Promise<ScenarioResult> {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  let delays = [...scenario.delays];
  let sends = 0;
  let died = false;
  const nextDelay = () => {
    const [first = 0, ...rest] = delays;
    if (delays.length > 0) delays = [...rest, first];
    return first;
  };
  platform.setFaults({ messageDelay: nextDelay });
  const network = { platform, mutant };

  function startProcess(owner: string) {
    let alive = true;
    const remote = createRemotePlatform(network, () => alive);
    const claims = createClaims({
      platform: remote,
      clock,
      owner,
      sendDeadline: SEND_DEADLINE,
      timeout: TIMEOUT,
    });
    const die = () => {
      alive = false;
      died = true;
    };
    return { claims, die };
  }

  async function execute(
    claim: OwnedClaim,
    { pause, end }: Step,
    die: () => void,
  ): Promise<void> {
    await clock.sleep(pause);
    if (end === "die before sending") return die();
    if (end === "release" || !claim.startSending()) {
      await claim.release();
      return;
    }
    sends += 1;
    if (end === "die after sending") return die();
    if (end === "complete") await claim.complete(OUTCOME);
    else await claim.markUnknown();
  }

  async function runOwner(name: string, steps: readonly Step[]): Promise<void> {
    let process: { readonly claims: Claims; readonly die: () => void } =
      startProcess(name);
    for (const [index, step] of steps.entries()) {
      await clock.sleep(step.start);
      const answer = await process.claims.claim(CALL);
      if (
        answer.kind === "not claimed" && mutant === "sends when not claimed"
      ) {
        sends += 1;
      }
      if (answer.kind !== "owned") continue;
      await execute(answer.claim, step, process.die);
      if (step.end.startsWith("die")) process = startProcess(`${name}${index}`);
    }
  }

  async function sweepForever(): Promise<void> {
    const remote = createRemotePlatform(network, () => true);
    const sweeper = createClaimSweeper({
      platform: remote,
      clock,
      claimTimeout: CLAIM_TIMEOUT,
      pageDelay: 0,
    });
    for (;;) {
      await clock.sleep(SWEEP_INTERVAL);
      await sweeper.sweep(new AbortController().signal);
    }
  }

  async function simulateOutage(from: number, length: number): Promise<void> {
    await clock.sleep(from);
    platform.setFaults({ outage: true });
    await clock.sleep(length);
    platform.setFaults({ outage: false });
  }

  for (const { from, length } of scenario.outages) simulateOutage(from, length);
  for (const [index, steps] of scenario.owners.entries()) {
    runOwner(`o${index}`, steps);
  }
  sweepForever();
  await clock.advance(300_000);
  delays = [];
  await clock.advance(100_000);
  const answering = startProcess("fresh").claims.claim(CALL);
  await clock.advance(5_000);
  return { sends, died, final: (await answering).kind };
}

const atMostOnce = (mutant: Mutant) =>
  fc.asyncProperty(SCENARIO, async (scenario) => {
    const { sends, final } = await runScenario(scenario, mutant);
    return sends <= 1 && (sends === 0 || final !== "owned");
  });

const claimableIfUnsent = (mutant: Mutant) =>
  fc.asyncProperty(SCENARIO, async (scenario) => {
    const { sends, died, final } = await runScenario(scenario, mutant);
    return sends > 0 || died || final === "owned";
  });

const RUNS = { numRuns: 150, seed: 7 };

test("a call is sent at most once", async () => {
  await fc.assert(atMostOnce("none"), RUNS);
});

test("a call that was not sent can be claimed unless an owner died", async () => {
  await fc.assert(claimableIfUnsent("none"), RUNS);
});

for (
  const mutant of [
    "checks ignored",
    "sweeper deletes",
    "sends when not claimed",
  ] as const
) {
  test(`the at-most-once property fails with: ${mutant}`, async () => {
    const details = await fc.check(atMostOnce(mutant), {
      ...RUNS,
      endOnFailure: true,
    });
    expect(details.failed).toEqual(true);
  });
}

test("the claimable property fails with: deletions ignored", async () => {
  const details = await fc.check(claimableIfUnsent("deletions ignored"), {
    ...RUNS,
    endOnFailure: true,
  });
  expect(details.failed).toEqual(true);
});
