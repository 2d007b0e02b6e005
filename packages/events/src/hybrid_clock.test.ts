import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import {
  compareStamps,
  createHybridClock,
  formatStamp,
  parseStamp,
  type Stamp,
} from "./hybrid_clock.ts";

const PROCESSES = 4;
const step = fc.record({
  from: fc.nat(PROCESSES - 1),
  to: fc.nat(PROCESSES - 1),
  // Offset of the sender's wall clock, up to five minutes in either direction.
  skew: fc.integer({ min: -300_000, max: 300_000 }),
});

/** Sends messages between skewed clocks. True if causes precede effects. */
function preservesCausality(
  steps: readonly { from: number; to: number; skew: number }[],
  observes: boolean,
): boolean {
  const skews = new Array<number>(PROCESSES).fill(0);
  const base = createManualClock(1_700_000_000_000);
  const clocks = skews.map((_, index) =>
    createHybridClock({
      now: () => base.now() + (skews[index] ?? 0),
      monotonic: () => base.monotonic(),
      sleep: () => Promise.resolve(),
    })
  );
  const last: (Stamp | undefined)[] = skews.map(() => undefined);
  return steps.every(({ from, to, skew }) => {
    skews[from] = skew;
    const sender = clocks[from];
    const receiver = clocks[to];
    if (sender === undefined || receiver === undefined) return false;
    const sent = sender.tick();
    if (observes) receiver.observe(sent);
    const received = receiver.tick();
    const previous = last[from];
    last[from] = sent;
    last[to] = received;
    return compareStamps(sent, received) < 0 &&
      (previous === undefined || compareStamps(previous, sent) < 0);
  });
}

test("an effect never sorts before its cause when wall clocks are skewed", () => {
  fc.assert(
    fc.property(fc.array(step), (steps) => preservesCausality(steps, true)),
  );
  // Without `observe` the property must fail.
  const off = fc.check(
    fc.property(fc.array(step), (steps) => preservesCausality(steps, false)),
  );
  expect(off.failed).toEqual(true);
});

test("a faulty wall clock moves other clocks ahead by at most maxDrift", () => {
  const clock = createHybridClock(createManualClock(1_000_000), {
    maxDrift: 60_000,
  });
  expect(clock.observe({ time: 1_060_000, counter: 0 }).isOk()).toEqual(true);
  const far = clock.observe({ time: 1_060_001, counter: 0 });
  expect(far.isErr() && far.error.ahead).toEqual(60_001);
  expect(clock.tick()).toEqual({ time: 1_060_000, counter: 1 });
});

test("formatted stamps parse back, and malformed text is rejected", () => {
  const stamps = fc.record({
    time: fc.integer({ min: 0, max: 10 ** 13 }),
    counter: fc.nat(),
  });
  fc.assert(fc.property(stamps, (stamp) => {
    const read = parseStamp(formatStamp(stamp)).unwrap();
    expect(compareStamps(read, stamp)).toEqual(0);
  }));
  for (const text of ["", "a", "a.b.c", "-1.0", "1." + "z".repeat(99)]) {
    expect(parseStamp(text).isErr()).toEqual(true);
  }
});
