/**
 * A part that crashes replicas reaches them for as long as requests with it come
 * in small groups some seconds apart: crashes at one time count as one, and
 * earlier ones are forgotten before there are three.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type ReplicaStandin,
  startReplicaStandin,
} from "../../packages/standins/src/fleet/replica.ts";
import {
  BOUNDS,
  composeState,
  nextId,
  note,
  now,
  register,
  runCase,
  say,
  send,
  startDaemon,
  TROUBLE,
  waitUntilReady,
} from "../standins-3/bench.ts";

const DAEMONS = 3;
const REPLICAS = 6;
const DEADLY_PART = "dead";
const SHARED_PART = "f1f1";
/** Requests that come together, and the time until the next ones. */
const GROUP = 4;
const PERIOD_MS = 16_000;
const GROUPS = 7;
const LAST_WAIT_MS = 3_000;
const SOUND_PER_SECOND = 10;

/** Crashes after which the rule bounds the requests with the part. */
const CRASHES = 5;
/** Requests that the rule allows from then on. */
const TOLERATED = 3;

runCase("11", async (tables) => {
  const daemons = Array.from(
    { length: DAEMONS },
    (_, index) => startDaemon(`front-${index + 1}`, { store: tables.address }),
  );
  const replicas: ReplicaStandin[] = [];
  for (let index = 1; index <= REPLICAS; index += 1) {
    const replica = await startReplicaStandin({
      ...{ id: `llm-${index}`, service: "sizing-llm", zone: "espoo" },
      ...{ slots: 64, model: "m0", events: 10, pause: 40 },
    });
    replica.setFaults({ crashOnPart: TROUBLE ? DEADLY_PART : "none" });
    replicas.push(replica);
    register(tables, replica);
  }
  tables.put(
    "op",
    "config",
    composeState(
      3,
      [{
        name: "fit",
        kind: "streaming",
        service: "sizing-llm",
        resumable: false,
        timeout_ms: 12_000,
        target_latency_ms: 800,
        gap_aim_ms: 300,
      }],
      [{
        name: "sizing-llm",
        engine: {
          slots: 64,
          kv_capacity_tokens: 165_933,
          kv_token_bytes: 18_432,
        },
      }],
    ),
  );
  await waitUntilReady(daemons);
  await sleep(BOUNDS.contact_ms);

  let requests = 0;
  function ask(parts: readonly string[], id: string) {
    requests += 1;
    const { host } = daemons[requests % DAEMONS]!;
    const own = `c${requests.toString(16).padStart(7, "0")}`;
    return send(host, {
      ...{ id, path: `/fit/${requests}`, method: "POST", deadline: 12_000 },
      body: `breed=lapphund;case=${requests}`,
      headers: {
        Model: "m0",
        "Token-Usage": "600,10",
        "Prompt-Prefix": [...parts, own].map((part) => `${part}:200`).join(","),
      },
    });
  }

  const crashes = () =>
    replicas.reduce((sum, replica) => sum + replica.crashes(), 0);
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
  for (let group = 0; group < GROUPS; group += 1) {
    for (let count = 0; count < GROUP; count += 1) {
      const id = nextId();
      sentAt.set(id, now());
      note(`deadly ${id} sent`);
      void ask([SHARED_PART, DEADLY_PART], id).then(({ status, body }) =>
        note(`deadly ${id} answered ${status} ${body.slice(0, 60)}`)
      );
    }
    const isLast = group === GROUPS - 1;
    const next = now() + (isLast ? LAST_WAIT_MS : PERIOD_MS);
    while (now() < next) {
      await sleep(100);
      if (crashes() < CRASHES || fifthCrash < Infinity) continue;
      fifthCrash = now();
      note("the fifth crash");
    }
  }
  isOver = true;
  await sendSound;
  await sleep(2_000);
  const reached = replicas.flatMap(({ id, requests }) =>
    requests.filter((request) => sentAt.has(request.id))
      .map((request) => ({ replica: id, at: sentAt.get(request.id) ?? 0 }))
  );
  const late = reached.filter(({ at }) => at > fifthCrash + BOUNDS.contact_ms);
  for (const { replica, at } of late) {
    note(`${replica} was reached by a request sent at ${Math.round(at)}`);
  }
  say(`${served} of ${sound} sound requests answered to the end`);
  say(
    `${crashes()} crashes; ${reached.length} deadly requests reached replicas, ` +
      `${late.length} of them sent later than contact_ms after the fifth crash`,
  );
  return late.length <= TOLERATED;
});
