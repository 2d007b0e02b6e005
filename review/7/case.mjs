// A prompt part that crashes each replica right after it has begun to write its
// answer. BUDGET: from `contact_ms` after the fifth crash, at most three requests
// with the part reach replicas.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  composeConfig,
  createFleet,
  nextId,
  openRecord,
  route,
  send,
  sleep,
  startStore,
  TROUBLE,
} from "../standins-2/deployment.mjs";
import { startReplica } from "../standins-2/replica.mjs";

const record = openRecord(dirname(fileURLToPath(import.meta.url)));

const CONTACT = 3_000;
const ALLOWED = 3;
const CRASHES_BEFORE = 5;

/** Requests with the part are sent for this long. */
const TRAFFIC = 40_000;
const SOUND_PERIOD = 100;
const DEADLY_PERIOD = 900;

const MODEL = "daka510000";
const SHARED = "5c1e07a2";
const DEADLY = "deadbea7";
const SERVICE = "sizing-llm";
const REPLICAS = 6;
const EVENTS = 12;
const EVENT_PERIOD = 40;

/** "after": the first event is complete when the replica crashes. */
const CRASH = process.env.CRASH ?? "after";

const store = await startStore();
const zones = { espoo: "uusimaa", vantaa: "uusimaa" };
const crashes = [];
const reached = [];

async function run({ response, headers, name, replica, answered, crash }) {
  const isDeadly = (headers["prompt-prefix"] ?? "").includes(DEADLY);
  if (isDeadly) {
    reached.push(performance.now());
    record(`request ${name} with the part reaches ${replica}`);
  }
  await sleep(41);
  response.writeHead(200, { ...answered, "Content-Type": "text/event-stream" });
  const first = Number(headers["last-event-id"] ?? 0) + 1;
  for (let number = first; number <= EVENTS; number += 1) {
    const event = `id: ${number}\ndata: token-${number}\n\n`;
    if (isDeadly && TROUBLE) {
      const written = CRASH === "after" ? event : event.slice(0, 8);
      response.write(written, () => setTimeout(crash, 5));
      return;
    }
    response.write(event);
    await sleep(EVENT_PERIOD);
  }
  response.end();
}

store.put(
  "op",
  "config",
  composeConfig({
    routes: [
      route("breed-guide", "streaming", SERVICE, {
        ...{ timeout_ms: 15_000, target_latency_ms: 800, gap_aim_ms: 300 },
        ...{ resumable: true, sticky: true },
      }),
    ],
    services: [{
      ...{ name: SERVICE, health_path: "/healthz", max_conns: 370 },
      engine: {
        slots: 64,
        kv_capacity_tokens: 165_933,
        kv_token_bytes: 18_432,
      },
    }],
  }),
);
store.put("op", `version/${MODEL}`, { model: MODEL, version: 1 });
for (let number = 0; number < REPLICAS; number += 1) {
  await startReplica({
    ...{ store, service: SERVICE, slots: 64, model: MODEL, record, run },
    zone: number % 2 === 0 ? "espoo" : "vantaa",
    onCrash: () => crashes.push(performance.now()),
  });
}

const fleet = createFleet({ store, zones, limits: { memory_mb: 350 } });
let code = 2;
try {
  for (let number = 0; number < 3; number += 1) {
    const zone = number % 2 === 0 ? "espoo" : "vantaa";
    await fleet.startReady(`front-${zone}-${number}`, { zone });
  }
  await sleep(2_000);
  const answers = { sound: 0, cut: 0, other: 0 };
  let sent = 0;

  function sendPrompt(isDeadly) {
    const { host } = fleet.daemons[sent % fleet.daemons.length];
    sent += 1;
    const id = nextId(isDeadly ? "d" : "a");
    const own = (0x10000000 + sent).toString(16);
    const parts = isDeadly
      ? `${SHARED}:800,${DEADLY}:400,${own}:100`
      : `${SHARED}:800,${own}:100`;
    return send(host, {
      ...{ id, method: "POST", path: "/breed-guide/a", patience: 15_000 },
      body: `prompt ${id}`,
      headers: {
        Model: MODEL,
        "Token-Usage": isDeadly ? "1300,12" : "900,12",
        "Prompt-Prefix": parts,
      },
    }).then((answer) => {
      const outcome = answer.status !== 200
        ? "other"
        : answer.isComplete
        ? "sound"
        : "cut";
      if (!isDeadly) answers[outcome] += 1;
      if (isDeadly || outcome !== "sound") {
        record(`${id}: ${answer.status} ${outcome} ${answer.error}`);
      }
    });
  }

  const pending = [];
  const begun = performance.now();
  let nextDeadly = begun + 4_000;
  while (performance.now() - begun < TRAFFIC) {
    pending.push(sendPrompt(false));
    if (performance.now() >= nextDeadly) {
      nextDeadly += DEADLY_PERIOD;
      pending.push(sendPrompt(true));
    }
    await sleep(SOUND_PERIOD);
  }
  await Promise.all(pending);
  const fifth = crashes[CRASHES_BEFORE - 1] ?? Infinity;
  const late = reached.filter((at) => at > fifth + CONTACT).length;
  record(`crashes ${crashes.length}, requests with the part ${reached.length}`);
  record(`later than ${CONTACT} ms after the fifth crash: ${late}`);
  record(`sound requests: ${JSON.stringify(answers)}`);
  code = late > ALLOWED ? 1 : 0;
  record(code === 1 ? "BUDGET is broken" : "BUDGET holds");
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  fleet.stop();
  store.close();
}
process.exit(code);
