/**
 * The engine stand-in over HTTP: caching, batching, weight loads and faults.
 */
import { expect } from "earl";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Standin } from "../server.ts";
import { sharedRate, startWeightStoreStandin } from "../weight_store/mod.ts";
import {
  type EngineStandinOptions,
  expectedAnswer,
  startEngineStandin,
} from "./mod.ts";

const SHAPE = { tokensPerBlock: 8, blockBytes: 512 };

async function post(standin: Standin, path: string, body: unknown) {
  const url = `http://${standin.address}${path}`;
  const content = JSON.stringify(body);
  return await fetch(url, { method: "POST", body: content });
}

async function get(standin: Standin, path: string) {
  const response = await fetch(`http://${standin.address}${path}`);
  // deno-lint-ignore no-explicit-any
  return await response.json() as any;
}

interface Work {
  readonly attempt?: string;
  readonly weights?: string;
  readonly prompt: string;
  readonly priority?: number;
  readonly maxTokens?: number;
}

async function generate(standin: Standin, work: Work) {
  const body = {
    attempt: "a",
    request: "r",
    customer: "c",
    weights: "w1",
    maxTokens: 8,
    priority: 1,
    ...work,
  };
  const response = await post(standin, "/generate", body);
  const content = await response.text();
  const events = content.split("\n\n").filter((event) => event !== "")
    .map((event) => JSON.parse(event.split("data: ").at(-1) ?? ""));
  const tokens = events.flatMap((event) => event.text ?? []);
  return { status: response.status, events, tokens, body };
}

async function withEngine(
  options: EngineStandinOptions,
  run: (standin: Standin) => Promise<void>,
) {
  const standin = await startEngineStandin({ ...SHAPE, speed: 50, ...options });
  try {
    await run(standin);
  } finally {
    await standin.close();
  }
}

test("a repeated prompt uses the cache until its blocks are evicted (LRU)", async () => {
  await withEngine({ blocks: 4, eventLag: 0 }, async (engine) => {
    const prompts = ["a", "b", "c"].map((letter) => letter.repeat(64));
    const cached: number[] = [];
    for (const index of [0, 0, 1, 2, 2, 0]) {
      const prompt = prompts[index]!;
      const { events, tokens, body } = await generate(engine, { prompt });
      cached.push(events[0].cachedTokens);
      expect(tokens).toEqual([...expectedAnswer(body, SHAPE)]);
    }
    // Each prompt uses two blocks of the four; the third prompt evicts the
    // first.
    expect(cached).toEqual([0, 16, 0, 0, 16, 0]);
    const { events, first } = await get(engine, "/cache-events?after=0");
    expect(first).toEqual(1);
    expect(events.length).toEqual(8 + 4);
    await post(engine, "/control/faults", { dropCacheEvents: 3 });
    const gap = await get(engine, "/cache-events?after=0");
    expect(gap.first).toEqual(4);
  });
});

test("sequences with lower priority values run first", async () => {
  const options = { maxRunning: 1, speed: 10, reportLag: 0 };
  await withEngine(options, async (engine) => {
    const order: number[] = [];
    const run = async (priority: number) => {
      await generate(engine, { prompt: "x", priority });
      order.push(priority);
    };
    await post(engine, "/control/faults", { stallStreams: true });
    const first = run(5);
    while ((await get(engine, "/load")).running !== 1) await sleep(2);
    const others = [run(3), run(4), run(1)];
    while ((await get(engine, "/load")).waiting !== 3) await sleep(2);
    await post(engine, "/control/faults", { stallStreams: false });
    await Promise.all([first, ...others]);
    expect(order).toEqual([5, 1, 3, 4]);
  });
});

test("a cancelled attempt ends early, for its own customer only", async () => {
  await withEngine({ speed: 5, reportLag: 0 }, async (engine) => {
    const running = generate(engine, { prompt: "x", maxTokens: 10_000 });
    while ((await get(engine, "/load")).running !== 1) await sleep(2);
    const other = await post(engine, "/cancel", {
      attempt: "a",
      customer: "d",
    });
    expect(await other.json()).toEqual({ cancelled: false });
    const own = await post(engine, "/cancel", { attempt: "a", customer: "c" });
    expect(await own.json()).toEqual({ cancelled: true });
    const { events, tokens } = await running;
    const { count, finish } = events.at(-1);
    expect({ count, finish }).toEqual({
      count: tokens.length,
      finish: "cancelled",
    });
  });
});

for (const checksFencing of [true, false]) {
  test(`a stale fencing token is refused if checked: ${checksFencing}`, async () => {
    await withEngine({ checksFencing, loadDuration: 50 }, async (engine) => {
      const order = (version: string, fence: number) =>
        post(engine, "/weights", { version, fence });
      expect((await order("w2", 7)).status).toEqual(202);
      const stale = await order("w1", 6);
      expect(stale.status).toEqual(checksFencing ? 409 : 202);
      await sleep(100);
      const load = await get(engine, "/load");
      expect(load.weights).toEqual(checksFencing ? "w2" : "w1");
    });
  });
}

test("blocks of previous weights are not used after a weight swap", async () => {
  await withEngine({ loadDuration: 0, reportLag: 0 }, async (engine) => {
    const prompt = "x".repeat(64);
    await generate(engine, { prompt });
    await post(engine, "/weights", { version: "w2", fence: 1 });
    while ((await get(engine, "/load")).weights !== "w2") await sleep(5);
    expect((await generate(engine, { prompt })).status).toEqual(409);
    const swapped = await generate(engine, { prompt, weights: "w2" });
    expect(swapped.events[0].cachedTokens).toEqual(0);
    expect(swapped.tokens).toEqual([...expectedAnswer(swapped.body, SHAPE)]);
  });
});

test("weight loads share the bandwidth of two downloads", async () => {
  expect([1, 2, 4, 8].map((count) => sharedRate(count, 8))).toEqual([
    8,
    8,
    4,
    2,
  ]);
  const store = await startWeightStoreStandin({ bytesPerSecond: 4e6 });
  const { address: weightStore } = store;
  const group = await Promise.all(
    [1, 2, 3, 4].map(() =>
      startEngineStandin({ ...SHAPE, weightStore, reportLag: 0 })
    ),
  );
  await Promise.all(group.map(async (engine) => {
    await post(engine, "/weights", { version: "w2", fence: 1 });
    while ((await get(engine, "/load")).weights !== "w2") await sleep(5);
  }));
  expect((await get(store, "/stats")).peak > 2).toEqual(true);
  for (const standin of [...group, store]) await standin.close();
});

test("load reports are at least reportLag old", async () => {
  await withEngine({ reportLag: 200, speed: 1 }, async (engine) => {
    await sleep(250);
    await post(engine, "/control/faults", { stallStreams: true });
    const start = Date.now();
    generate(engine, { prompt: "x" }).catch(() => {});
    for (;;) {
      const { running, at } = await get(engine, "/load");
      expect(Date.now() - at >= 200).toEqual(true);
      if (at < start) expect(running).toEqual(0);
      if (running === 1) return;
      await sleep(10);
    }
  });
});

test("a frozen connection gets no data while new ones work", async () => {
  await withEngine({ speed: 5 }, async (engine) => {
    const prompt = "x";
    await post(engine, "/control/faults", { stallStreams: true });
    const frozen = generate(engine, { prompt });
    // Polling would leave idle connections, which fetch would reuse after they
    // are frozen.
    await sleep(200);
    const faults = { freezeConnections: true, stallStreams: false };
    await post(engine, "/control/faults", faults);
    const fresh = await generate(engine, { prompt });
    expect(fresh.tokens.length).toEqual(8);
    const outcome = await Promise.race([frozen, sleep(500, "silent")]);
    expect(outcome).toEqual("silent");
    frozen.catch(() => {});
  });
});
