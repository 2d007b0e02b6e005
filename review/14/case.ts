/**
 * A part crashes replicas just after their short answers have ended. Most
 * replicas run nothing else at that moment, and such a crash counts for nothing.
 */
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  BOUNDS,
  composeState,
  nextId,
  note,
  now,
  register,
  type Registered,
  runCase,
  say,
  send,
  startDaemon,
  TROUBLE,
  waitUntilReady,
} from "../standins-3/bench.ts";

const DAEMONS = 3;
const REPLICAS = 6;
const MODEL = "m0";
const SHARED_PART = "f1f1";
const DEADLY_PART = "dead";

const PREFILL_MS = 60;
const EVENTS = 3;
const EVENT_GAP_MS = 10;
/** Time from the end of the answer to the crash. */
const CRASH_AFTER_MS = 40;
const RESTART_MS = 2_500;

const DEADLY_REQUESTS = 50;
const DEADLY_PAUSE_MS = 900;
const SOUND_PER_SECOND = 2;

/** Crashes after which the rule bounds the requests with the part. */
const CRASHES = 5;
/** Requests that the rule allows from then on. */
const TOLERATED = 3;

let crashes = 0;
/** Requests with the part that reached replicas. */
const reached: string[] = [];

function readHeader({ headers }: IncomingMessage, name: string): string {
  return String(headers[name] ?? "");
}

/** Starts an engine that crashes after an answer on the deadly part. */
function startEngine(id: string): Promise<Registered> {
  let born = Date.now();
  const server = createServer(async (request, response) => {
    request.resume();
    const path = (request.url ?? "/").split("?")[0];
    const sendJson = (body: Record<string, unknown>) => {
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify({ ...body, born }));
    };
    if (path === "/peridotvalve/report") {
      const models = [{ name: MODEL, version: 1, adapters: [] }];
      return sendJson({ models, busy: false, seq: 0 });
    }
    if (path === "/peridotvalve/kv-events") {
      await sleep(Number(readHeader(request, "wait-ms")));
      return sendJson({ boot_epoch: born, next: 0, lost: false, events: [] });
    }
    const requestId = readHeader(request, "request-id");
    if (readHeader(request, "expect-instance") !== id) {
      const headers = { "Request-Id": requestId, "Not-Executed": "1" };
      return void response.writeHead(421, headers).end();
    }
    const isDeadly = readHeader(request, "prompt-prefix").split(",")
      .some((part) => part.startsWith(`${DEADLY_PART}:`));
    if (isDeadly) reached.push(requestId);
    await sleep(PREFILL_MS);
    response.writeHead(200, {
      "Request-Id": requestId,
      "Response-Seal": `seal-${id}-${requestId}`,
      "Weight-Versions": "1",
      "Content-Type": "text/event-stream",
    });
    for (let event = 1; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\ndata: token\n\n`);
      await sleep(EVENT_GAP_MS);
    }
    response.end();
    if (!isDeadly || !TROUBLE) return;
    await sleep(CRASH_AFTER_MS);
    crash(requestId);
  });

  function crash(requestId: string): void {
    if (!server.listening) return;
    crashes += 1;
    note(`deadly ${requestId} crashes ${id}`);
    const { port } = server.address() as AddressInfo;
    server.close();
    server.closeAllConnections();
    setTimeout(() => {
      born = Date.now();
      server.listen(port, "127.0.0.1");
    }, RESTART_MS);
  }

  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve({
        id,
        isRunning: () => server.listening,
        entry: () => ({
          service: "sizing-llm",
          address: `127.0.0.1:${port}`,
          zone: "espoo",
          version: "v1",
          slots: 64,
          state: "ready",
          cold_remaining_ms: 0,
          models: [{ name: MODEL, version: 1, adapters: [] }],
          born,
        }),
      });
    });
  });
}

runCase("14", async (tables) => {
  const daemons = Array.from(
    { length: DAEMONS },
    (_, index) => startDaemon(`front-${index + 1}`, { store: tables.address }),
  );
  for (let index = 1; index <= REPLICAS; index += 1) {
    register(tables, await startEngine(`llm-${index}`));
  }
  tables.put(
    "op",
    "config",
    composeState(3, [{
      name: "tags",
      kind: "streaming",
      service: "sizing-llm",
      resumable: false,
      timeout_ms: 12_000,
      target_latency_ms: 800,
      gap_aim_ms: 300,
    }], [{
      name: "sizing-llm",
      engine: {
        slots: 64,
        kv_capacity_tokens: 165_933,
        kv_token_bytes: 18_432,
      },
    }]),
  );
  await waitUntilReady(daemons);
  await sleep(BOUNDS.contact_ms);

  let requests = 0;
  function ask(parts: readonly string[], id: string) {
    requests += 1;
    const { host } = daemons[requests % DAEMONS]!;
    const own = `c${requests.toString(16).padStart(7, "0")}`;
    return send(host, {
      ...{ id, path: `/tags/${requests}`, method: "POST", deadline: 12_000 },
      body: `photo=${requests}`,
      headers: {
        Model: MODEL,
        "Token-Usage": "600,10",
        "Prompt-Prefix": [...parts, own].map((part) => `${part}:200`).join(","),
      },
    });
  }

  let isOver = false;
  let sound = 0;
  let served = 0;
  const sendSound = (async () => {
    while (!isOver) {
      sound += 1;
      void ask([SHARED_PART], nextId()).then(({ status, isComplete }) =>
        served += status === 200 && isComplete ? 1 : 0
      );
      await sleep(1_000 / SOUND_PER_SECOND);
    }
  })();
  await sleep(2_000);

  let fifthCrash = Infinity;
  const sentAt = new Map<string, number>();
  for (let count = 0; count < DEADLY_REQUESTS; count += 1) {
    const id = nextId();
    sentAt.set(id, now());
    note(`deadly ${id} sent`);
    void ask([SHARED_PART, DEADLY_PART], id).then(({ status }) =>
      note(`deadly ${id} answered ${status}`)
    );
    await sleep(DEADLY_PAUSE_MS);
    if (crashes < CRASHES || fifthCrash < Infinity) continue;
    fifthCrash = now();
    note("the fifth crash");
  }
  isOver = true;
  await sendSound;
  await sleep(2_000);
  const late = reached.filter((id) =>
    (sentAt.get(id) ?? 0) > fifthCrash + BOUNDS.contact_ms
  );
  say(`${served} of ${sound} sound requests answered to the end`);
  say(
    `${crashes} crashes; ${reached.length} deadly requests reached replicas, ` +
      `${late.length} of them sent later than contact_ms after the fifth crash`,
  );
  return late.length <= TOLERATED;
});
