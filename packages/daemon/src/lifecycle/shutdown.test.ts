import { Agent, type IncomingMessage, request } from "node:http";
import { connect } from "node:net";
import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { answerTo, ask, eventsOf, keyOf, operate, pause } from "./testing.ts";

const MODEL = "shop-app";
const BOOKINGS = ["bookings-1", "bookings-2"];

let deployment: Deployment;

/** espoo-1 drains longer than a replica's load report stays usable. */
function edit(text: string, file: string): string {
  if (file.endsWith("50-customers.yaml")) {
    return text.replace(/(savo-kennel:[^]*?concurrency: )\d+/, "$11")
      .replace(
        "  oulu-dog-shop:\n",
        "  oulu-dog-shop:\n    barredZones: [vantaa, vaasa]\n",
      );
  }
  if (file.endsWith("espoo-1.yaml")) {
    return text.replace(/balancerDelay: \d+/, "balancerDelay: 5500");
  }
  return text.replace(/balancerDelay: \d+/, "balancerDelay: 1000")
    .replace(/limit: 60000/, "limit: 4000");
}

interface Order {
  readonly daemon: string;
  readonly key: string;
  readonly signal?: AbortSignal;
}

async function placeOrder({ daemon, key, signal }: Order): Promise<number> {
  const address = deployment.addressOf(daemon);
  const answer = await fetch(`http://${address}/services/bookings/orders`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${keyOf(deployment, "coat-club")}`,
      "idempotency-key": key,
    },
    body: "{}",
    ...(signal === undefined ? {} : { signal }),
  });
  await answer.arrayBuffer();
  return answer.status;
}

async function readClaimState(daemon: string, key: string): Promise<unknown> {
  const path = `/orders?customer=coat-club&key=${key}`;
  return (await operate(deployment, daemon, { path }) as { state?: string })
    .state;
}

interface CallSummary {
  readonly outcomes: readonly string[];
  readonly closing: number;
}

/** Sends calls while the load balancer may still send requests. */
async function sendFor(duration: number, daemon: string): Promise<CallSummary> {
  const end = performance.now() + duration;
  const agent = new Agent({ keepAlive: true });
  const outcomes: string[] = [];
  let closing = 0;
  while (performance.now() < end) {
    const answer = await getModels(daemon, agent);
    if (answer?.headers.connection === "close") closing += 1;
    outcomes.push(String(answer?.statusCode));
    await pause(40);
  }
  agent.destroy();
  return { outcomes: [...new Set(outcomes)], closing };
}

function getModels(
  daemon: string,
  agent: Agent,
): Promise<IncomingMessage | undefined> {
  const key = keyOf(deployment, "coat-club");
  const url = `http://${deployment.addressOf(daemon)}/v1/models`;
  const headers = { authorization: `Bearer ${key}` };
  return new Promise((resolve) => {
    request(url, { agent, headers }, (answer) => {
      answer.resume().once("end", () => resolve(answer));
      answer.once("error", () => resolve(undefined));
    }).once("error", () => resolve(undefined)).end();
  });
}

async function setLatency(latency: number): Promise<void> {
  for (const name of BOOKINGS) await deployment.setFaults(name, { latency });
}

async function isReady(daemon: string): Promise<boolean> {
  const address = deployment.settings.get(daemon)?.listeners.operators;
  return (await fetch(`http://${address}/readyz`)).ok;
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    groups: [MODEL],
    daemons: ["espoo-1"],
    edit,
  });
});

after(async () => {
  await deployment.stop();
});

// Guards against truncated streams, dropped queued requests, orders whose outcome
// is lost because their caller disconnected, replicas that appear dead because a
// draining daemon stops reading reports, and connections that keep the process
// alive.
test("a stop aborts no work and a second signal changes nothing", async () => {
  const daemon = "espoo-1";
  const process = deployment.processes.get(daemon)!;
  await setLatency(3_000);
  for (
    const name of Object.keys(deployment.configuration.groups[MODEL]!.replicas)
  ) {
    await deployment.setFaults(name, { cutStreamsAfter: 200 });
  }
  const stream = {
    ...{ daemon, customer: "coat-club", model: MODEL, stream: true },
    text: "Long advice [[tokens=390]]",
  };
  const held = { ...stream, customer: "savo-kennel", text: "A [[tokens=200]]" };
  const queued = { ...held, text: "B [[tokens=200]]" };
  const callerAbort = new AbortController();
  const streaming = ask(deployment, stream);
  const holding = ask(deployment, held);
  const ordering = placeOrder({ daemon, key: "waits" });
  await pause(200);
  // The order whose caller disconnects is the last work to end.
  await setLatency(9_500);
  const leaving = placeOrder({
    daemon,
    key: "goes",
    signal: callerAbort.signal,
  })
    .catch(() => "gone");
  const [ip = "", port] = deployment.addressOf(daemon).split(":");
  const idle = connect(Number(port), ip).on("error", () => {});
  const partialRequest = connect(Number(port), ip).on("error", () => {});
  partialRequest.write("GET /v1/models HTTP/1.1\r\nhost: x\r\n");
  await pause(300);
  const waiting = ask(deployment, queued);
  await pause(300);
  callerAbort.abort();
  expect(await leaving).toEqual("gone");

  process.signal("SIGTERM");
  await process.waitForLine((line) => line.includes("drain_started"));
  expect(await isReady(daemon)).toEqual(false);
  const sending = sendFor(5_000, daemon);
  await pause(300);
  process.signal("SIGTERM");
  process.signal("SIGINT");
  await pause(4_700);
  // This customer may use only the replica in the daemon's own zone, whose
  // reports must be fresh.
  const late = {
    ...{ ...stream, customer: "oulu-dog-shop" },
    text: "Late [[tokens=20]]",
  };
  const answered = await ask(deployment, late);

  expect(await process.stop()).toEqual(0);
  const sent = await sending;
  expect(sent.outcomes).toEqual(["200"]);
  expect(sent.closing).toBeGreaterThan(5);
  expect(answered.text).toEqual(answerTo(deployment, late));
  expect(answered.connection).toEqual("close");
  for (
    const [reply, question] of [
      [await streaming, stream],
      [await holding, held],
      [await waiting, queued],
    ] as const
  ) {
    expect(reply.isComplete).toEqual(true);
    expect(reply.text).toEqual(answerTo(deployment, question));
  }
  expect(await ordering).toEqual(201);
  expect(eventsOf(deployment, daemon, "attempt_failed").length)
    .toBeGreaterThanOrEqual(1);
  expect(eventsOf(deployment, daemon, "drain_limit_reached")).toEqual([]);
  idle.destroy();
  partialRequest.destroy();
  await deployment.startDaemon("espoo-2");
  expect(await readClaimState("espoo-2", "waits")).toEqual("finished");
  expect(await readClaimState("espoo-2", "goes")).toEqual("finished");
});

// Guards against a process that keeps running for the 15 minutes in which it
// retries to store outcomes, and against requests that an outage aborts.
test("a stop during a platform outage ends and logs the pending work", async () => {
  const daemon = "espoo-2";
  const process = deployment.processes.get(daemon)!;
  await setLatency(2_000);
  const stream = {
    ...{ daemon, customer: "coat-club", model: MODEL, stream: true },
    text: "Outage [[tokens=150]]",
  };
  const streaming = ask(deployment, stream);
  const ordering = placeOrder({ daemon, key: "outage" });
  await pause(500);
  await deployment.setFaults("platform", { outage: true });
  process.signal("SIGTERM");
  await process.waitForLine((line) => line.includes("drain_started"));
  const sending = sendFor(700, daemon);
  process.signal("SIGTERM");
  expect(await process.stop()).toEqual(0);
  expect((await sending).outcomes).toEqual(["200"]);
  expect((await streaming).text).toEqual(answerTo(deployment, stream));
  expect(await ordering).toEqual(201);
  const [left] = eventsOf(deployment, daemon, "drain_limit_reached");
  expect(left).not.toEqual(undefined);
  expect(JSON.stringify(left)).toMatchRegex(/"claimRows":1/);
});
