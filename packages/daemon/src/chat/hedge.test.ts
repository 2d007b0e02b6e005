import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { type CancellableAttempt, raceAttempts } from "./hedge.ts";
import type { RelayPart } from "./work.ts";

interface AttemptOutcome {
  readonly name: string;
  readonly failed: boolean;
}

const clock = createManualClock();

interface Script {
  readonly name: string;
  /** Time before the first token. */
  readonly wait: number;
  readonly failed?: boolean;
}

function createAttempt(
  script: Script,
  cancelled: string[],
): CancellableAttempt<AttemptOutcome> {
  const controller = new AbortController();
  const { name, failed = false } = script;
  async function* run(): AsyncGenerator<RelayPart, AttemptOutcome, void> {
    yield { kind: "started", cachedTokens: 0 };
    await clock.sleep(script.wait, controller.signal);
    if (controller.signal.aborted) {
      cancelled.push(name);
      return { name, failed: true };
    }
    if (failed) return { name, failed };
    yield { kind: "text", text: `${name}1 ` };
    yield { kind: "text", text: `${name}2` };
    return { name, failed };
  }
  return { parts: run(), controller };
}

interface RaceResult {
  readonly text: string;
  readonly attempts: readonly string[];
  readonly cancelled: readonly string[];
}

async function race(
  first: Script,
  second: Script | undefined,
): Promise<RaceResult> {
  const cancelled: string[] = [];
  const parts = raceAttempts(createAttempt(first, cancelled), {
    clock,
    delay: 50,
    startSecond: () =>
      Promise.resolve(second && createAttempt(second, cancelled)),
    isSuccess: (outcome) => !outcome.failed,
  });
  const collected = collect(parts);
  await clock.advance(1_000);
  const { text, names } = await collected;
  await clock.advance(0);
  return { text, attempts: names, cancelled };
}

async function collect(
  parts: AsyncGenerator<RelayPart, readonly AttemptOutcome[], void>,
): Promise<{ readonly text: string; readonly names: readonly string[] }> {
  let text = "";
  for (;;) {
    const step = await parts.next();
    if (step.done) return { text, names: step.value.map((end) => end.name) };
    if (step.value.kind === "text") text += step.value.text;
  }
}

test("an attempt that is in time is not hedged", async () => {
  const outcome = await race({ name: "a", wait: 10 }, { name: "b", wait: 1 });
  expect(outcome).toEqual({ text: "a1 a2", attempts: ["a"], cancelled: [] });
});

test("the loser of a race is cancelled and nothing of it is delivered", async () => {
  const outcome = await race({ name: "a", wait: 500 }, { name: "b", wait: 20 });
  expect(outcome).toEqual({ text: "b1 b2", attempts: ["b"], cancelled: ["a"] });
});

test("the first attempt may still win after the second has started", async () => {
  const outcome = await race({ name: "a", wait: 60 }, { name: "b", wait: 200 });
  expect(outcome).toEqual({ text: "a1 a2", attempts: ["a"], cancelled: ["b"] });
});

test("a failure of one attempt leaves the other in the race", async () => {
  const outcome = await race(
    { name: "a", wait: 70, failed: true },
    { name: "b", wait: 200 },
  );
  expect(outcome).toEqual({
    text: "b1 b2",
    attempts: ["a", "b"],
    cancelled: [],
  });
});

test("without another candidate the first attempt continues alone", async () => {
  const outcome = await race({ name: "a", wait: 100 }, undefined);
  expect(outcome).toEqual({ text: "a1 a2", attempts: ["a"], cancelled: [] });
});
