import { createManualClock } from "@peridotvalve/clock";
import { type CommandFault, createMemoryPlatform } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { claimKey, fingerprintOf } from "./call.ts";
import { type ClaimResult, createClaims } from "./claims.ts";
import type { OwnedClaim } from "./owned_claim.ts";
import type { Outcome } from "./row.ts";
import { createClaimSweeper } from "./sweeper.ts";

const CALL = { customer: "c/1", idempotencyKey: "k", fingerprint: "f" };
const SEND_DEADLINE = 5_000;
const CLAIM_TIMEOUT = 60_000;
const RETENTION = 3_600_000;
const OUTCOME: Outcome = {
  status: 201,
  headers: { "content-type": "text/plain" },
  body: Buffer.from("booked"),
  bodyOmitted: false,
};
const NEVER_ABORTED = new AbortController().signal;

function setUp() {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  const daemon = (owner: string) =>
    createClaims({ platform, clock, owner, sendDeadline: SEND_DEADLINE });
  const sweeper = createClaimSweeper({
    platform,
    clock,
    claimTimeout: CLAIM_TIMEOUT,
    retention: RETENTION,
  });
  /** Advances the clock until the call settles or `time` has passed. */
  const settle = async <Value>(call: Promise<Value>, time = 10_000) => {
    let isSettled = false;
    call.then(() => {
      isSettled = true;
    });
    for (let passed = 0; !isSettled && passed < time; passed += 50) {
      await clock.advance(50);
    }
    return await call;
  };
  const scheduleFaults = (...faults: readonly CommandFault[]) => {
    const next = [...faults];
    platform.setFaults({ chooseFault: () => next.shift() ?? "none" });
  };
  /** Loses the response to the next command, then starts an outage. */
  const loseAnswerThenOutage = () => {
    platform.setFaults({
      chooseFault: () => {
        platform.setFaults({ outage: true });
        return "lose answer";
      },
    });
  };
  const endOutage = () => {
    platform.setFaults({ outage: false, chooseFault: () => "none" });
  };
  const readState = async () => {
    const row = await platform.readRow(claimKey(CALL), 1_000);
    return (row.unwrap()?.value as { state?: string } | undefined)?.state;
  };
  const sweepAfter = async (time: number) => {
    await sweeper.sweep(NEVER_ABORTED);
    await clock.advance(time);
    return await sweeper.sweep(NEVER_ABORTED);
  };
  return {
    clock,
    platform,
    daemon,
    sweeper,
    settle,
    scheduleFaults,
    loseAnswerThenOutage,
    endOutage,
    readState,
    sweepAfter,
  };
}

function expectOwned(answer: ClaimResult): OwnedClaim {
  if (answer.kind !== "owned") throw new Error(`answer is ${answer.kind}`);
  return answer.claim;
}

test("two daemons at once: one owns, the other sees the outcome", async () => {
  const { daemon, settle } = setUp();
  const [a, b] = [daemon("a"), daemon("b")];
  const answers = await Promise.all([a.claim(CALL), b.claim(CALL)]);
  const kinds = answers.map(({ kind }) => kind).sort();
  expect(kinds).toEqual(["in progress", "owned"]);
  const claim = expectOwned(answers.find(({ kind }) => kind === "owned")!);
  const waiting = b.claimOrWait(CALL, { patience: 9_000 });
  expect(claim.startSending()).toEqual(true);
  expect(claim.startSending()).toEqual(false);
  expect(await claim.complete(OUTCOME)).toEqual("stored");
  const answer = await settle(waiting);
  expect(answer.kind === "finished" && answer.outcome).toEqual(OUTCOME);
});

test("another body under the same key is a different call", async () => {
  const { daemon } = setUp();
  const [method, path] = ["POST", "/orders"];
  const fingerprints = ["1", "2"].map((body) =>
    fingerprintOf({ method, path, body: Buffer.from(body) })
  );
  const calls = fingerprints.map((fingerprint) => ({ ...CALL, fingerprint }));
  const claim = expectOwned(await daemon("a").claim(calls[0]!));
  expect((await daemon("b").claim(calls[1]!)).kind).toEqual("different call");
  await claim.complete(OUTCOME);
  expect((await daemon("b").claim(calls[1]!)).kind).toEqual("different call");
  const other = { ...CALL, customer: "c/2" };
  expect((await daemon("b").claim(other)).kind).toEqual("owned");
});

for (
  const faults of [
    ["lose answer"],
    ["lose request"],
    ["late effect"],
    ["lose request", "lose answer"],
    ["refuse", "late effect", "lose request"],
  ] as const
) {
  test(`an insert is decided after faults: ${faults.join(", ")}`, async () => {
    const { daemon, settle, scheduleFaults, clock, readState } = setUp();
    const a = daemon("a");
    scheduleFaults(...faults);
    const claim = expectOwned(await settle(a.claim(CALL)));
    expect((await daemon("b").claim(CALL)).kind).toEqual("in progress");
    expect(await settle(claim.release())).toEqual("released");
    await clock.advance(60_000);
    await a.idle();
    expect(await readState()).toEqual(undefined);
  });
}

test("an undecided insert is never sent and its row is removed", async () => {
  const { daemon, settle, clock, readState, ...faults } = setUp();
  const a = daemon("a");
  faults.loseAnswerThenOutage();
  const answer = await settle(a.claim(CALL));
  expect(answer.kind).toEqual("not claimed");
  faults.endOutage();
  expect(await readState()).toEqual("claimed");
  await clock.advance(60_000);
  await a.idle();
  expect(await readState()).toEqual(undefined);
  expect((await daemon("b").claim(CALL)).kind).toEqual("owned");
});

test("an insert that takes effect after a failed claim is removed", async () => {
  const { daemon, settle, platform, clock, readState } = setUp();
  const a = daemon("a");
  let outage = false;
  platform.setFaults({
    lateEffectDelay: 20_000,
    chooseFault: () => {
      const fault = outage ? "refuse" : "late effect";
      outage = true;
      return fault;
    },
  });
  const answer = await settle(a.claim(CALL));
  expect(answer.kind).toEqual("not claimed");
  outage = false;
  platform.setFaults({ chooseFault: () => "none" });
  await clock.advance(16_000);
  expect(await readState()).toEqual(undefined);
  await clock.advance(1_000);
  await clock.advance(30_000);
  await a.idle();
  expect(await readState()).toEqual(undefined);
});

test("the same daemon may repeat a call that it did not claim", async () => {
  const { daemon, settle, readState, ...faults } = setUp();
  const a = daemon("a");
  faults.loseAnswerThenOutage();
  expect((await settle(a.claim(CALL))).kind).toEqual("not claimed");
  faults.endOutage();
  expect(await readState()).toEqual("claimed");
  expect((await daemon("b").claim(CALL)).kind).toEqual("in progress");
  expect((await settle(a.claim(CALL))).kind).toEqual("owned");
});

test("nothing is claimed while the platform is unavailable", async () => {
  const { daemon, settle, platform, readState } = setUp();
  platform.setFaults({ outage: true });
  const answer = await settle(daemon("a").claim(CALL));
  expect(answer.kind).toEqual("not claimed");
  platform.setFaults({ outage: false });
  expect(await readState()).toEqual(undefined);
});

test("an owner paused past the send deadline releases", async () => {
  const { clock, daemon, readState } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  await clock.advance(SEND_DEADLINE - 1);
  expect(claim.mayStillSend()).toEqual(true);
  await clock.advance(1);
  expect(claim.startSending()).toEqual(false);
  expect(await claim.release()).toEqual("released");
  expect(await readState()).toEqual(undefined);
});

test("the send deadline counts from before the insert", async () => {
  const { clock, daemon, platform, settle } = setUp();
  platform.setFaults({ delay: 900 });
  const claim = expectOwned(await settle(daemon("a").claim(CALL)));
  await clock.advance(SEND_DEADLINE - 900);
  expect(claim.mayStillSend()).toEqual(false);
});

test("an owner that resumes after another ran the call sends nothing", async () => {
  const { daemon, sweepAfter, readState } = setUp();
  const late = expectOwned(await daemon("a").claim(CALL));
  await sweepAfter(CLAIM_TIMEOUT);
  await sweepAfter(RETENTION);
  await sweepAfter(CLAIM_TIMEOUT);
  const next = expectOwned(await daemon("b").claim(CALL));
  expect(next.startSending()).toEqual(true);
  await next.complete(OUTCOME);
  expect(late.startSending()).toEqual(false);
  await late.release();
  expect(await readState()).toEqual("finished");
});

test("a claim that may have been sent is not released", async () => {
  const { daemon, readState } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  expect(claim.startSending()).toEqual(true);
  expect(await claim.release()).toEqual("refused");
  expect(await readState()).toEqual("claimed");
});

test("a released claim can no longer be sent or completed", async () => {
  const { daemon, readState } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  const releasing = claim.release();
  expect(claim.startSending()).toEqual(false);
  await releasing;
  expect(await claim.complete(OUTCOME)).toEqual("superseded");
  expect(await readState()).toEqual(undefined);
});

test("a dead owner's claim becomes unknown and stays so", async () => {
  const { daemon, sweeper, sweepAfter, readState, clock } = setUp();
  expectOwned(await daemon("dead").claim(CALL)).startSending();
  await sweepAfter(CLAIM_TIMEOUT - 1);
  expect(await readState()).toEqual("claimed");
  await clock.advance(1);
  expect((await sweeper.sweep(NEVER_ABORTED)).markedUnknown).toEqual(1);
  const answer = await daemon("b").claim(CALL);
  expect(answer.kind).toEqual("unknown outcome");
  await sweepAfter(RETENTION / 2);
  expect((await daemon("b").claim(CALL)).kind).toEqual("unknown outcome");
});

test("settled rows are removed after the retention", async () => {
  const { daemon, sweepAfter, readState } = setUp();
  await expectOwned(await daemon("a").claim(CALL)).complete(OUTCOME);
  await sweepAfter(RETENTION - 1);
  expect(await readState()).toEqual("finished");
  await sweepAfter(CLAIM_TIMEOUT);
  expect(await readState()).toEqual("finished");
  await sweepAfter(CLAIM_TIMEOUT);
  expect(await readState()).toEqual(undefined);
});

test("an outcome is stored after an outage and a sweep", async () => {
  const { clock, daemon, platform, sweepAfter, readState } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  claim.startSending();
  platform.setFaults({ outage: true });
  const storing = claim.complete(OUTCOME);
  await clock.advance(1_000);
  platform.setFaults({ outage: false, chooseFault: () => "none" });
  await sweepAfter(CLAIM_TIMEOUT);
  expect(await storing).toEqual("stored");
  expect(await readState()).toEqual("finished");
});

test("the owner's late outcome replaces the sweeper's unknown", async () => {
  const { daemon, sweepAfter, readState } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  claim.startSending();
  await sweepAfter(CLAIM_TIMEOUT);
  expect(await readState()).toEqual("unknown");
  expect(await claim.complete(OUTCOME)).toEqual("stored");
  expect(await claim.markUnknown()).toEqual("stored");
  expect(await readState()).toEqual("finished");
});

test("a lost response to complete does not store twice", async () => {
  const { daemon, scheduleFaults, settle, platform } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  scheduleFaults("lose answer");
  expect(await settle(claim.complete(OUTCOME))).toEqual("stored");
  const row = await platform.readRow(claimKey(CALL), 1_000);
  expect(row.unwrap()?.version).toEqual(2);
});

test("a long body is omitted from the stored outcome", async () => {
  const { daemon } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  await claim.complete({ ...OUTCOME, body: Buffer.alloc(100_000) });
  const answer = await daemon("b").claim(CALL);
  const outcome = answer.kind === "finished" ? answer.outcome : undefined;
  expect([outcome?.status, outcome?.bodyOmitted]).toEqual([201, true]);
  expect(outcome?.body.length).toEqual(0);
});

test("waiting ends with the patience, or claims after a release", async () => {
  const { daemon, settle } = setUp();
  const claim = expectOwned(await daemon("a").claim(CALL));
  const b = daemon("b");
  const first = await settle(b.claimOrWait(CALL, { patience: 2_000 }));
  expect(first.kind).toEqual("in progress");
  const waiting = b.claimOrWait(CALL, { patience: 9_000 });
  await claim.release();
  expect((await settle(waiting)).kind).toEqual("owned");
});
