// A daemon gets SIGTERM. A sound replica falls silent for a second or so, as it
// may, and goes on; the other one is full
// with requests of other daemons. Streams are cut that would have ended
// well before the end of the grace period.
import { appendFileSync, writeFileSync } from "node:fs";
import { send } from "../standins/client.mjs";
import { createFleet } from "../standins/daemon.mjs";
import { sleep } from "../standins/net.mjs";
import { composeState, MODEL } from "../standins/operator.mjs";
import { startReplica } from "../standins/replica.mjs";
import { startStore } from "../standins/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const RECORD = new URL("record.txt", import.meta.url);

const STREAMS = 24;
const EVENTS = 60;
const EVENT_PAUSE_MS = 50;
/** One of two replicas falls silent for a second or so, three times. */
const SILENCES = 3;
const SILENCE_MS = 1_200;
const PAUSE_MS = 400;

const start = performance.now();
writeFileSync(RECORD, "");
function record(text) {
  const at = ((performance.now() - start) / 1_000).toFixed(3);
  appendFileSync(RECORD, `${at.padStart(8)} s  ${text}\n`);
}

/** Places of each replica; the clients of the others ask for more than all. */
const SLOTS = 24;
const QUEUE = 4;
const OTHER_CLIENTS = 96;

/** Replicas that have begun a request, by its id. */
const runs = new Map();
let silentUntil = -Infinity;

async function runStream({ request, response, headers, self }) {
  const id = request.headers["request-id"];
  const first = Number(request.headers["last-event-id"] ?? 0) + 1;
  runs.set(id, [...runs.get(id) ?? [], self.id]);
  if (id.startsWith("a")) {
    record(`${id} runs at ${self.id} from event ${first}`);
  }
  response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  for (let event = first; event <= EVENTS && !response.destroyed; event += 1) {
    const isSilent = () =>
      self.id === "llm-1" && performance.now() < silentUntil;
    while (isSilent()) await sleep(10);
    response.write(`id: ${event}\ndata: token ${event}\n\n`);
    await sleep(EVENT_PAUSE_MS);
  }
  if (response.destroyed) {
    record(`${id} is dropped at ${self.id}: it was cancelled`);
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
        ...{ id, service: "sizing-llm", isEngine: true, respond: runStream },
        ...{ slots: SLOTS, queue: QUEUE },
      }),
    );
  }
  const daemon = await fleet.start("front-1");
  const others = [await fleet.start("front-2"), await fleet.start("front-3")];
  await sleep(3_000);
  const target = { host: daemon.host, port: fleet.ports.front };
  const ask = (name, { host } = daemon) =>
    send({ ...target, host }, {
      ...{ id: name, path: "/advice/1", deadline: 15_000, body: "?" },
      headers: {
        Model: MODEL,
        "Token-Usage": "627,76",
        "Prompt-Prefix": `5c1e07a2:512,91${name}:50,e4${name}:65`,
      },
    });
  const streams = [];
  for (let sent = 0; sent < STREAMS; sent += 1) {
    streams.push(ask(`a${sent}`));
    await sleep(20);
  }
  await sleep(500);
  let isOver = false;
  let asked = 0;
  async function askAgain(other) {
    while (!isOver) {
      asked += 1;
      const { headers } = await ask(`o${asked}`, other);
      const wait = Number(headers["retry-after"] ?? 0.02) * 1_000;
      await sleep(wait);
    }
  }
  for (let client = 0; client < OTHER_CLIENTS; client += 1) {
    void askAgain(others[client % others.length]);
  }
  await sleep(500);
  const states = () =>
    replicas.map(({ id, running }) => `${id} runs ${running} of ${SLOTS}`);
  record(`front-1 gets SIGTERM; ${states().join(", ")}`);
  const stoppedAt = performance.now();
  daemon.child.kill("SIGTERM");
  for (let count = 0; count < SILENCES; count += 1) {
    await sleep(PAUSE_MS);
    if (HAS_TROUBLE) {
      silentUntil = performance.now() + SILENCE_MS;
      record(`llm-1 falls silent for ${SILENCE_MS} ms; ${states().join(", ")}`);
    }
    await sleep(SILENCE_MS);
  }
  const results = await Promise.all(streams);
  isOver = true;
  for (const { id, status, isComplete, error, body, endedAt } of results) {
    const events = body.split("\n\n").length - 1;
    const ending = isComplete ? "complete" : `cut (${error ?? "closed"})`;
    const after = Math.round(endedAt - stoppedAt);
    record(
      `${id}: ${status}, ${events} events, ${ending}, ${after} ms after SIGTERM`,
    );
  }
  const lost = results.filter(({ id, status, isComplete, body }) => {
    const isWhole = status === 200 && isComplete &&
      body.includes(`id: ${EVENTS}\n`);
    return runs.has(id) && !isWhole && status !== 503;
  });
  for (const { id } of lost) {
    record(
      `LOST: ${id} had been passed on and ended without a complete answer`,
    );
  }
  const served = results.filter(({ status }) => status === 200).length;
  if (served < STREAMS) record(`only ${served} of ${STREAMS} streams began`);
  if (served < STREAMS / 2) record("could not run");
  else exitCode = lost.length > 0 ? 1 : 0;
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  record(`exit code ${exitCode}`);
  fleet.close();
  for (const replica of replicas) replica.close();
  store.close();
}
process.exit(exitCode);
