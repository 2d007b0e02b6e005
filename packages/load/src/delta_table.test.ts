import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import {
  createDeltaCopy,
  createDeltaSource,
  type Delta,
  measureJson,
  SWEEP_PERIOD,
} from "./delta_table.ts";
import { hashName, packEntry, unpackEntries } from "./packed.ts";

const change = fc.record({
  key: fc.integer({ min: 0, max: 30 }).map((index) =>
    hashName(`replica-${index}`)
  ),
  value: fc.integer({ min: 0, max: 9 }),
  lost: fc.boolean(),
});

const LIMIT = 80;

/**
 * Whether the copy equals the source after some deltas were lost. The copy
 * ignores the bounds of the sweep if `hasSweep` is false.
 */
async function converges(
  changes: readonly { key: string; value: number; lost: boolean }[],
  hasSweep: boolean,
): Promise<boolean> {
  const clock = createManualClock();
  const source = createDeltaSource(clock);
  const copy = createDeltaCopy(clock);
  const deliver = (delta: Delta | undefined) => {
    if (delta === undefined) return;
    expect(measureJson(delta) <= LIMIT).toEqual(true);
    const { s: bounds, ...rest } = delta;
    copy.apply(hasSweep && bounds !== undefined ? delta : rest);
  };
  for (const { key, value, lost } of changes) {
    if (value === 0) source.remove(key);
    else source.set(key, [value, 100 * value]);
    const delta = source.compose(LIMIT);
    if (!lost) deliver(delta);
  }
  // Two sweep periods, because deltas of a sweep in progress may have been
  // lost.
  const rounds = hasSweep ? 2 * SWEEP_PERIOD / 1_000 + 20 : 1;
  for (let round = 0; round < rounds; round += 1) {
    await clock.advance(1_000);
    deliver(source.compose(LIMIT));
  }
  const copied = [...copy.entries()].map(([key, { values }]) => [key, values]);
  const sent = [...source.entries()];
  return JSON.stringify(copied.sort()) === JSON.stringify(sent.sort());
}

test("a full sweep repairs the copy after any lost deltas", async () => {
  const changes = fc.array(change, { maxLength: 60 });
  await fc.assert(
    fc.asyncProperty(changes, (list) => converges(list, true)),
    { numRuns: 60 },
  );
  // The check must detect a divergence if the sweep is disabled.
  const withoutSweep = await fc.check(
    fc.asyncProperty(changes, (list) => converges(list, false)),
  );
  expect(withoutSweep.failed).toEqual(true);
});

test("continuous changes do not starve the sweep", async () => {
  const clock = createManualClock();
  const source = createDeltaSource(clock);
  const copy = createDeltaCopy(clock);
  source.set(hashName("quiet"), [7]);
  source.compose(LIMIT);
  for (let round = 0; round < 40; round += 1) {
    for (let key = 0; key < 20; key += 1) {
      source.set(hashName(`busy-${key}`), [round]);
    }
    await clock.advance(1_000);
    copy.apply(source.compose(LIMIT) ?? {});
  }
  expect(copy.entries().get(hashName("quiet"))?.values).toEqual([7]);
});

test("packed entries survive a round trip and malformed ones are rejected", () => {
  const values = fc.array(fc.nat(), { minLength: 1, maxLength: 5 });
  fc.assert(fc.property(fc.string(), values, (name, numbers) => {
    const key = hashName(name);
    const entries = unpackEntries(packEntry(key, numbers)).unwrap();
    expect([...entries]).toEqual([[key, numbers]]);
  }));
  expect([...unpackEntries("abcde;").unwrap()]).toEqual([["abcde", undefined]]);
  for (
    const text of ["abcd;", "abcde1,;", "abcdeA;", "abcde1,2,3,4,5,6;", ";"]
  ) {
    expect(unpackEntries(text).isErr()).toEqual(true);
  }
});
