import { Clock, createSystemClock } from "@peridotvalve/clock";
import {
  CLOCK_HEADER,
  createHybridClock,
  type EventRecord,
  type HybridClock,
  mergeTimeline,
  parseStamp,
} from "@peridotvalve/events";
import type { ProcessSettings } from "@peridotvalve/settings";
import {
  copyExample,
  type Deployment,
  startDeployment,
} from "@peridotvalve/testbed";
import { expect } from "earl";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { createDaemon, type Daemon } from "./daemon.ts";
import { createRpcClient } from "./peers/rpc.ts";
import { createStamps } from "./peers/stamps.ts";

const OFFSET = 90_000;
const DAEMON_AHEAD = "espoo-1";
const DAEMON_ON_TIME = "espoo-2";

/** A valid stamp sent by a caller; it must not reach a service. */
const FORGED = "zzzzzzzz.0";

/** At least one for each address in the operators' folder. */
const RECORDERS = 24;

let deployment: Deployment;
const daemons = new Map<string, Daemon>();

/** A system clock whose wall-clock time is offset. */
function createSkewedClock(offset: number): Clock {
  const system = createSystemClock();
  return new (class extends Clock {
    override now = () => system.now() + offset;
    override monotonic = () => system.monotonic();
    override sleep = (duration: number, signal?: AbortSignal) =>
      system.sleep(duration, signal);
  })();
}

/** Without seeds there are no heartbeats, which would also carry stamps. */
function settingsOf(name: string): ProcessSettings {
  const settings = deployment.settings.get(name);
  if (settings === undefined) throw new Error(`no settings of ${name}`);
  const shutdown = { balancerDelay: 0, requestLimit: 600_000, limit: 5_000 };
  return { ...settings, seeds: [], shutdown };
}

async function start(settings: ProcessSettings, clock: Clock): Promise<Daemon> {
  const created = await createDaemon(settings, { clock, write: () => {} });
  const daemon = created.unwrap();
  daemons.set(settings.name, daemon);
  return daemon;
}

async function readEvents(name: string): Promise<readonly EventRecord[]> {
  const address = daemons.get(name)?.addresses.operators;
  const answer = await fetch(`http://${address}/events?after=0`, {
    headers: { authorization: `Bearer ${deployment.operatorToken}` },
  });
  const page = await answer.json() as { events: readonly EventRecord[] };
  return page.events;
}

function callDaemon(name: string, path: string, init: RequestInit = {}) {
  const address = daemons.get(name)?.addresses.callers;
  const key = Object.values(deployment.keys)[0];
  const headers = { ...init.headers, authorization: `Bearer ${key}` };
  return fetch(`http://${address}${path}`, { ...init, headers });
}

function createSilentStamps(hybridClock: HybridClock) {
  return createStamps(hybridClock, () => {});
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    daemons: [],
    groups: [],
  });
  await start(settingsOf(DAEMON_AHEAD), createSkewedClock(OFFSET));
  await start(settingsOf(DAEMON_ON_TIME), createSystemClock());
});

after(async () => {
  await Promise.all([...daemons.values()].map((one) => one.stop("test ended")));
  await deployment.stop();
});

// Guards against a timeline that lists the repeat of an order before the order
// itself when the wall clock of the daemon that ran the order is ahead.
test("a repeated order is listed after the order despite clock skew", async () => {
  const order = {
    method: "POST",
    headers: { "idempotency-key": "order-clock" },
    body: "{}",
  };
  for (const name of [DAEMON_AHEAD, DAEMON_ON_TIME]) {
    const answer = await callDaemon(name, "/services/bookings/orders", order);
    expect(answer.status).toEqual(201);
  }
  const sources = await Promise.all(
    [DAEMON_ON_TIME, DAEMON_AHEAD].map(readEvents),
  );
  const names: string[] = [];
  for await (const { name, process } of mergeTimeline(sources)) {
    if (name === "claim_inserted" || name === "order_refused") {
      names.push(`${process.name} ${name}`);
    }
  }
  expect(names).toEqual([
    `${DAEMON_AHEAD} claim_inserted`,
    `${DAEMON_ON_TIME} order_refused`,
  ]);
});

// Guards against stamps that are not propagated in calls between daemons.
test("both ends of a call between daemons observe the other's stamp", async () => {
  const { peerSecret } = settingsOf(DAEMON_AHEAD);
  const call = { method: "daemon.status", params: {} };
  const own = createHybridClock(createSystemClock());
  const client = createRpcClient(peerSecret, createSilentStamps(own));
  const ahead = daemons.get(DAEMON_AHEAD)?.addresses.peers ?? "";
  await client.call(ahead, call, 1_000);
  expect(own.latest().time - Date.now() > OFFSET / 2).toEqual(true);

  const behind = daemons.get(DAEMON_ON_TIME)?.addresses.peers ?? "";
  const sent = own.tick();
  await client.call(behind, call, 1_000);
  await callDaemon(DAEMON_ON_TIME, "/services/none/x");
  const stamp = parseStamp(
    (await readEvents(DAEMON_ON_TIME)).at(-1)?.clock ?? "",
  );
  expect(stamp.unwrap().time >= sent.time).toEqual(true);
  await client.close();
});

// Guards against upstream events that cannot be ordered after the requests
// that caused them, because the requests carried no stamp.
test("engines, services and the platform receive the daemon's stamp", async () => {
  const stamps = new Map<string, string>();
  const recorders = await startRecorders(stamps);
  const ports = recorders.map((one) => (one.address() as AddressInfo).port);
  const platform = ports[0];
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-clock-"));
  await copyExample(
    "examples/koiratakki",
    folder,
    (text, file) =>
      file.includes("operators")
        ? text.replaceAll(/127\.0\.0\.1:\d+/g, () => `127.0.0.1:${ports.pop()}`)
        : text,
  );
  try {
    await start({
      ...settingsOf("espoo-3"),
      bootstrapFolder: join(folder, "operators"),
      platform: `127.0.0.1:${platform}`,
    }, createSystemClock());
    await callDaemon("espoo-3", "/v1/chat/completions", {
      method: "POST",
      body: JSON.stringify({
        model: "sizing-llm",
        messages: [{ role: "user", content: "Chest 62 cm" }],
      }),
    });
    await callDaemon("espoo-3", "/services/stock/stock/coat", {
      headers: { [CLOCK_HEADER]: FORGED },
    });
  } finally {
    for (const recorder of recorders) {
      recorder.close();
      recorder.closeAllConnections();
    }
    rmSync(folder, { recursive: true });
  }
  for (const path of ["generate", "stock", "tables"]) {
    const stamp = stamps.get(path) ?? "";
    expect([path, parseStamp(stamp).isOk()]).toEqual([path, true]);
    expect(stamp).not.toEqual(FORGED);
  }
});

/** Servers that reject each request and record its stamp by first segment. */
async function startRecorders(
  stamps: Map<string, string>,
): Promise<readonly Server[]> {
  const recorders = Array.from(
    { length: RECORDERS },
    () =>
      createServer((request, response) => {
        const path = request.url?.split(/[/?]/)[1] ?? "";
        stamps.set(path, String(request.headers[CLOCK_HEADER]));
        // 404 means that there is no head, so the daemon uses its folder.
        response.writeHead(path === "tables" ? 404 : 503).end();
      }),
  );
  for (const recorder of recorders) {
    recorder.listen(0, "127.0.0.1");
    await once(recorder, "listening");
  }
  return recorders;
}
