/**
 * A simulated fleet for the tests of crash evidence: daemons that exchange news,
 * and replicas that end under a part of their requests or for another reason and
 * start again. Times are on a manual clock, so that a play repeats exactly.
 */
import { createManualClock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { hash } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type BegunAnswer,
  type CrashEvidence,
  createCrashEvidence,
  TELL_DELAY,
} from "./crash_evidence.ts";

export const DEADLY = "deadly";
export const POPULAR = "popular";

const DAEMONS = 3;
const REPLICAS = 6;
const RESTART: Milliseconds = 2_500;
const HEARTBEAT: Milliseconds = 500;
const TICK: Milliseconds = 10;
const PREFILL: Milliseconds = 40;
const EVENT_PERIOD: Milliseconds = 40;
const MAX_ATTEMPTS = 3;

/** Time until a daemon knows that a replica which closed connections has ended. */
const NOTICE_TIME: Milliseconds = 100;

/** Conversations that ask in turn. */
const CONVERSATIONS = 7;

/** Size of the news in one datagram, in bytes. */
const NEWS_LIMIT = 420;

/** Time after which the part may no longer reach replicas freely. */
const CONTACT: Milliseconds = 3_000;

/** Crashes from which that time counts. */
const CRASHES_IN_RULE = 5;

/** Requests with the part that may reach replicas later than that. */
export const ALLOWED_LATE = 3;

interface Stream {
  readonly parts: readonly string[];
  readonly daemon: number;
  readonly attempt: number;
  readonly beginsAt: Milliseconds;
  readonly endsAt: Milliseconds;
  /** Ends the admission of the request. */
  readonly release: () => void;
  answer?: BegunAnswer;
}

interface SimulatedReplica {
  readonly index: number;
  incarnation: number;
  upAt: Milliseconds;
  /** Time at which a request on it, or an answer of it, makes it crash. */
  crashesAt: Milliseconds;
  streams: Stream[];
}

/** What happens in a play; by default only sound streams, ten a second. */
export interface Day {
  readonly daemons?: number;
  readonly length?: Milliseconds;
  /** Time from the first event of an answer on the part to the crash. */
  readonly crashDelay?: Milliseconds;
  /** Time from the first event of such an answer to the last; it is cut before. */
  readonly deadlyDuration?: Milliseconds;
  readonly deadlyPeriod?: Milliseconds;
  /** Requests with the part that come together; one by default. */
  readonly deadlyGroup?: number;
  /** Parts that requests with the part hold beside it. */
  readonly companions?: readonly string[];
  /** Number of them that each such request holds, drawn; all by default. */
  readonly companionsHeld?: number;
  /** Parts that sound requests share; `companions` by default. */
  readonly soundParts?: readonly string[];
  /** Time of the first sound request. */
  readonly soundFrom?: Milliseconds;
  readonly soundPeriod?: Milliseconds;
  /** Interval at which replicas end for another reason. */
  readonly endPeriod?: Milliseconds;
  /** Time from the first event to the last. */
  readonly duration?: Milliseconds;
  /** Number of conversations that ask in turn; the more, the more seldom. */
  readonly conversations?: number;
  /** Time after which all conversations are replaced by new ones. */
  readonly conversationLife?: Milliseconds;
  /** True if requests with the part go to the first replica that is up. */
  readonly isDeadlyAffine?: boolean;
  /** True if all others go to the last replica that is up. */
  readonly isSoundAffine?: boolean;
}

export interface Play {
  readonly crashes: number;
  /** Requests with the part that reached replicas later than allowed. */
  readonly late: number;
  /**
   * Share of the sound requests that could begin, of those sent later than twice
   * the contact time after the last crash that the rule counts.
   */
  readonly soundShare: number;
  /** All parts that any daemon condemned, sorted. */
  readonly condemned: readonly string[];
  /** For each daemon, whether it refuses the part at the end. */
  readonly views: readonly boolean[];
}

/** Returns true when one of some daemons has a turn to try what was condemned. */
export function hasTurn(
  turn: string,
  share: number,
  { daemon, daemons }: { readonly daemon: number; readonly daemons: number },
): boolean {
  const orderOf = (one: number) => hash("sha256", `${turn} ${one}`);
  const own = orderOf(daemon);
  const rank = Array.from({ length: daemons }, (_, one) => orderOf(one))
    .filter((order) => order < own).length;
  return rank < Math.max(1, daemons * share);
}

/** Plays a day, 30 s by default, with three daemons and six replicas. */
export async function playFleet(seed: number, day: Day): Promise<Play> {
  const { crashDelay = Infinity, deadlyPeriod = Infinity } = day;
  const { endPeriod = Infinity, duration = 480 } = day;
  const { deadlyDuration = Infinity } = day;
  const { conversationLife = Infinity, length = 30_000 } = day;
  const { daemons: daemonCount = DAEMONS, deadlyGroup = 1 } = day;
  const { conversations = CONVERSATIONS, companions = [POPULAR] } = day;
  const { soundParts = companions, soundFrom = 0, soundPeriod = 100 } = day;
  const clock = createManualClock();
  const now = () => clock.monotonic();
  const generator = xoroshiro128plus(seed);
  const random = () => uniformInt(generator, 0, 999_999) / 1_000_000;
  const condemned = new Set<string>();
  const daemons: readonly CrashEvidence[] = Array.from(
    { length: daemonCount },
    (_, daemon) =>
      createCrashEvidence({
        clock,
        hasTurn: (turn, share) =>
          hasTurn(turn, share, { daemon, daemons: daemonCount }),
        onCondemned: ({ suspect }) => condemned.add(suspect),
      }),
  );
  const replicas: readonly SimulatedReplica[] = Array.from(
    { length: REPLICAS },
    (_, index) => ({
      index,
      incarnation: 0,
      upAt: 0,
      crashesAt: Infinity,
      streams: [],
    }),
  );
  const crashes: Milliseconds[] = [];
  /** Replicas whose ends the daemons are about to notice. */
  let ended: { readonly key: string; readonly at: Milliseconds }[] = [];
  const deadlySends: Milliseconds[] = [];
  const sound: { readonly at: Milliseconds; readonly hasBegun: boolean }[] = [];
  let sent = 0;

  function send(
    parts: readonly string[],
    attempt: number,
    daemon: number,
    left = duration,
  ): boolean {
    const evidence = daemons[daemon];
    if (evidence === undefined || attempt > MAX_ATTEMPTS) return false;
    if (attempt > 1 && evidence.isSuspect(parts)) return false;
    const admission = evidence.admit(parts);
    if (admission.kind === "condemned") return false;
    const up = replicas.filter(({ upAt }) => upAt <= now());
    const isDeadly = parts.includes(DEADLY);
    const drawn = up[Math.floor(random() * up.length)];
    const isAffine = isDeadly ? day.isDeadlyAffine : day.isSoundAffine;
    const replica = isAffine === true ? up.at(isDeadly ? 0 : -1) : drawn;
    if (replica === undefined) {
      admission.end();
      return false;
    }
    if (isDeadly) deadlySends.push(now());
    const beginsAt = now() + PREFILL;
    const endsAt = beginsAt + (isDeadly ? deadlyDuration : left);
    if (isDeadly) {
      replica.crashesAt = Math.min(replica.crashesAt, beginsAt + crashDelay);
    }
    replica.streams.push({
      ...{ parts, daemon, attempt, beginsAt, endsAt },
      release: admission.end,
    });
    return true;
  }

  function draw(parts: readonly string[], count = parts.length) {
    const order = new Map(parts.map((part) => [part, random()]));
    return parts.toSorted((a, b) => order.get(a)! - order.get(b)!)
      .slice(0, count);
  }

  function end(replica: SimulatedReplica): void {
    crashes.push(now());
    const key = `r${replica.index}@${replica.incarnation}`;
    const broken = replica.streams.splice(0);
    replica.upAt = now() + RESTART;
    replica.incarnation += 1;
    replica.crashesAt = Infinity;
    for (const evidence of daemons) evidence.recordDisconnect(key);
    ended.push({ key, at: now() });
    for (const { daemon, parts, answer, release } of broken) {
      const suspects = answer?.breakOff() ?? { suspects: parts };
      daemons[daemon]?.recordLoss({ replica: key, ...suspects });
      release();
    }
    for (const { parts, attempt, daemon, endsAt, beginsAt } of broken) {
      const left = endsAt - Math.max(now(), beginsAt);
      send(parts, attempt + 1, daemon, left);
    }
  }

  function run(replica: SimulatedReplica): void {
    const key = `r${replica.index}@${replica.incarnation}`;
    for (const stream of replica.streams) {
      const evidence = daemons[stream.daemon];
      if (evidence === undefined || stream.beginsAt > now()) continue;
      if (stream.beginsAt === now()) evidence.recordReceived(key);
      stream.answer ??= evidence.recordBegin(key, stream.parts);
      const age = now() - stream.beginsAt;
      if (age % EVENT_PERIOD === 0) evidence.recordReceived(key);
      if (stream.endsAt > now()) continue;
      stream.answer.complete();
      stream.release();
    }
    replica.streams = replica.streams.filter(({ endsAt }) => endsAt > now());
    if (replica.crashesAt <= now()) end(replica);
  }

  function tell(from: number): void {
    const news = daemons[from]?.compose(NEWS_LIMIT, "neighbors");
    if (news === undefined) return;
    const wire = JSON.stringify(news);
    for (const [number, daemon] of daemons.entries()) {
      if (number !== from) daemon.apply(JSON.parse(wire));
    }
  }

  for (let at = 0; at < length; at += TICK) {
    await clock.advance(TICK);
    for (const replica of replicas) run(replica);
    const noticed = ended.filter((one) => now() - one.at >= NOTICE_TIME);
    ended = ended.filter((one) => !noticed.includes(one));
    for (const { key } of noticed) {
      for (const evidence of daemons) evidence.recordEnd(key);
    }
    const [oldest] = replicas.filter(({ upAt }) => upAt <= at)
      .sort(() => random() - 0.5);
    if (at > 4_000 && at % endPeriod === 0 && oldest) end(oldest);
    for (let from = 0; from < daemonCount; from += 1) {
      const phase = (from * HEARTBEAT) / daemonCount;
      const isAfterCrash = crashes.some((crash) =>
        at - crash >= TELL_DELAY && at - crash < TELL_DELAY + TICK
      );
      const beat = Math.floor((at + phase) / TICK) % (HEARTBEAT / TICK);
      if (beat === 0 || isAfterCrash) tell(from);
    }
    if (at >= soundFrom && at % soundPeriod === 0) {
      sent += 1;
      const generation = Math.floor(at / conversationLife);
      const own = `conversation${sent % conversations}.${generation}`;
      const hasBegun = send([...soundParts, own], 1, sent % daemonCount);
      sound.push({ at, hasBegun });
    }
    if (at > 4_000 && at % deadlyPeriod === 0) {
      for (let count = 0; count < deadlyGroup; count += 1) {
        sent += 1;
        const held = draw(companions, day.companionsHeld);
        send([...held, DEADLY], 1, sent % daemonCount);
      }
    }
  }
  const counted = crashes[CRASHES_IN_RULE - 1] ?? Infinity;
  const lastCounted = crashes.slice(0, CRASHES_IN_RULE).at(-1) ?? -Infinity;
  const judged = sound.filter(({ at }) => at > lastCounted + 2 * CONTACT);
  return {
    crashes: crashes.length,
    late: deadlySends.filter((at) => at > counted + CONTACT).length,
    soundShare: judged.filter(({ hasBegun }) => hasBegun).length /
      Math.max(1, judged.length),
    condemned: [...condemned].sort(),
    views: daemons.map((evidence) => evidence.check([DEADLY]) !== undefined),
  };
}
