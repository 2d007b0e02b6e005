import {
  type Deployment,
  findBinary,
  shortenBalancerDelay,
  startDeployment,
} from "@peridotvalve/testbed";
import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import OpenAI, { APIError } from "openai";

const CUSTOMER_KEY = "espoo-kennel-club";

let deployment: Deployment;

function clientOf(daemon: string, key: string): OpenAI {
  return new OpenAI({
    apiKey: key,
    baseURL: `http://${deployment.addressOf(daemon)}/v1`,
    maxRetries: 0,
  });
}

function readFirstKey(): string {
  return deployment.keys[CUSTOMER_KEY] ??
    Object.values(deployment.keys)[0] ?? "";
}

function placeOrder(daemon: string, idempotencyKey: string, body: unknown) {
  const address = deployment.addressOf(daemon);
  return fetch(`http://${address}/services/bookings/orders`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${readFirstKey()}`,
      "idempotency-key": idempotencyKey,
    },
    body: JSON.stringify(body),
  });
}

/** Runs of an order in all processes of the service. */
async function countRuns(idempotencyKey: string): Promise<number> {
  const names = [...deployment.processes.keys()]
    .filter((name) => name.startsWith("bookings-"));
  let runs = 0;
  for (const name of names) {
    const address = deployment.addressOf(name);
    const answer = await fetch(`http://${address}/control/calls`);
    const text = await answer.text();
    runs += text.split(`"${idempotencyKey}"`).length - 1;
  }
  return runs;
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    binary: findBinary(),
    daemons: ["espoo-1", "espoo-2", "vantaa-1"],
    edit: shortenBalancerDelay,
  });
});

after(async () => {
  const codes = await deployment.stop();
  // Guards against a shutdown that hangs or exits with an error.
  expect([...codes.values()]).toEqual([0, 0, 0]);
});

test("an unmodified openai client gets a stream, a full completion and the models", async () => {
  const client = clientOf("espoo-1", readFirstKey());
  const models = await client.models.list();
  expect(models.data.map((model) => model.id)).toInclude("sizing-llm");
  const request = {
    model: "sizing-llm",
    prompt_cache_key: "spaniel-7",
    messages: [{ role: "user" as const, content: "Chest 62 cm [[tokens=9]]" }],
  };
  const whole = await client.chat.completions.create(request);
  const stream = await client.chat.completions.create({
    ...request,
    stream: true,
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
  }
  expect(whole.usage?.completion_tokens).toEqual(9);
  expect(text).toEqual(whole.choices[0]?.message.content ?? "");
});

test("errors reach the openai client with their code and whether work ran", async () => {
  const client = clientOf("espoo-1", "pk-unknown");
  const error = await client.models.list().then(() => undefined, (e) => e);
  expect(error).toBeA(APIError);
  expect((error as APIError).status).toEqual(401);
  expect((error as APIError).code).toEqual("invalid_api_key");
  const body = (error as APIError).error as { readonly ran?: string };
  expect(body.ran).toEqual("no");
});

test("an order that is repeated through another daemon runs once", async () => {
  const first = await placeOrder("espoo-1", "order-1", { coat: "rain" });
  const repeat = await placeOrder("vantaa-1", "order-1", { coat: "rain" });
  const other = await placeOrder("vantaa-1", "order-1", { coat: "winter" });
  expect(first.status).toEqual(201);
  expect(repeat.status).toEqual(201);
  expect(await repeat.text()).toEqual(await first.text());
  expect(other.status).toEqual(422);
  expect(await countRuns("order-1")).toEqual(1);
});

// Guards against metrics that are registered but never recorded.
test("the metrics count requests, tokens, claims and control bytes", async () => {
  const operators = deployment.settings.get("espoo-1")?.listeners.operators;
  let text = "";
  // Peers become live after their first heartbeats.
  for (let count = 0; count < 50; count += 1) {
    const answer = await fetch(`http://${operators}/metrics`, {
      headers: { authorization: `Bearer ${deployment.operatorToken}` },
    });
    text = await answer.text();
    if (/peers\{state="live"\} [1-9]/.test(text)) break;
    await sleep(100);
  }
  const model = 'model="sizing-llm"';
  for (
    const sample of [
      'requests_total{route="POST /v1/chat/completions",code="ok",ran="yes"} 2',
      'requests_total{route="GET /v1/models",code="invalid_api_key",ran="no"} 1',
      `first_token_milliseconds_count{${model}} 2`,
      `between_tokens_milliseconds_count{${model}} 16`,
      `queue_wait_milliseconds_count{route="sizing-llm"} 2`,
      `tokens_total{${model}} 18`,
      `attempts_total{${model},kind="first",reason=""} 2`,
      'claims_total{answer="owned"} 1',
      "configuration_version 0",
      "link_bytes_total",
    ]
  ) {
    expect([sample, text.includes(`peridotvalve_${sample}`)])
      .toEqual([sample, true]);
  }
  for (
    const sample of [
      "prompt_tokens_total{.*}",
      "configuration_age_seconds",
      'control_bytes{direction="sent"}',
      'control_bytes{direction="received"}',
      'event_loop_delay_milliseconds{quantile="1"}',
      'peers{state="live"}',
    ]
  ) {
    const value = new RegExp(`peridotvalve_${sample} ([0-9.]+)`).exec(text);
    expect([sample, Number(value?.[1]) > 0]).toEqual([sample, true]);
  }
});

test("an order without an idempotency key is refused and not run", async () => {
  const address = deployment.addressOf("espoo-1");
  const answer = await fetch(`http://${address}/services/bookings/orders`, {
    method: "POST",
    headers: { "authorization": `Bearer ${readFirstKey()}` },
    body: "{}",
  });
  const body = await answer.json() as { error: { code: string; ran: string } };
  expect(body.error.code).toEqual("idempotency_key_required");
  expect(body.error.ran).toEqual("no");
});

// Guards against GONE: an order that runs although its caller left while the
// connection waited in the backlog, where one is accepted in each turn.
test("an order whose caller left in the backlog does not run", async () => {
  const process = deployment.processes.get("espoo-2");
  if (process === undefined) throw new Error("espoo-2 is not running");
  const [host = "", port] = deployment.addressOf("espoo-2").split(":");
  const keys = Array.from({ length: 20 }, (_, index) => `left-${index}`);
  process.signal("SIGSTOP");
  for (const key of keys) {
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    const lines = [
      "POST /services/bookings/orders HTTP/1.1",
      `host: ${host}`,
      `authorization: Bearer ${readFirstKey()}`,
      `idempotency-key: ${key}`,
      "content-length: 2",
    ];
    socket.write([...lines, "", "{}"].join("\r\n"), () => socket.destroy());
    await once(socket, "close");
  }
  process.signal("SIGCONT");
  // A later order is served after all earlier ones have been read.
  const answer = await placeOrder("espoo-2", "after", { coat: "rain" });
  expect(answer.status).toEqual(201);
  await sleep(300);
  const runs = await Promise.all(keys.map(countRuns));
  expect(runs.reduce((sum, count) => sum + count, 0)).toEqual(0);
});
