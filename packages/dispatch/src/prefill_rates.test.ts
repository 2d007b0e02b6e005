import { expect } from "earl";
import { test } from "node:test";
import { createPrefillRates } from "./prefill_rates.ts";

const SERVICE = "llm";

/** Engines of the known deployments, and ten times slower and faster ones. */
for (const rate of [4, 37.9, 81.9, 157, 1_570]) {
  test(`the prefill rate of ${rate} tokens a millisecond is found`, () => {
    const rates = createPrefillRates();
    for (let count = 0; count < 40; count += 1) {
      const tokens = 3_000 + 500 * (count % 7);
      // Every fourth request waits for a slot of its replica.
      const wait = count % 4 === 0 ? 2_000 : 0;
      rates.recordFirstToken(SERVICE, {
        tokens,
        elapsed: tokens / rate + wait,
      });
    }
    const found = rates.rateOf(SERVICE);
    expect(found > rate * 0.9 && found < rate * 1.1).toEqual(true);
    const time = rates.timeOf(SERVICE, 10_000);
    expect(Math.abs(time - 10_000 / rate) < 0.2 * 10_000 / rate).toEqual(true);
  });
}

test("short prompts and single samples do not change the rate", () => {
  const rates = createPrefillRates();
  const initial = rates.rateOf(SERVICE);
  for (let count = 0; count < 40; count += 1) {
    rates.recordFirstToken(SERVICE, { tokens: 200, elapsed: 1 });
  }
  rates.recordFirstToken(SERVICE, { tokens: 50_000, elapsed: 1 });
  expect(rates.rateOf(SERVICE)).toEqual(initial);
});

test("each service has a rate of its own", () => {
  const rates = createPrefillRates();
  for (let count = 0; count < 10; count += 1) {
    rates.recordFirstToken("fast", { tokens: 10_000, elapsed: 50 });
  }
  expect(rates.rateOf("fast")).toEqual(200);
  expect(rates.rateOf("slow")).toEqual(
    createPrefillRates().rateOf("slow"),
  );
});

// Guards against a machine that is avoided long after it was slow.
test("slowness is forgotten unless the replica repeats it", () => {
  let now = 0;
  const rates = createPrefillRates({ now: () => now });
  rates.recordSlowness("a", 3);
  rates.recordSlowness("b", 3);
  rates.recordSlowness("b", undefined);
  expect(["a", "b", "c"].map(rates.slownessOf)).toEqual([3, 1, 1]);
  now = 4_000;
  expect(rates.slownessOf("a")).toEqual(1);
});
