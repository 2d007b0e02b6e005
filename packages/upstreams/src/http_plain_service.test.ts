import { createSystemClock } from "@peridotvalve/clock";
import {
  type Standin,
  startLegacyStandin,
  startServiceStandin,
} from "@peridotvalve/standins";
import { expect } from "earl";
import { test } from "node:test";
import {
  createHttpPlainService,
  type HttpPlainService,
} from "./http_plain_service.ts";

const LIMITS = { timeout: 2_000, signal: new AbortController().signal };
const ORDER = {
  method: "POST",
  path: "/orders",
  headers: { "idempotency-key": "k1", "x-peridotvalve-customer": "rekku" },
  body: Buffer.from('{"coat":"M"}'),
};

async function withService(
  standin: Standin,
  run: (service: HttpPlainService) => Promise<void>,
): Promise<void> {
  const { address } = standin;
  const service = createHttpPlainService({
    address,
    clock: createSystemClock(),
  });
  try {
    await run(service);
  } finally {
    await service.close();
    await standin.close();
  }
}

async function setFaults(standin: Standin, faults: unknown): Promise<void> {
  await fetch(`http://${standin.address}/control/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

async function listCalls(standin: Standin) {
  const response = await fetch(`http://${standin.address}/control/calls`);
  const body = await response.json() as { readonly calls: readonly unknown[] };
  return body.calls;
}

test("a call is forwarded unchanged except for hop-by-hop headers", async () => {
  await withService(await startLegacyStandin(), async (service) => {
    const response = await service.call({
      method: "PUT",
      path: "/a%20b?q=1&q=2",
      headers: { "x-mine": "1", "x-hop": "2", connection: "x-hop", te: "x" },
      body: Buffer.from("näin"),
    }, LIMITS);
    const { status, headers, body } = response.unwrap();
    const seen = JSON.parse(Buffer.from(body).toString());
    expect(status).toEqual(200);
    expect(headers["content-length"]).toEqual(undefined);
    expect(seen.method).toEqual("PUT");
    expect(seen.path).toEqual("/a%20b?q=1&q=2");
    expect(seen.bodyLength).toEqual(5);
    expect(seen.headers["x-mine"]).toEqual("1");
    expect(seen.headers["x-hop"]).toEqual(undefined);
    expect(seen.headers["te"]).toEqual(undefined);
  });
});

// Each fault, the client's failure, and the number of orders that ran.
for (
  const [faults, failure, ran] of [
    [{ loseAnswers: true }, { sent: "sent", reason: "cut" }, 1],
    [{ outage: true }, { sent: "sent", reason: "cut" }, 0],
    [{ hangAfterEffect: true }, { sent: "sent", reason: "timeout" }, 1],
    [{ silent: true }, { sent: "sent", reason: "timeout" }, 0],
  ] as const
) {
  test(`a call without a response is not retried: ${JSON.stringify(faults)}`, async () => {
    const standin = await startServiceStandin();
    await withService(standin, async (service) => {
      await setFaults(standin, faults);
      const limits = { ...LIMITS, timeout: 200 };
      const { sent, reason } = (await service.call(ORDER, limits)).unwrapErr();
      expect({ sent, reason }).toEqual(failure);
      expect((await listCalls(standin)).length).toEqual(ran);
    });
  });
}

test("a frozen connection fails one call and the next one succeeds", async () => {
  const standin = await startServiceStandin();
  await withService(standin, async (service) => {
    await service.call(ORDER, LIMITS);
    await setFaults(standin, { freezeConnections: true });
    const limits = { ...LIMITS, timeout: 200 };
    const frozen = await service.call(ORDER, limits);
    expect(frozen.unwrapErr().reason).toEqual("timeout");
    expect((await service.call(ORDER, LIMITS)).isOk()).toEqual(true);
    expect((await listCalls(standin)).length).toEqual(2);
  });
});

test("a call with a malformed header is not sent", async () => {
  const standin = await startServiceStandin();
  await withService(standin, async (service) => {
    const headers = { "x-bad": "a\r\nb" };
    const response = await service.call({ ...ORDER, headers }, LIMITS);
    expect(response.unwrapErr().sent).toEqual("not sent");
    expect(await listCalls(standin)).toEqual([]);
  });
});
