/**
 * The first requests with new shared parts also hold a part that crashes
 * replicas. Sound requests with the same caller and the other parts are then
 * refused for as long as the deadly ones come.
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
/** Parts that the sound requests share with the deadly ones. */
const SHARED_PARTS = ["f1f1", "a0a0"];

const DEADLY_PER_SECOND = 2;
const DEADLY_MS = 30_000;
const SOUND_PER_SECOND = 2;
const SOUND_AFTER_MS = 2_000;
const LENGTH_MS = 100_000;

interface SoundRequest {
  readonly sentAt: number;
  hasBegun: boolean;
}

runCase("12", async (tables) => {
  const daemons = Array.from(
    { length: DAEMONS },
    (_, index) => startDaemon(`front-${index + 1}`, { store: tables.address }),
  );
  const replicas: ReplicaStandin[] = [];
  for (let index = 1; index <= REPLICAS; index += 1) {
    const replica = await startReplicaStandin({
      ...{ id: `llm-${index}`, service: "sizing-llm", zone: "espoo" },
      ...{ slots: 64, model: "m0", events: 20, pause: 40 },
    });
    replica.setFaults({ crashOnPart: DEADLY_PART });
    replicas.push(replica);
    register(tables, replica);
  }
  tables.put(
    "op",
    "config",
    composeState(3, [{
      name: "advice",
      kind: "streaming",
      service: "sizing-llm",
      resumable: true,
      max_attempts: 2,
      timeout_ms: 15_000,
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

  const crashes = () =>
    replicas.reduce((sum, replica) => sum + replica.crashes(), 0);
  let requests = 0;

  function ask(parts: readonly string[], onBegin: () => void) {
    requests += 1;
    const { host } = daemons[requests % DAEMONS]!;
    const own = `c${requests.toString(16).padStart(7, "0")}`;
    const id = nextId();
    return send(host, {
      ...{ id, path: `/advice/${requests}`, method: "POST", deadline: 15_000 },
      body: `breed=lapphund;case=${requests}`,
      headers: {
        Model: "m0",
        "Token-Usage": "700,20",
        "Prompt-Prefix": [...parts, own].map((part) => `${part}:200`).join(","),
      },
      onData: onBegin,
    });
  }

  const start = now();
  let fifthCrash = Infinity;
  let deadlyEnd = start;
  let deadly = 0;
  let reached = 0;
  async function sendDeadly(): Promise<void> {
    while (now() - start < DEADLY_MS) {
      deadly += 1;
      deadlyEnd = now();
      void ask([...SHARED_PARTS, DEADLY_PART], () => {}).then((
        { status, body },
      ) => note(`deadly answered ${status} ${body.slice(0, 80)}`));
      await sleep(1_000 / DEADLY_PER_SECOND);
      if (crashes() !== reached) {
        reached = crashes();
        note(`${reached} crashes`);
        if (reached <= 5) fifthCrash = now();
      }
    }
  }

  const sound: SoundRequest[] = [];
  async function sendSound(): Promise<void> {
    await sleep(SOUND_AFTER_MS);
    while (now() - start < LENGTH_MS) {
      const request = { sentAt: now(), hasBegun: false };
      sound.push(request);
      void ask(SHARED_PARTS, () => request.hasBegun = true).then(
        ({ status, body }) => {
          request.hasBegun &&= status === 200;
          if (status !== 200) {
            note(`sound answered ${status} ${body.slice(0, 80)}`);
          }
        },
      );
      await sleep(1_000 / SOUND_PER_SECOND);
    }
  }

  await Promise.all([TROUBLE ? sendDeadly() : undefined, sendSound()]);
  await sleep(2_000);
  const from = TROUBLE ? fifthCrash + 2 * BOUNDS.contact_ms : start;
  const until = TROUBLE ? deadlyEnd : start + DEADLY_MS;
  const within = sound.filter(({ sentAt }) =>
    sentAt >= from && sentAt <= until
  );
  const outside = sound.filter(({ sentAt }) =>
    sentAt > until + BOUNDS.contact_ms
  );
  const shareOf = (all: readonly SoundRequest[]) =>
    all.filter(({ hasBegun }) => hasBegun).length / Math.max(1, all.length);
  say(`${deadly} deadly requests, ${crashes()} crashes`);
  say(
    `sound requests that began: ${shareOf(within).toFixed(2)} of ` +
      `${within.length} while deadly ones came, ${
        shareOf(outside).toFixed(2)
      } ` +
      `of ${outside.length} afterwards`,
  );
  if (within.length < 20 || outside.length < 20) throw new Error("too few");
  return shareOf(within) >= shareOf(outside) / 2;
});
