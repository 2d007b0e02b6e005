import { createSystemClock } from "@peridotvalve/clock";
import {
  type EngineStandinOptions,
  expectedAnswer,
  type Standin,
  startEngineStandin,
  startStoreVmStandin,
  type StoreVmStandinOptions,
} from "@peridotvalve/standins";
import type { BlockName, Generation } from "@peridotvalve/types";
import { createHttpEngine, createHttpStoreVm } from "@peridotvalve/upstreams";
import { expect } from "earl";
import { test } from "node:test";
import { splitIntoBlocks } from "./names.ts";
import { createByteTokenizer } from "./tokenizer.ts";
import {
  type BlockEngine,
  importBlock,
  publishBlock,
  type StoreCandidate,
} from "./transfer.ts";

const BLOCK_LAYOUT = { tokensPerBlock: 16, blockBytes: 64 * 1024 };
const clock = createSystemClock();
const PROMPT = `${"Borzoi guide, chest 76 cm. ".repeat(3)}[[tokens=2]]`;
const GENERATION: Generation = {
  attempt: "a1",
  request: "r1",
  customer: "rekku",
  weights: "w1",
  prompt: PROMPT,
  maxTokens: 8,
  priority: 1,
};
const EXPECTED = expectedAnswer(GENERATION, BLOCK_LAYOUT).join("");
const NAME = splitIntoBlocks(PROMPT, {
  customer: "rekku",
  weights: "w1",
  tokensPerBlock: BLOCK_LAYOUT.tokensPerBlock,
  tokenizer: createByteTokenizer(),
}).names[0] as BlockName;

async function setUp(
  options: {
    readonly engine?: EngineStandinOptions;
    readonly store?: StoreVmStandinOptions;
  } = {},
) {
  const speed = 20;
  const engines = await Promise.all(
    [1, 2].map((seed) =>
      startEngineStandin({ ...BLOCK_LAYOUT, speed, seed, ...options.engine })
    ),
  );
  const vms = await Promise.all(
    [1, 2].map((seed) => startStoreVmStandin({ seed, ...options.store })),
  );
  const [source, target] = engines.map(({ address }) =>
    createHttpEngine({ address, clock })
  );
  const stores = vms.map(({ address }) =>
    createHttpStoreVm({ address, clock })
  );
  const candidates: StoreCandidate[] = stores.map((store, index) => ({
    id: `m${index}`,
    store,
    crossesRegions: false,
  }));
  return {
    source: source!,
    target: target!,
    standins: { source: engines[0]!, target: engines[1]!, vms },
    transfer: {
      clock,
      stores: candidates,
      budget: { reserve: () => false },
      timeout: 4_000,
      blockBytes: BLOCK_LAYOUT.blockBytes,
    },
    close: async () => {
      for (const client of [source!, target!, ...stores]) await client.close();
      for (const standin of [...engines, ...vms]) await standin.close();
    },
  };
}

type Setup = Awaited<ReturnType<typeof setUp>>;

async function post(standin: Standin, path: string, body: unknown = {}) {
  await fetch(`http://${standin.address}${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
}

async function setFaults(standins: readonly Standin[], faults: unknown) {
  for (const each of standins) await post(each, "/control/faults", faults);
}

async function generate(engine: Setup["source"], prompt = PROMPT) {
  const signal = new AbortController().signal;
  const deadlines = { firstToken: 5_000, betweenTokens: 5_000, signal };
  let text = "";
  let cachedTokens = 0;
  const stream = engine.generate({ ...GENERATION, prompt }, deadlines);
  for await (const event of stream) {
    if (event.kind === "start") cachedTokens = event.cachedTokens;
    if (event.kind === "token") text += event.text;
  }
  return { text, cachedTokens };
}

function scenario(
  name: string,
  run: (setup: Setup) => Promise<void>,
  options: Parameters<typeof setUp>[0] = {},
): void {
  test(name, async () => {
    const setup = await setUp(options);
    try {
      await generate(setup.source);
      await run(setup);
    } finally {
      await setup.close();
    }
  });
}

/** Runs an action between the engine's export and the store's confirmation. */
function afterExport(engine: BlockEngine, act: () => Promise<void>) {
  return {
    importBlock: engine.importBlock.bind(engine),
    exportBlock: async (
      ...[name, limits]: Parameters<
        BlockEngine["exportBlock"]
      >
    ) => {
      const exported = await engine.exportBlock(name, limits);
      await act();
      return exported;
    },
  };
}

scenario("a published block is imported and used", async (setup) => {
  const { source, target, transfer } = setup;
  const published = await publishBlock(source, NAME, transfer);
  expect(published.kind).toEqual("published");
  const imported = await importBlock(target, NAME, transfer);
  expect(imported.kind).toEqual("imported");
  const output = await generate(target);
  expect(output).toEqual({ text: EXPECTED, cachedTokens: 16 });
});

for (const checked of [true, false]) {
  const expectation = checked
    ? "refused"
    : "visible in the output without checks";
  scenario(
    `memory reused during an import is ${expectation}`,
    async (setup) => {
      const { source, target, standins, transfer } = setup;
      const published = await publishBlock(source, NAME, transfer);
      if (published.kind !== "published") throw new Error(published.reason);
      // The slow link makes the copy take over 3 s, so that the memory is reused
      // during the copy even on a busy machine.
      await setFaults(standins.vms, { slowFactor: 2_500 });
      await setFaults([standins.target], { skipImportCheck: !checked });
      const importing = importBlock(target, NAME, transfer);
      await clock.sleep(300);
      const base = `http://${published.store}/blocks/rekku/w1`;
      await fetch(`${base}/${NAME.block}`, { method: "DELETE" });
      await setFaults(standins.vms, { slowFactor: 0.001 });
      const body = Buffer.alloc(BLOCK_LAYOUT.blockBytes, 7);
      const digest = await crypto.subtle.digest("SHA-256", body);
      const headers = { "x-checksum": Buffer.from(digest).toString("hex") };
      await fetch(`${base}/other`, { method: "PUT", body, headers });
      const { kind } = await importing;
      expect(kind).toEqual(checked ? "recompute" : "imported");
      const { text } = await generate(target);
      expect(text === EXPECTED).toEqual(checked);
    },
    { store: { linkBytesPerSecond: 50e6 } },
  );
}

scenario("a store VM that restarts empty confirms nothing", async (setup) => {
  const { source, target, standins, transfer } = setup;
  const restart = async () => {
    for (const vm of standins.vms) await post(vm, "/control/restart");
  };
  const engine = afterExport(source, restart);
  const lost = await publishBlock(engine, NAME, transfer);
  expect(lost.kind).toEqual("not published");
  expect((await publishBlock(source, NAME, transfer)).kind).toEqual(
    "published",
  );
  // The restart happens between the look-up and the copy.
  const late: BlockEngine = {
    exportBlock: target.exportBlock.bind(target),
    importBlock: async (block, limits) => {
      await restart();
      return await target.importBlock(block, limits);
    },
  };
  const imported = await importBlock(late, NAME, transfer);
  expect(imported).toEqual({ kind: "recompute", reason: "not_found" });
});

scenario("a VM that fills up mid-transfer stores no block", async (setup) => {
  const { source, standins, transfer } = setup;
  await setFaults(standins.vms, { fullAfterBytes: 10_000 });
  const full = await publishBlock(source, NAME, transfer);
  expect(full.kind).toEqual("not published");
  for (const { store } of transfer.stores) {
    expect((await store.findBlock(NAME, 1_000)).unwrap()).toEqual(undefined);
  }
  // When only one VM has space, that VM gets the block.
  await setFaults([standins.vms[0]!], { fullAfterBytes: 1e9 });
  const published = await publishBlock(source, NAME, transfer);
  if (published.kind !== "published") throw new Error(published.reason);
  expect(published.store).toEqual(standins.vms[0]!.address);
});

scenario("a dead writer's block is not published", async (setup) => {
  const { source, standins, transfer } = setup;
  const faults = { dieDuringExport: true, reportFalseExport: true };
  await setFaults([standins.source], faults);
  // By the engine's response alone, the block would count as published.
  const { store } = transfer.stores[0]!;
  const limits = { store: store.address, timeout: 1_000 };
  expect((await source.exportBlock(NAME, limits)).kind).toEqual("done");
  const published = await publishBlock(source, NAME, transfer);
  expect(published.kind).toEqual("not published");
});

scenario("of two writers only the last one's export counts", async (setup) => {
  const { source, target, transfer } = setup;
  await generate(target);
  const stores = transfer.stores.slice(0, 1);
  const limits = { store: stores[0]!.store.address, timeout: 1_000 };
  const engine = afterExport(source, async () => {
    expect((await target.exportBlock(NAME, limits)).kind).toEqual("done");
  });
  const one = { ...transfer, stores };
  const first = await publishBlock(engine, NAME, one);
  expect(first.kind).toEqual("not published");
  const second = await publishBlock(source, NAME, one);
  if (second.kind !== "published") throw new Error(second.reason);
  expect(second.copied).toEqual(false);
});

scenario("silent store VMs cost at most the timeout", async (setup) => {
  const { source, target, standins, transfer } = setup;
  await setFaults(standins.vms, { silent: true });
  const short = { ...transfer, timeout: 200 };
  const published = await publishBlock(source, NAME, short);
  expect(published.kind).toEqual("not published");
  expect((await importBlock(target, NAME, short)).kind).toEqual("recompute");
  await setFaults([standins.vms[1]!], { silent: false });
  const fallback = await publishBlock(source, NAME, transfer);
  if (fallback.kind !== "published") throw new Error(fallback.reason);
  expect(fallback.store).toEqual(standins.vms[1]!.address);
});

scenario("bytes cross regions only within the budget", async (setup) => {
  const { source, transfer } = setup;
  const reserved: number[] = [];
  const stores = transfer.stores.map((candidate) => ({
    ...candidate,
    crossesRegions: true,
  }));
  const remote = { ...transfer, stores };
  const refused = await publishBlock(source, NAME, remote);
  expect(refused).toEqual({
    kind: "not published",
    reason: "no budget; no budget",
  });
  const reserve = (bytes: number) => reserved.push(bytes) > 0;
  const paid = { ...remote, budget: { reserve } };
  const published = await publishBlock(source, NAME, paid);
  expect(published.kind).toEqual("published");
  expect(reserved).toEqual([BLOCK_LAYOUT.blockBytes]);
});
