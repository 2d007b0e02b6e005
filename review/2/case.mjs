// A replica that refuses a request with 421 sends the same answer once more,
// late, on the same channel, where the answer to the repeat is expected.
import { appendFileSync, writeFileSync } from "node:fs";
import { send } from "../standins/client.mjs";
import { createFleet } from "../standins/daemon.mjs";
import { sleep } from "../standins/net.mjs";
import { composeState, MODEL } from "../standins/operator.mjs";
import { startReplica } from "../standins/replica.mjs";
import { startStore } from "../standins/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const RECORD = new URL("record.txt", import.meta.url);

const BUMPS = 8;
const BUMP_PERIOD_MS = 9_000;
/** Time before each bump in which answers may already be spoiled. */
const LEAD_MS = 2_500;
const SPOIL_MS = 5_000;
/** Share of the answers of one replica that may be spoiled. */
const SPOIL_SHARE = 0.03;
const REQUEST_PERIOD_MS = 25;
const LOAD_MS = 760;
const EVENTS = 6;
const EVENT_PAUSE_MS = 20;

const start = performance.now();
writeFileSync(RECORD, "");
function record(text) {
  const at = ((performance.now() - start) / 1_000).toFixed(3);
  appendFileSync(RECORD, `${at.padStart(8)} s  ${text}\n`);
}

/** Replicas that ran a request, by its id. */
const runs = new Map();
let spoilUntil = -Infinity;

async function runStream({ request, response, headers, self }) {
  const id = request.headers["request-id"];
  runs.set(id, [...runs.get(id) ?? [], self.id]);
  record(`${id} runs at ${self.id} on version ${self.version}`);
  response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: token ${event}\n\n`);
    await sleep(EVENT_PAUSE_MS);
  }
  response.end();
}

function carryOut(order, answer, replica) {
  if (replica.busy || order.expected_rev !== replica.seq) return answer(409);
  if (replica.version === order.version) return answer(200);
  replica.busy = true;
  replica.seq += 1;
  answer(202);
  record(`${replica.id} loads version ${order.version} for ${order.holder}`);
  setTimeout(() => {
    replica.version = order.version;
    replica.busy = false;
  }, LOAD_MS);
}

/** One of the two replicas repeats refusals, within the share. */
function repeatsRefusal(status, replica) {
  const isSpoiling = HAS_TROUBLE && replica.id === "llm-1" &&
    status === 421 && performance.now() < spoilUntil;
  if (!isSpoiling) return false;
  const allowed = Math.floor(replica.answers * SPOIL_SHARE);
  if (replica.spoiled >= allowed) return false;
  replica.spoiled += 1;
  return true;
}

const store = await startStore();
const fleet = await createFleet({ store });
const replicas = [];
let exitCode = 2;
try {
  store.put("op", "config", composeState(5));
  for (const id of ["llm-1", "llm-2"]) {
    const replica = await startReplica(store, {
      ...{ id, service: "sizing-llm", isEngine: true, respond: runStream },
      ...{ order: carryOut, repeatsRefusal },
      onExtra: (request) =>
        record(
          `llm-1 sends its 421 once more where the answer to ${request} is due`,
        ),
    });
    replicas.push(Object.assign(replica, { spoiled: 0 }));
  }
  const daemons = [
    await fleet.start("front-1"),
    await fleet.start("front-2"),
  ];
  await sleep(2_500);
  const answers = [];
  let sent = 0;
  const sending = setInterval(() => {
    sent += 1;
    const { host, name } = daemons[sent % daemons.length];
    const parts = `5c1e07a2:119,91bd3f${10 + sent % 40}:531,e4${sent}:177`;
    answers.push(
      send({ host, port: fleet.ports.front }, {
        ...{ id: `q${sent}`, path: "/question/1", deadline: 12_000, body: "?" },
        headers: {
          ...{ Model: MODEL, "Token-Usage": "827,58", "Prompt-Prefix": parts },
        },
      }).then((answer) => {
        record(
          `${answer.id} by ${name}: ${answer.status} ${answer.error ?? ""}`,
        );
        return answer;
      }),
    );
  }, REQUEST_PERIOD_MS);
  for (let version = 2; version < 2 + BUMPS; version += 1) {
    for (const replica of replicas) {
      replica.answers = 0;
      replica.spoiled = 0;
    }
    spoilUntil = performance.now() + SPOIL_MS;
    await sleep(LEAD_MS);
    record(`the operator names version ${version}`);
    store.put("op", `version/${MODEL}`, { model: MODEL, version });
    await sleep(BUMP_PERIOD_MS - LEAD_MS);
  }
  clearInterval(sending);
  const results = await Promise.all(answers);
  const served = results.filter(({ status }) => status === 200).length;
  const twice = [...runs].filter(([, ran]) => ran.length > 1);
  const refused = results.filter(({ id, status }) =>
    [408, 421, 429, 503].includes(status) && runs.has(id)
  );
  record(`${sent} requests sent, ${served} answered with success`);
  for (const [id, ran] of twice) {
    record(`TWICE: ${id} ran ${ran.length} times, at ${ran.join(", ")}`);
  }
  for (const { id, status } of refused) {
    record(`REFUSED: ${id} was answered ${status} and has run`);
  }
  if (served < sent / 2) record("could not run: most requests were not served");
  else exitCode = twice.length > 0 ? 1 : 0;
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  record(`exit code ${exitCode}`);
  fleet.close();
  for (const replica of replicas) replica.close();
  store.close();
}
process.exit(exitCode);
