import { expectedAnswer } from "@peridotvalve/standins";
import {
  type Deployment,
  findBinary,
  shortenBalancerDelay,
  startDeployment,
} from "@peridotvalve/testbed";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import OpenAI, { APIConnectionError, APIError } from "openai";

const DAEMONS = ["espoo-1", "vantaa-1"] as const;
const CUSTOMER = "pet-shops-uusimaa";
const MODEL = "shop-app";
const CALLERS = 12;
const TOKENS = 40;

// Callers start within a second and are in progress when the process is killed.
const CALLER_INTERVAL = 60;
const SERVICE_LATENCY = 600;
const KILL_AFTER = 500;
const RESTART_AFTER = 800;

const PATIENCE = 6_000;
const MAX_TRIES = 12;
const RETRY_DELAY = 400;

/** Final result of a call from the caller's view. */
type CallerOutcome =
  | { readonly kind: "whole" }
  | { readonly kind: "wrong"; readonly detail: string }
  | { readonly kind: "failure"; readonly code: string; readonly ran: string }
  | { readonly kind: "broken" };

let deployment: Deployment;

function authorization(): string {
  return `Bearer ${deployment.keys[CUSTOMER]}`;
}

async function requestStream(
  daemon: string,
  name: string,
): Promise<CallerOutcome> {
  const client = new OpenAI({
    apiKey: deployment.keys[CUSTOMER] ?? "",
    baseURL: `http://${deployment.addressOf(daemon)}/v1`,
    maxRetries: 0,
  });
  const content = `Chest ${name} [[tokens=${TOKENS}]]`;
  try {
    const chunks = await client.chat.completions.create({
      model: MODEL,
      messages: [{ role: "user", content }],
      stream: true,
    });
    let text = "";
    let isFinished = false;
    for await (const chunk of chunks) {
      text += chunk.choices[0]?.delta.content ?? "";
      isFinished ||= chunk.choices[0]?.finish_reason === "stop";
    }
    if (!isFinished) return { kind: "broken" };
    const group = deployment.configuration.groups[MODEL];
    const expected = expectedAnswer({
      customer: CUSTOMER,
      weights: group?.weights ?? "",
      prompt: `<|user|>${content}\n`,
      maxTokens: TOKENS,
    }, { tokensPerBlock: group?.tokensPerBlock }).join("");
    return text === expected
      ? { kind: "whole" }
      : { kind: "wrong", detail: text };
  } catch (error) {
    if (error instanceof APIConnectionError) return { kind: "broken" };
    if (!(error instanceof APIError)) return { kind: "broken" };
    return readFailure(error.error);
  }
}

async function call(
  daemon: string,
  request: {
    readonly path: string;
    readonly init: RequestInit;
    readonly isWhole: (text: string) => boolean;
  },
): Promise<CallerOutcome> {
  const url = `http://${deployment.addressOf(daemon)}${request.path}`;
  try {
    const answer = await fetch(url, {
      ...request.init,
      headers: {
        ...request.init.headers,
        authorization: authorization(),
        "x-peridotvalve-patience-ms": String(PATIENCE),
      },
    });
    const text = await answer.text();
    if (!answer.ok) return readFailure(JSON.parse(text).error);
    if (request.isWhole(text)) return { kind: "whole" };
    return { kind: "wrong", detail: text };
  } catch {
    return { kind: "broken" };
  }
}

function placeOrder(daemon: string, key: string): Promise<CallerOutcome> {
  return call(daemon, {
    path: "/services/bookings/orders",
    init: {
      method: "POST",
      headers: { "idempotency-key": key },
      body: JSON.stringify({ key }),
    },
    isWhole: (text) => typeof JSON.parse(text).order === "number",
  });
}

function lookUp(daemon: string, item: string): Promise<CallerOutcome> {
  return call(daemon, {
    path: `/services/stock/stock/${item}`,
    init: {},
    isWhole: (text) => text === JSON.stringify({ item, stock: item.length }),
  });
}

function readFailure(error: unknown): CallerOutcome {
  const { code, ran } = (error ?? {}) as Record<string, unknown>;
  return { kind: "failure", code: String(code), ran: String(ran) };
}

/** Repeats through the other daemon while a repeat is safe for this work. */
async function retryWhileSafe(
  first: number,
  send: (daemon: string) => Promise<CallerOutcome>,
  isRepeatable: (outcome: CallerOutcome) => boolean,
): Promise<CallerOutcome> {
  let outcome: CallerOutcome = { kind: "broken" };
  for (let count = 0; count < MAX_TRIES; count += 1) {
    outcome = await send(DAEMONS[(first + count) % DAEMONS.length] ?? "");
    if (outcome.kind === "whole" || !isRepeatable(outcome)) return outcome;
    await sleep(RETRY_DELAY);
  }
  return outcome;
}

const isSafeToRepeatOrder = (outcome: CallerOutcome) =>
  outcome.kind === "broken" ||
  (outcome.kind === "failure" && outcome.ran === "no");

/** Runs of each order by key, as recorded by the service's processes. */
async function readRuns(): Promise<ReadonlyMap<string, ReadonlySet<string>>> {
  const runs = new Map<string, Set<string>>();
  for (const name of ["bookings-1", "bookings-2"]) {
    const url = `http://${deployment.addressOf(name)}/control/calls`;
    const { calls } = await (await fetch(url)).json() as {
      calls: readonly { idempotencyKey: string; number: number }[];
    };
    for (const { idempotencyKey, number } of calls) {
      const recordedRuns = runs.get(idempotencyKey) ?? new Set();
      runs.set(idempotencyKey, recordedRuns.add(`${name} ${number}`));
    }
  }
  return runs;
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    binary: findBinary(),
    daemons: DAEMONS,
    groups: [MODEL],
    edit: shortenBalancerDelay,
  });
});

after(async () => {
  const codes = await deployment.stop();
  expect([...codes.values()]).toEqual([0, 0]);
});

// Guards against lost, wrong or duplicated work when any process of the request
// path is killed: an incomplete response, an outcome without a code or `ran`,
// and an order that runs twice.
for (
  const victim of [
    "shop-app-espoo-1",
    "guide-cache-espoo-1",
    "platform",
    "bookings-1",
    "espoo-1",
  ]
) {
  test(`every caller gets a correct outcome when ${victim} is killed`, async () => {
    for (const name of ["bookings-1", "bookings-2"]) {
      await deployment.setFaults(name, { latency: SERVICE_LATENCY });
    }
    const keys = Array.from(
      { length: CALLERS },
      (_, index) => `${victim}-${index}`,
    );
    const begin = <Value>(work: (key: string, index: number) => Value) =>
      keys.map(async (key, index) => {
        await sleep(index * CALLER_INTERVAL);
        return await work(key, index);
      });
    const streams = begin((key, index) =>
      retryWhileSafe(
        index,
        (daemon) => requestStream(daemon, key),
        (outcome) => outcome.kind !== "wrong",
      )
    );
    const lookUps = begin((key, index) =>
      retryWhileSafe(
        index,
        (daemon) => lookUp(daemon, key),
        (outcome) => outcome.kind !== "wrong",
      )
    );
    const orders = begin((key, index) =>
      retryWhileSafe(
        index,
        (daemon) => placeOrder(daemon, key),
        isSafeToRepeatOrder,
      )
    );
    await sleep(KILL_AFTER);
    const runsBefore = await readRuns();
    await deployment.processes.get(victim)?.kill();
    await sleep(RESTART_AFTER);
    await deployment.restart(victim);
    const repeated = await Promise.all([...streams, ...lookUps]);
    const orderOutcomes = await Promise.all(orders);
    const runs = await readRuns();
    const countWhole = (list: readonly CallerOutcome[]) =>
      list.filter((one) => one.kind === "whole").length;

    expect(repeated.filter((one) => one.kind !== "whole")).toEqual([]);
    for (const [index, key] of keys.entries()) {
      const all = new Set([
        ...(runsBefore.get(key) ?? []),
        ...(runs.get(key) ?? []),
      ]);
      const outcome = orderOutcomes[index];
      expect([key, all.size <= 1]).toEqual([key, true]);
      if (outcome?.kind === "failure") {
        expect(["no", "unknown", "yes"]).toInclude(outcome.ran);
        expect([key, outcome.ran === "no" && all.size > 0])
          .toEqual([key, false]);
      } else {
        expect([key, outcome]).toEqual([key, { kind: "whole" }]);
      }
    }
    expect(countWhole(orderOutcomes) >= CALLERS / 3).toEqual(true);
  });
}
