import {
  type EngineStandinOptions,
  expectedAnswer,
  type Standin,
  startEngineStandin,
} from "@peridotvalve/standins";
import { createSystemClock } from "@peridotvalve/clock";
import type { Generation } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import type { AttemptFailure, StreamDeadlines } from "./engine.ts";
import { createHttpEngine, type HttpEngine } from "./http_engine.ts";

const BLOCK_LAYOUT = { tokensPerBlock: 4, blockBytes: 1_024 };
const GENERATION: Generation = {
  attempt: "a1",
  request: "r1",
  customer: "rekku",
  weights: "w1",
  prompt: "A coat for a saluki of 68 cm [[tokens=5]]",
  maxTokens: 9,
  priority: 1,
};
const EXPECTED = expectedAnswer(GENERATION, BLOCK_LAYOUT);

interface Outcome {
  readonly kinds: readonly string[];
  readonly text: string;
  readonly failure: AttemptFailure | undefined;
}

async function collect(
  engine: HttpEngine,
  generation: Generation,
  deadlines: Partial<StreamDeadlines> = {},
): Promise<Outcome> {
  const kinds: string[] = [];
  let text = "";
  const stream = engine.generate(generation, {
    firstToken: 5_000,
    betweenTokens: 5_000,
    signal: new AbortController().signal,
    ...deadlines,
  });
  for (;;) {
    const next = await stream.next();
    if (next.done) return { kinds, text, failure: next.value };
    kinds.push(next.value.kind);
    if (next.value.kind === "token") text += next.value.text;
  }
}

async function setFaults(standin: Standin, faults: unknown): Promise<void> {
  const response = await fetch(`http://${standin.address}/control/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
  expect(response.status).toEqual(200);
}

async function withEngine(
  run: (engine: HttpEngine, standin: Standin) => Promise<void>,
  options: EngineStandinOptions = {},
): Promise<void> {
  const standin = await startEngineStandin({
    ...BLOCK_LAYOUT,
    speed: 50,
    ...options,
  });
  const { address } = standin;
  const engine = createHttpEngine({ address, clock: createSystemClock() });
  try {
    await run(engine, standin);
  } finally {
    await engine.close();
    await standin.close();
  }
}

test("a stream yields all tokens and a resumed one the remaining tokens", async () => {
  await withEngine(async (engine) => {
    const whole = await collect(engine, GENERATION);
    expect(whole.failure).toEqual(undefined);
    expect(whole.kinds.length).toEqual(7);
    expect(whole.text).toEqual(EXPECTED.join(""));
    const text = EXPECTED.slice(0, 2).join("");
    const resume = { offset: 2, text };
    const rest = await collect(engine, { ...GENERATION, resume });
    expect(rest.failure).toEqual(undefined);
    expect(text + rest.text).toEqual(EXPECTED.join(""));
  });
});

test("an attempt refused by status counts as not run", async () => {
  await withEngine(async (engine, standin) => {
    const other = await collect(engine, { ...GENERATION, weights: "w2" });
    expect(other.failure?.sent).toEqual("refused");
    expect(other.failure?.reason).toEqual("weights mismatch");
    expect(other.failure?.weights).toEqual("w1");
    await fetch(`http://${standin.address}/control/drain`, {
      method: "POST",
      body: JSON.stringify({ leaving: true }),
    });
    const leaving = await collect(engine, GENERATION);
    expect(leaving.failure?.sent).toEqual("refused");
    expect(leaving.failure?.reason).toEqual("leaving");
  });
});

for (
  const [faults, tokens] of [
    [{ crossStreams: true }, 1],
    [{ streamFault: "repeat" }, 1],
    [{ streamFault: "skip" }, 1],
    [{ streamFault: "garbage" }, 1],
    [{ streamFault: "wrong count" }, 5],
    [{ streamFault: "no start" }, 0],
  ] as const
) {
  const name = JSON.stringify(faults);
  test(`an invalid event is not yielded: ${name}`, async () => {
    await withEngine(async (engine, standin) => {
      await setFaults(standin, faults);
      const { text, failure } = await collect(engine, GENERATION);
      expect(failure?.reason).toEqual("protocol");
      expect(failure?.sent).toEqual("sent");
      expect(text).toEqual(EXPECTED.slice(0, tokens).join(""));
    });
  });
}

test("without the checks, a token of another attempt reaches the reader", async () => {
  await withEngine(async (_, standin) => {
    await setFaults(standin, { crossStreams: true });
    const response = await fetch(`http://${standin.address}/generate`, {
      method: "POST",
      body: JSON.stringify(GENERATION),
    });
    expect((await response.text()).includes("crossed")).toEqual(true);
  });
});

test("a stream without an end event is cut", async () => {
  await withEngine(async (engine, standin) => {
    await setFaults(standin, { streamFault: "no end" });
    expect((await collect(engine, GENERATION)).failure?.reason).toEqual("cut");
    await setFaults(standin, { streamFault: "none", cutStreamsAfter: 2 });
    const { text, failure } = await collect(engine, GENERATION);
    expect(failure?.reason).toEqual("cut");
    expect(text).toEqual(EXPECTED.slice(0, 2).join(""));
  });
});

test("a stall ends the attempt as a timeout", async () => {
  await withEngine(async (engine, standin) => {
    await setFaults(standin, { stallStreams: true });
    const deadlines = { firstToken: 100 };
    const { kinds, failure } = await collect(engine, GENERATION, deadlines);
    expect(kinds).toEqual(["start"]);
    expect(failure?.reason).toEqual("timeout");
    expect(failure?.sent).toEqual("sent");
  });
});
