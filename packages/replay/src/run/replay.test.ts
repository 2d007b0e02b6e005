import { expect } from "earl";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Agent } from "undici";
import { shortenBalancerDelay, startDeployment } from "@peridotvalve/testbed";
import { generateTrace, WORKLOADS } from "../trace/generate.ts";
import { parseTrace, type TraceRequest } from "../trace/trace.ts";
import { checkOutcomes } from "./check.ts";
import { computeMeasures } from "./measures.ts";
import { type Outcomes, parseOutcomes } from "./outcomes.ts";
import { countOrders, replayTrace } from "./replay.ts";
import { createPlot, formatTable } from "./report.ts";
import { sendRequest } from "./send.ts";

const ALL_CHECKS: Outcomes = {
  minimumCompleted: 1,
  minimumWithinPatience: 0.01,
  firstTokenP95: 1e9,
  maximumRecomputed: 1,
  ordersRunOnceAt: ["127.0.0.1:1"],
  faults: [],
};

const CHAT: TraceRequest = {
  ...{ at: 0, customer: "c", patience: 5_000, kind: "chat", model: "m" },
  ...{ conversation: "k", promptTokens: 8, tokens: 2 },
  ...{ repeatable: true, long: false },
};

async function replayAgainst(
  listener: RequestListener,
  requests: readonly TraceRequest[],
) {
  const server = createServer(listener).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const daemons = [`127.0.0.1:${port}`];
  const sent = await replayTrace(requests, { daemons, keys: {} });
  server.closeAllConnections();
  server.close();
  return sent;
}

const ORDER: TraceRequest = {
  ...{ at: 5, customer: "c", patience: 5_000, kind: "order", service: "s" },
  ...{ path: "/orders", method: "POST", key: "o1", repeatable: false },
};

// Guards against checks that pass without data when no request succeeds.
for (
  const [name, listener] of Object.entries<RequestListener>({
    "breaks every connection": (request) => void request.socket.destroy(),
    "sends empty answers": (_, response) => void response.end(),
    "refuses everything": (_, response) =>
      void response.writeHead(503).end(
        '{"error":{"code":"overloaded","ran":"no"}}',
      ),
  })
) {
  test(`no check passes when the daemon ${name}`, async () => {
    const sent = await replayAgainst(listener, [CHAT]);
    const checks = checkOutcomes(ALL_CHECKS, {
      sent,
      measures: computeMeasures(sent),
      runs: new Map(),
    });
    expect(checks.map(({ passed }) => passed)).toEqual(checks.map(() => false));
    expect(checks.length).toEqual(5);
  });
}

test("an order that ran twice, never or after a refusal fails the check", async () => {
  const done = await replayAgainst((_, answer) => void answer.end("{}"), [
    ORDER,
  ]);
  const refused = done.map((one) => ({
    ...one,
    ...{ completed: false, ran: "no", request: { ...ORDER, key: "o2" } },
  }));
  const results = ([[1, 0], [2, 0], [0, 0], [1, 1]] as const).map(
    ([first, second]) =>
      checkOutcomes({ ...ALL_CHECKS, minimumCompleted: 1 }, {
        sent: [...done, ...refused],
        measures: computeMeasures(done),
        runs: new Map([["o1", first], ["o2", second]]),
      }).at(-1)?.passed,
  );
  expect(results).toEqual([true, false, false, false]);
});

test("latency includes the delay of a request that is sent late", async () => {
  const dispatcher = new Agent();
  const delay = 500;
  const start = performance.now() - delay;
  const sent = await sendRequest(ORDER, {
    daemon: "127.0.0.1:1",
    key: "",
    ...{ dispatcher, start, due: start },
  });
  await dispatcher.destroy();
  expect(sent.sendDelay >= delay).toEqual(true);
  expect(sent.elapsed >= sent.sendDelay).toEqual(true);
});

test("a seed always generates the same trace, which can be parsed", () => {
  for (const workload of Object.values(WORKLOADS)) {
    const options = { seed: 7, duration: 30_000 };
    const requests = generateTrace(workload, options);
    const text = requests.map((one) => JSON.stringify(one)).join("\n");
    expect(parseTrace(text).unwrap()).toEqual(requests);
    expect(generateTrace(workload, options)).toEqual(requests);
    const kinds = new Set(requests.map(({ kind }) => kind));
    expect([...kinds].sort()).toEqual(["chat", "lookup", "order"]);
  }
});

test("errors in trace and outcome files name the line or the field", () => {
  const broken = `${JSON.stringify(CHAT)}\n{"kind":"chat"}`;
  expect(parseTrace(broken).unwrapErr().startsWith("line 2")).toEqual(true);
  expect(parseOutcomes("{}").unwrapErr().startsWith("minimumCompleted"))
    .toEqual(true);
});

test("a replay with one slowed engine passes its outcome file", async () => {
  const deployment = await startDeployment({
    example: "examples/koiratakki",
    daemons: ["espoo-1", "vantaa-1"],
    edit: shortenBalancerDelay,
  });
  const daemons = ["espoo-1", "vantaa-1"].map(deployment.addressOf);
  const services = [...deployment.processes.keys()]
    .filter((name) => name.startsWith("bookings-"))
    .map(deployment.addressOf);
  const requests = generateTrace(WORKLOADS["koiratakki"]!, {
    ...{ seed: 3, duration: 4_000, rate: 12, promptTokens: 200 },
    patience: 60_000,
  });
  const orders = requests.filter(({ kind }) => kind === "order").length;
  const outcomes: Outcomes = {
    minimumCompleted: Math.floor(requests.length * 0.9),
    ordersRunOnceAt: services,
    faults: [{
      at: 500,
      standin: deployment.addressOf("sizing-llm-espoo-1"),
      faults: { slowFactor: 3 },
    }],
  };
  const { keys } = deployment;
  const { faults } = outcomes;
  const sent = await replayTrace(requests, { daemons, keys, faults });
  const runs = await countOrders(services);
  const measures = computeMeasures(sent);
  const checks = checkOutcomes(outcomes, { sent, measures, runs });
  const response = await fetch(
    `http://${deployment.addressOf("sizing-llm-espoo-1")}/control/faults`,
  );
  const reported = await response.json() as { readonly slowFactor: number };
  await deployment.stop();
  expect(orders).toBeGreaterThan(0);
  expect(reported.slowFactor).toEqual(3);
  expect(checks.filter(({ passed }) => !passed)).toEqual([]);
  expect(formatTable(measures, checks).length).toBeGreaterThan(10);
  expect(createPlot(sent).split("<circle").length).toEqual(sent.length + 1);
});
