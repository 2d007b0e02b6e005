import {
  type Clock,
  createManualClock,
  createSuspendAwareClock,
  type ManualClock,
} from "@peridotvalve/clock";
import { createMemoryPlatform, type Json } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { createLease, type Lease } from "./lease.ts";
import { runUnderLease } from "./run.ts";

const DURATION = 10_000;
const MARGIN = 2_000;

function setUp() {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  const contender = (holder: string) =>
    createLease({
      platform,
      clock,
      name: "sweep",
      holder,
      duration: DURATION,
      margin: MARGIN,
    });
  return { clock, platform, contender };
}

/** Tries to acquire once a second; returns the seconds until it succeeded. */
async function takeOver(lease: Lease, clock: ManualClock): Promise<number> {
  for (let seconds = 0; seconds < 60; seconds += 1) {
    await lease.acquire();
    if (lease.token() !== undefined) return seconds;
    await clock.advance(1_000);
  }
  throw new Error("the lease was never taken over");
}

test("tokens rise with each acquisition and never repeat", async () => {
  const { platform, clock, contender } = setUp();
  const [a, b] = [contender("a"), contender("b")];
  const tokens: number[] = [];
  for (const lease of [a, b, a, b]) {
    await takeOver(lease, clock);
    await lease.renew();
    tokens.push(lease.token()!);
    await lease.release();
  }
  // Deleting the row must not restart the tokens.
  const writes = [{ table: "leases", key: "sweep", value: null }];
  await platform.transact({ id: "x", checks: [], writes }, 1_000);
  await a.acquire();
  tokens.push(a.token()!);
  expect(tokens).toEqual([...new Set(tokens)].sort((l, r) => l - r));
});

test("a holder that is paused loses the lease before a takeover", async () => {
  const { clock, contender } = setUp();
  const [a, b] = [contender("a"), contender("b")];
  await a.acquire();
  const lost = a.lost()!;
  await b.acquire();
  await clock.advance(DURATION - MARGIN - 1);
  expect(a.token()).not.toEqual(undefined);
  await clock.advance(1);
  expect([a.token(), lost.aborted]).toEqual([undefined, true]);
  expect((await b.acquire()).kind).toEqual("held by other");
  await clock.advance(MARGIN);
  expect((await b.acquire()).kind).toEqual("held");
  expect((await a.renew()).kind).toEqual("lost");
});

// Guards against ONE: a step of its wall clock counts as time in which the row of
// the holder has not changed, so that a contender takes over too early.
test("a step of the wall clock does not free the lease", async () => {
  const { clock, platform, contender } = setUp();
  let step = 0;
  const stepped: Clock = {
    now: () => clock.now() + step,
    monotonic: () => clock.monotonic(),
    sleep: (...wait) => clock.sleep(...wait),
  };
  const a = contender("a");
  await a.acquire();
  const b = createLease({
    ...{ platform, name: "sweep", holder: "b" },
    ...{ duration: DURATION, margin: MARGIN },
    clock: createSuspendAwareClock(stepped),
    contenderClock: stepped,
  });
  await b.acquire();
  await clock.advance(100);
  step = 2 * DURATION;
  expect((await b.acquire()).kind).toEqual("held by other");
  expect(a.token()).not.toEqual(undefined);
  await clock.advance(DURATION);
  expect((await b.acquire()).kind).toEqual("held");
});

// Guards against ONE: two holders at the same time, as the row of the first was
// lost when the store returned from a copy.
test("a row that the store may have lost does not free the lease", async () => {
  const { clock, platform, contender } = setUp();
  let returnedAt = -Infinity;
  const a = contender("a");
  const b = createLease({
    ...{ platform, clock, name: "sweep", holder: "b" },
    ...{ duration: DURATION, margin: MARGIN },
    storeAge: () => clock.monotonic() - returnedAt,
  });
  await a.acquire();
  const lost = a.lost()!;
  const writes = [{ table: "leases", key: "sweep", value: null }];
  await platform.transact({ id: "copy", checks: [], writes }, 1_000);
  returnedAt = clock.monotonic();
  for (let seconds = 0; !lost.aborted; seconds += 1) {
    await b.acquire();
    expect(b.token()).toEqual(undefined);
    await clock.advance(1_000);
  }
  expect(await takeOver(b, clock) <= MARGIN / 1_000).toEqual(true);
});

// Guards against ONE: a row that this release cannot read counts as free, although
// another one that can holds the lease.
test("an unreadable row is free only after the whole duration", async () => {
  const { clock, platform, contender } = setUp();
  const b = contender("b");
  const write = (value: Json) => {
    const writes = [{ table: "leases", key: "sweep", value }];
    const id = `${clock.now()}`;
    return platform.transact({ id, checks: [], writes }, 1_000);
  };
  const renewals = 15;
  for (let second = 0; second < renewals; second += 1) {
    await write({ owner: "a", renewals: second });
    expect((await b.acquire()).kind).toEqual("held by other");
    await clock.advance(1_000);
  }
  await clock.advance(DURATION - 1_000 - 1);
  expect((await b.acquire()).kind).toEqual("held by other");
  await clock.advance(1);
  expect((await b.acquire()).kind).toEqual("held");
});

test("a renewal restarts a contender's observation", async () => {
  const { clock, contender } = setUp();
  const [a, b] = [contender("a"), contender("b")];
  await a.acquire();
  for (let second = 0; second < 30; second += 1) {
    await clock.advance(1_000);
    expect((await a.renew()).kind).toEqual("held");
    expect((await b.acquire()).kind).toEqual("held by other");
  }
});

test("lost responses to acquire and renew are read back", async () => {
  const { clock, platform, contender } = setUp();
  const a = contender("a");
  platform.setFaults({ loseNextAnswers: 1 });
  expect((await a.acquire()).kind).toEqual("held");
  await clock.advance(5_000);
  platform.setFaults({ loseNextAnswers: 1 });
  expect((await a.renew()).kind).toEqual("held");
  await clock.advance(5_000);
  expect(a.token()).not.toEqual(undefined);
});

test("a renewal that takes effect late does not extend the term", async () => {
  const { clock, platform, contender } = setUp();
  const [a, b] = [contender("a"), contender("b")];
  await a.acquire();
  let left = 1;
  platform.setFaults({
    lateEffectDelay: 1_000,
    chooseFault: () => left-- > 0 ? "late effect" : "none",
  });
  expect((await a.renew()).kind).toEqual("unavailable");
  await clock.advance(1_000);
  await b.acquire();
  await clock.advance(DURATION - MARGIN - 1_500);
  // Reads back the row of the first renewal, which precedes this call.
  expect((await a.renew()).kind).toEqual("unavailable");
  await clock.advance(MARGIN);
  expect(a.token()).toEqual(undefined);
});

test("a term counts from before the acquiring write", async () => {
  const { clock, platform, contender } = setUp();
  const a = contender("a");
  platform.setFaults({ delay: 900 });
  const acquiring = a.acquire();
  await clock.advance(2_000);
  expect((await acquiring).kind).toEqual("held");
  // The read took the first 900 ms; the write was sent after it.
  await clock.advance(900 + DURATION - MARGIN - 2_000 - 1);
  expect(a.token()).not.toEqual(undefined);
  await clock.advance(1);
  expect(a.token()).toEqual(undefined);
});

test("the lease expires on time in an outage", async () => {
  const { clock, platform, contender } = setUp();
  const a = contender("a");
  await a.acquire();
  platform.setFaults({ outage: true });
  await clock.advance(4_000);
  expect((await a.renew()).kind).toEqual("unavailable");
  expect(a.token()).not.toEqual(undefined);
  await clock.advance(4_000);
  expect(a.token()).toEqual(undefined);
});

test("work runs under at most one holder and moves to another one", async () => {
  const { clock, platform, contender } = setUp();
  const stop = new AbortController();
  const active = new Set<string>();
  const log: string[] = [];
  let overlaps = 0;
  const run = (holder: string, signal: AbortSignal) =>
    runUnderLease(async (tenure) => {
      active.add(holder);
      log.push(holder);
      if (active.size > 1) overlaps += 1;
      while (!tenure.signal.aborted) await clock.sleep(500, tenure.signal);
      active.delete(holder);
    }, { lease: contender(holder), clock, signal, interval: 1_000 });
  const first = new AbortController();
  const ended = run("a", AbortSignal.any([first.signal, stop.signal]));
  await clock.advance(100);
  const others = ["b", "c"].map((holder) => run(holder, stop.signal));
  await clock.advance(30_000);
  expect(log).toEqual(["a"]);
  platform.setFaults({ outage: true });
  first.abort();
  await ended;
  await clock.advance(30_000);
  expect(active.size).toEqual(0);
  platform.setFaults({ outage: false });
  await clock.advance(30_000);
  expect([log.length, overlaps, active.size]).toEqual([2, 0, 1]);
  stop.abort();
  await Promise.all(others);
});
