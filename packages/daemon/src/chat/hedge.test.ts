import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { raceAttempts, type Runner } from "./hedge.ts";
import type { RelayPart } from "./work.ts";

interface End {
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

function createRunner(script: Script, cancelled: string[]): Runner<End> {
  const controller = new AbortController();
  const { name, failed = false } = script;
  async function* run(): AsyncGenerator<RelayPart, End, void> {
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

interface Outcome {
  readonly text: string;
  readonly ends: readonly string[];
  readonly cancelled: readonly string[];
}

async function race(
  first: Script,
  second: Script | undefined,
): Promise<Outcome> {
  const cancelled: string[] = [];
  const parts = raceAttempts(createRunner(first, cancelled), {
    clock,
    delay: 50,
    start: () => Promise.resolve(second && createRunner(second, cancelled)),
    isWhole: (end) => !end.failed,
  });
  const collected = collect(parts);
  await clock.advance(1_000);
  const { text, ends } = await collected;
  await clock.advance(0);
  return { text, ends, cancelled };
}

async function collect(
  parts: AsyncGenerator<RelayPart, readonly End[], void>,
): Promise<{ readonly text: string; readonly ends: readonly string[] }> {
  let text = "";
  for (;;) {
    const step = await parts.next();
    if (step.done) return { text, ends: step.value.map((end) => end.name) };
    if (step.value.kind === "text") text += step.value.text;
  }
}

test("an attempt that is in time gets no rival", async () => {
  const outcome = await race({ name: "a", wait: 10 }, { name: "b", wait: 1 });
  expect(outcome).toEqual({ text: "a1 a2", ends: ["a"], cancelled: [] });
});

test("the loser of a race is cancelled and nothing of it is delivered", async () => {
  const outcome = await race({ name: "a", wait: 500 }, { name: "b", wait: 20 });
  expect(outcome).toEqual({ text: "b1 b2", ends: ["b"], cancelled: ["a"] });
});

test("the first attempt may still win after its rival started", async () => {
  const outcome = await race({ name: "a", wait: 60 }, { name: "b", wait: 200 });
  expect(outcome).toEqual({ text: "a1 a2", ends: ["a"], cancelled: ["b"] });
});

test("a failure of one attempt leaves the other in the race", async () => {
  const outcome = await race(
    { name: "a", wait: 70, failed: true },
    { name: "b", wait: 200 },
  );
  expect(outcome).toEqual({ text: "b1 b2", ends: ["a", "b"], cancelled: [] });
});

test("without a candidate the first attempt goes on alone", async () => {
  const outcome = await race({ name: "a", wait: 100 }, undefined);
  expect(outcome).toEqual({ text: "a1 a2", ends: ["a"], cancelled: [] });
});
