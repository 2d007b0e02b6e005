/**
 * Which whole requests are condemned by which crashes, alone and in a fleet
 * whose daemons tell each other.
 */
import { createManualClock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import {
  type CrashEvidence,
  createCrashEvidence,
  DETAIL_EXPIRY,
  holdOf,
  PROOF_VALIDITY,
  RECORD_EXPIRY,
  requestSuspect,
  UNANSWERED_REQUEST_STRIKES,
  type Verdict,
} from "./crash_evidence.ts";
import { hasTurn } from "./testing.ts";

const DEADLY = requestSuspect("shop-1/deadly");
const SOUND = requestSuspect("shop-1/sound");
const ELSEWHERE = requestSuspect("llm--1/sound");

/** Time between the crashes of one request that is repeated at once. */
const GAP: Milliseconds = 60;

const LIMIT = 420;

function createDaemon(clock = createManualClock()) {
  const condemned: Verdict[] = [];
  const evidence = createCrashEvidence({
    clock,
    onCondemned: (verdict) => condemned.push(verdict),
  });
  let crashed = 0;

  async function crash(...suspects: readonly string[]): Promise<void> {
    crashed += 1;
    for (const suspect of suspects) {
      evidence.recordLoss({ replica: `r${crashed}`, suspects: [suspect] });
    }
    await clock.advance(GAP);
  }

  return { clock, evidence, condemned, crash };
}

function isCondemned(evidence: CrashEvidence, suspect: string): boolean {
  return evidence.check([suspect]) !== undefined;
}

// Guards against a request that crashes all replicas of a small service before
// any crash counts, as they follow each other within 100 ms.
test("a request is condemned after its third crash, however close", async () => {
  const { evidence, condemned, crash } = createDaemon();
  await crash(DEADLY, "~shop-1/a");
  await crash(DEADLY, "~shop-1/b");
  expect(evidence.isSuspect([DEADLY])).toEqual(true);
  expect(isCondemned(evidence, DEADLY)).toEqual(false);
  await crash(DEADLY, "~shop-1/c");
  expect(condemned.map(({ suspect }) => suspect)).toEqual([DEADLY]);
  const { remaining = 0 } = evidence.check([DEADLY]) ?? {};
  expect(remaining > holdOf(UNANSWERED_REQUEST_STRIKES) - 3 * GAP)
    .toEqual(true);
});

// Guards against refusals of a sound request that many callers repeat and that
// is on each replica that another request crashes.
test("a popular sound request is not condemned beside the crashing one", async () => {
  const { clock, evidence, condemned, crash } = createDaemon();
  evidence.recordSuccess([SOUND]);
  await clock.advance(3 * PROOF_VALIDITY);
  for (let round = 0; round < 6; round += 1) await crash(DEADLY, SOUND);
  expect(condemned.map(({ suspect }) => suspect)).toEqual([DEADLY]);
  expect(isCondemned(evidence, SOUND)).toEqual(false);
});

// Guards against refusals because all replicas of a small service end at once.
test("an outage does not condemn a request that was answered before", async () => {
  const { clock, evidence, condemned } = createDaemon();
  evidence.recordSuccess([SOUND]);
  await clock.advance(3 * PROOF_VALIDITY);
  for (const replica of ["a", "b", "c"]) {
    evidence.recordLoss({ replica, suspects: [SOUND] });
  }
  evidence.recordSuccess([ELSEWHERE]);
  await clock.advance(GAP);
  expect(isCondemned(evidence, SOUND)).toEqual(false);
  expect(condemned).toEqual([]);
});

// Guards against a request that goes on crashing replicas because those of
// other services end in the same time, or against parts that are hidden so.
test("crashes of other services do not count for a request or a part", async () => {
  const { evidence, crash } = createDaemon();
  for (let round = 0; round < 3; round += 1) {
    await crash(DEADLY);
    await crash(`~llm--1/a${round}`);
    await crash(`~llm--1/b${round}`);
    await crash("part", `~llm--1/c${round}`);
  }
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  expect(isCondemned(evidence, "part")).toEqual(true);
});

// Guards against a request that a caller sends again after minutes, and that
// crashes replicas each time because the earlier crashes have been forgotten, and
// against refusals of its part in other requests.
test("a request explains crashes minutes apart better than its part", async () => {
  const { clock, evidence, crash } = createDaemon();
  for (const _ of [1, 2, 3]) {
    await crash(DEADLY, "part");
    await clock.advance(2 * DETAIL_EXPIRY);
  }
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  expect(isCondemned(evidence, "part")).toEqual(false);
});

// Guards against sound requests that are refused because of old crashes.
test("old crashes do not count once the request was answered, or for ever", async () => {
  const { clock, evidence, crash } = createDaemon();
  for (const _ of [1, 2]) await crash(SOUND, ELSEWHERE);
  evidence.recordSuccess([SOUND]);
  await clock.advance(2 * DETAIL_EXPIRY);
  await crash(SOUND);
  expect(isCondemned(evidence, SOUND)).toEqual(false);
  await clock.advance(RECORD_EXPIRY);
  await crash(ELSEWHERE);
  expect(isCondemned(evidence, ELSEWHERE)).toEqual(false);
});

// Guards against refusals of other prompts with the same parts, of which only
// one crashes replicas, and against a part that is hidden by repeats.
test("a request explains crashes better than its parts until others crash", async () => {
  const { clock, evidence } = createDaemon();
  const crash = async (replica: string, own: string) => {
    evidence.recordLoss({ replica, suspects: ["part", own] });
    await clock.advance(3 * GAP);
  };
  for (const replica of ["a", "b", "c"]) await crash(replica, DEADLY);
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  expect(isCondemned(evidence, "part")).toEqual(false);
  await crash("d", "~shop-1/other");
  expect(isCondemned(evidence, "part")).toEqual(true);
});

// Guards against a daemon that starts, or hears of no crash, and lets the
// request pass.
test("a daemon that starts learns the verdict on a request", async () => {
  const clock = createManualClock();
  const [old, fresh] = [createDaemon(clock), createDaemon(clock)];
  for (const _ of [1, 2, 3]) await old.crash(DEADLY);
  await clock.advance(2 * DETAIL_EXPIRY);
  const news = old.evidence.compose(LIMIT, "neighbors");
  if (news === undefined) throw new Error("no news");
  fresh.evidence.apply(JSON.parse(JSON.stringify(news)));
  expect(isCondemned(fresh.evidence, DEADLY)).toEqual(true);
});

// Guards against a request that no daemon condemns, because each knows one of
// its crashes and its datagram has no room for all that was on the replica.
test("daemons that each know one crash condemn the request among many", async () => {
  const clock = createManualClock();
  const daemons = [1, 2, 3, 4].map(() => createDaemon(clock));
  for (const [number, { evidence }] of daemons.slice(0, 3).entries()) {
    const others = Array.from(
      { length: 20 },
      (_, index) => [`part${number}-${index}`, `~shop-1/a${number}-${index}`],
    );
    const suspects = [...others.flat(), DEADLY];
    evidence.recordLoss({ replica: `x${number}`, suspects });
    await clock.advance(GAP);
  }
  for (let round = 0; round < 8; round += 1) {
    await clock.advance(300);
    for (const { evidence: from } of daemons) {
      const news = from.compose(LIMIT, "neighbors");
      if (news === undefined) continue;
      for (const { evidence } of daemons) {
        if (evidence !== from) evidence.apply(JSON.parse(JSON.stringify(news)));
      }
    }
  }
  for (const { evidence } of daemons) {
    expect(isCondemned(evidence, DEADLY)).toEqual(true);
  }
});

// Guards against memory and datagrams that grow with the requests of callers.
test("answers without crashes are not told, and are bounded in number", () => {
  const { evidence } = createDaemon();
  for (let number = 0; number < 50_000; number += 1) {
    evidence.recordSuccess([`~shop-1/${number}`]);
  }
  expect(evidence.compose(LIMIT, "neighbors")).toEqual(undefined);
  expect(evidence.compose(LIMIT, "zones")).toEqual(undefined);
});

// Guards against the loss of the times at which parts were proven sound.
test("answers on requests do not displace those on parts", async () => {
  const { clock, evidence, condemned, crash } = createDaemon();
  evidence.recordSuccess(["part"]);
  for (let number = 0; number < 50_000; number += 1) {
    evidence.recordSuccess([`~shop-1/${number}`]);
  }
  await clock.advance(3 * PROOF_VALIDITY);
  for (const number of [1, 2, 3]) {
    evidence.recordLoss({ replica: `o${number}`, suspects: ["part"] });
    await clock.advance(200);
  }
  await crash(DEADLY);
  expect(condemned).toEqual([]);
});

const DAEMONS = 6;
const REPLICAS = 3;
const TICK: Milliseconds = 10;
const RUN: Milliseconds = 80;
const RESTART: Milliseconds = 3_000;
const REPEAT: Milliseconds = 100;
const HEARTBEAT: Milliseconds = 500;
const LOSS = 0.3;
const CONTACT: Milliseconds = 3_000;
const MAX_ATTEMPTS = 2;
const MAX_LATE_RETRIES = 3;
const POPULAR = requestSuspect("shop-1/popular");

interface Sent {
  readonly key: string;
  readonly daemon: number;
  readonly attempt: number;
  readonly endsAt: Milliseconds;
}

/** Deterministic numbers from 0 up to 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/**
 * Plays six daemons and three replicas, of which each crashes on one request
 * that comes again and again. Heartbeats and announcements get lost.
 */
async function playFleet(
  seed: number,
  { duration, perSecond }: {
    readonly duration: Milliseconds;
    readonly perSecond: number;
  },
) {
  const clock = createManualClock();
  const random = createRandom(seed);
  const now = () => clock.monotonic();
  const announcements: { readonly at: Milliseconds; readonly from: number }[] =
    [];
  const daemons = Array.from(
    { length: DAEMONS },
    (_, from) =>
      createCrashEvidence({
        clock,
        hasTurn: (turn, share) =>
          hasTurn(turn, share, { daemon: from, daemons: DAEMONS }),
        onCondemned: ({ crashes }) => {
          if (crashes > 0) announcements.push({ at: now() + 100, from });
        },
      }),
  );
  const replicas = Array.from({ length: REPLICAS }, () => ({
    incarnation: 0,
    upAt: 0,
    sent: [] as Sent[],
  }));
  /** Broken requests that their callers send again. */
  const repeats: { readonly at: Milliseconds; readonly key: string }[] = [];
  const deadlySends: Milliseconds[] = [];
  const crashes: Milliseconds[] = [];
  let soundAfter = 0;
  let soundRefused = 0;
  let serial = 0;

  const pick = <Item>(items: readonly Item[]): Item | undefined =>
    items[Math.floor(random() * items.length)];

  function tell(from: number): void {
    const news = daemons[from]?.compose(LIMIT, "neighbors");
    if (news === undefined) return;
    const wire = JSON.stringify(news);
    for (const [number, daemon] of daemons.entries()) {
      if (number !== from && random() >= LOSS) daemon.apply(JSON.parse(wire));
    }
  }

  function send(key: string, daemon: number, attempt: number): void {
    const evidence = daemons[daemon];
    if (evidence === undefined || attempt > MAX_ATTEMPTS) return;
    if (attempt > 1 && evidence.isSuspect([key])) return;
    const admission = evidence.admit([key]);
    if (key !== DEADLY && crashes.length > 0) {
      soundAfter += 1;
      if (admission.kind === "condemned") soundRefused += 1;
    }
    if (admission.kind === "condemned") return;
    admission.end();
    const replica = pick(replicas.filter(({ upAt }) => upAt <= now()));
    if (replica === undefined) return;
    if (key === DEADLY) deadlySends.push(now());
    const endsAt = now() + RUN * (0.5 + random());
    replica.sent.push({ key, daemon, attempt, endsAt });
  }

  function crash(replica: (typeof replicas)[number], index: number): void {
    crashes.push(now());
    const broken = replica.sent;
    replica.sent = [];
    replica.upAt = now() + RESTART;
    const incarnation = `r${index}@${replica.incarnation}`;
    replica.incarnation += 1;
    for (const { key, daemon } of broken) {
      const loss = { replica: incarnation, suspects: [key] };
      if (daemons[daemon]?.recordLoss(loss) === true) {
        announcements.push({ at: now() + 270, from: daemon });
      }
    }
    for (const { key, daemon, attempt } of broken) {
      if (attempt < MAX_ATTEMPTS) send(key, daemon, attempt + 1);
      else if (key !== DEADLY) repeats.push({ at: now() + REPEAT, key });
    }
  }

  for (let at = 0; at < duration; at += TICK) {
    await clock.advance(TICK);
    for (const [index, replica] of replicas.entries()) {
      const ended = replica.sent.filter(({ endsAt }) => endsAt <= at);
      if (ended.some(({ key }) => key === DEADLY)) {
        crash(replica, index);
        continue;
      }
      replica.sent = replica.sent.filter(({ endsAt }) => endsAt > at);
      for (const { key, daemon } of ended) {
        daemons[daemon]?.recordSuccess([key]);
      }
    }
    for (const due of announcements.splice(0)) {
      if (due.at <= at) tell(due.from);
      else announcements.push(due);
    }
    for (let from = 0; from < DAEMONS; from += 1) {
      const phase = (from * HEARTBEAT) / DAEMONS;
      if (Math.floor((at + phase) / TICK) % (HEARTBEAT / TICK) === 0) {
        tell(from);
      }
    }
    for (const due of repeats.splice(0)) {
      const other = Math.floor(random() * DAEMONS);
      if (due.at <= at) send(due.key, other, 1);
      else repeats.push(due);
    }
    const arrives = (rate: number) => random() < (rate * TICK) / 1_000;
    const daemon = Math.floor(random() * DAEMONS);
    if (at > 3_000 && arrives(perSecond)) send(DEADLY, daemon, 1);
    if (arrives(4)) send(POPULAR, daemon, 1);
    if (arrives(40)) send(requestSuspect(`shop-1/${serial += 1}`), daemon, 1);
  }
  const third = crashes[2] ?? Infinity;
  return {
    crashes: crashes.length,
    late: deadlySends.filter((at) => at > third + CONTACT).length,
    soundAfter,
    soundRefused,
  };
}

for (const perSecond of [0.2, 2, 10]) {
  // Guards against a request that reaches replicas through daemons that have
  // not heard of its crashes, and against refusals of sound ones beside it.
  test(`a request repeated ${perSecond} times a second crashes few replicas of a fleet`, async () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const result = await playFleet(seed, { duration: 60_000, perSecond });
      expect(result.crashes >= 3).toEqual(true);
      expect(result.late <= MAX_LATE_RETRIES).toEqual(true);
      expect(result.soundRefused).toEqual(0);
    }
  });
}
