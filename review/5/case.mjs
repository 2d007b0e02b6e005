// The operator isolates a tenant. Prompt parts that its requests left in the
// caches of the replicas before are still used for other tenants.
import { appendFileSync, writeFileSync } from "node:fs";
import { send } from "../standins/client.mjs";
import { BOUNDS, createFleet } from "../standins/daemon.mjs";
import { sleep } from "../standins/net.mjs";
import { composeState, KEYS, MODEL } from "../standins/operator.mjs";
import { startReplica } from "../standins/replica.mjs";
import { startStore } from "../standins/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const RECORD = new URL("record.txt", import.meta.url);

const SESSIONS = 20;
const EVENTS = 4;

const start = performance.now();
writeFileSync(RECORD, "");
function record(text) {
  const at = ((performance.now() - start) / 1_000).toFixed(3);
  appendFileSync(RECORD, `${at.padStart(8)} s  ${text}\n`);
}

/** Tenants that are isolated in the newest desired state, with its ack. */
let isolated = { names: new Set(), ackedAt: -Infinity };
const broken = [];

/** Caches parts by replica and salt, and uses those that it finds. */
const caches = new Map();
async function runPrompt({ request, response, headers, self }) {
  const { headers: given } = request;
  const tenant = given.tenant;
  const salt = given["cache-salt"] ?? "";
  const parts = given["prompt-prefix"].split(",").map((part) =>
    part.split(":")[0]
  );
  const cache = caches.get(self.id) ?? new Map();
  caches.set(self.id, cache);
  let isContiguous = true;
  for (const part of parts) {
    const key = `${salt} ${part}`;
    const maker = cache.get(key);
    isContiguous &&= maker !== undefined;
    if (!isContiguous) {
      cache.set(key, tenant);
      continue;
    }
    const isWalled = maker !== tenant &&
      (isolated.names.has(maker) || isolated.names.has(tenant));
    const isInForce =
      performance.now() > isolated.ackedAt + BOUNDS.config_apply_ms;
    record(
      `${given["request-id"]} of ${tenant} at ${self.id} uses part ${part} ` +
        `that ${maker} made, salt ${salt}`,
    );
    if (isWalled && isInForce) {
      broken.push(
        `${given["request-id"]} of ${tenant} used part ${part} of ${maker}`,
      );
    }
  }
  response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  for (let event = 1; event <= EVENTS; event += 1) {
    response.write(`id: ${event}\ndata: token ${event}\n\n`);
    await sleep(10);
  }
  response.end();
}

const store = await startStore();
const fleet = await createFleet({ store });
const replicas = [];
let exitCode = 2;
try {
  store.put("op", "config", composeState(5));
  for (const id of ["llm-1", "llm-2"]) {
    replicas.push(
      await startReplica(store, {
        ...{ id, service: "sizing-llm", isEngine: true, respond: runPrompt },
      }),
    );
  }
  const daemon = await fleet.start("front-1");
  await sleep(3_000);

  let served = 0;
  async function ask(name, session) {
    const parts = `5c1e07a2:512,91bd3f${
      10 + session
    }:8610,e4${name}${session}:900`;
    const { id, status } = await send(
      { host: daemon.host, port: fleet.ports.front },
      {
        ...{ path: "/advice/1", key: KEYS[name], deadline: 15_000, body: "?" },
        headers: {
          Model: MODEL,
          "Token-Usage": "10022,40",
          "Prompt-Prefix": parts,
        },
      },
    );
    record(`${id} by ${name}: ${status}`);
    if (status === 200) served += 1;
  }

  for (let session = 0; session < SESSIONS; session += 1) {
    await ask("owner", session);
  }
  if (HAS_TROUBLE) {
    const { tenants } = composeState(9);
    const changed = tenants.map((tenant) =>
      tenant.name === "owner" ? { ...tenant, isolated: true } : tenant
    );
    store.put("op", "config", composeState(9, { tenants: changed }));
    isolated = { names: new Set(["owner"]), ackedAt: performance.now() };
    record("version 9 is acknowledged: owner is isolated");
  }
  await sleep(BOUNDS.config_apply_ms + 1_500);
  for (let session = 0; session < SESSIONS; session += 1) {
    await ask("kennel", session);
  }
  record(`${served} of ${2 * SESSIONS} requests were served`);
  for (const text of broken) record(`WALL: ${text}`);
  if (served < SESSIONS) record("could not run: requests were not served");
  else exitCode = broken.length > 0 ? 1 : 0;
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  record(`exit code ${exitCode}`);
  fleet.close();
  for (const replica of replicas) replica.close();
  store.close();
}
process.exit(exitCode);
