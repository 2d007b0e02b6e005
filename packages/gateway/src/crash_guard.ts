/**
 * Keeps requests that crash replicas from them, because of a part of their
 * prompts or as a whole: passes the ends of attempts on to the crash evidence,
 * and refuses requests by it.
 */
import { incarnationKey } from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import type {
  DispatchRequest,
  ReplicaEntry,
  ReplicaTable,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import {
  type BegunAnswer,
  type CondemnedSuspect,
  type CrashEvidence,
  fingerprintOfSuspect,
  isRequest,
  requestSuspect,
  TELL_DELAY,
  type Verdict,
} from "@peridotvalve/retries";
import type { Milliseconds } from "@peridotvalve/types";
import { hash } from "node:crypto";
import type { AttemptOutcome } from "./attempt_watch.ts";
import { hasEnded } from "./end_watch.ts";

/** One attempt at a replica with the suspects of its request. */
export interface GuardedAttempt {
  /** Records that data has been received from the replica. */
  recordReceived(): void;
  /** Records that a complete event of the answer has arrived. */
  readonly recordEvent: () => void;
  /**
   * Records the end of the attempt. It was broken off when its connection ended
   * and the attempt was not cancelled here. Only an answer that is missing or
   * incomplete counts as a loss.
   */
  recordEnd(outcome: AttemptOutcome, wasBrokenOff: boolean): void;
  /** Lets another request try the same suspects. */
  release(): void;
}

export interface Barrier {
  readonly reason: string;
  /** Time until the request may be tried. */
  readonly wait: Milliseconds;
}

export type GuardedAdmission =
  | { readonly kind: "admitted"; readonly attempt: GuardedAttempt }
  | ({ readonly kind: "refused" } & Barrier);

export abstract class CrashGuard {
  /**
   * Returns why the request must not be sent. `hasCrashed` states that a
   * replica broke off an earlier attempt of it.
   */
  abstract check(
    request: DispatchRequest,
    hasCrashed: boolean,
  ): Barrier | undefined;
  /** Admits an attempt that is sent at once. */
  abstract admit(
    request: DispatchRequest,
    replica: ReplicaEntry,
  ): GuardedAdmission;
  /** Records that the replica at an address closed a connection. */
  abstract recordDisconnect(address: string): void;
  /** Logs a verdict and tells the other daemons of it. */
  abstract recordVerdict(verdict: Verdict): void;
  /** Logs that an answer disproved crashes that counted against the suspect. */
  abstract recordProof(suspect: string, crashes: number): void;
  /** Logs that the verdict on the suspect no longer holds. */
  abstract recordRelease(suspect: string): void;
}

export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly crashes: CrashEvidence;
  readonly replicas: Pick<ReplicaTable, "all" | "find" | "isLeaving">;
  /** Resolves to true when nothing listens at an address. */
  readonly refuses: (address: string) => Promise<boolean>;
  /** Sends news to the other daemons without waiting for the next round. */
  readonly announce: () => void;
  /** Aborts when the daemon ends. */
  readonly stopped: AbortSignal;
}

/** Reason of a refusal; callers see it. */
export const CONDEMNED = "a prompt part crashes replicas";
/** Reason of a request that is not repeated after a crash. */
export const SUSPECT = "a prompt part may crash replicas";
/** Reasons where the request as a whole is the suspect. */
export const CONDEMNED_REQUEST = "the request crashes replicas";
export const SUSPECT_REQUEST = "the request may crash replicas";

/** Wait stated for a request that is only suspected, or whose part is. */
const SUSPECT_WAIT: Milliseconds = 2_000;

/** Allows for timers that fire early. */
const TIMER_MARGIN: Milliseconds = 20;

/** An announcement includes the news of this time. */
const ANNOUNCEMENT_GAP: Milliseconds = 100;

/** Whether an attempt that was broken off is evidence of a crash. */
type LossEvidence = "recorded" | "planned end" | "no suspects";

interface EndedReplica {
  beforeEvent: number;
  afterEvent: number;
}

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, logger, crashes, replicas, stopped } = options;
  /** Replicas that broke off attempts and have not been logged yet. */
  const ended = new Map<string, EndedReplica>();
  /** Keys of replicas that may have ended while no request was on them. */
  const watched = new Set<string>();
  let isAnnouncing = false;

  async function announceSoon(): Promise<void> {
    if (isAnnouncing) return;
    isAnnouncing = true;
    await clock.sleep(ANNOUNCEMENT_GAP, stopped);
    isAnnouncing = false;
    if (!stopped.aborted) options.announce();
  }

  /** Logs an attempt that was broken off and what it says of its request. */
  function recordBrokenOff(
    request: DispatchRequest,
    replica: ReplicaEntry,
    answer: BegunAnswer | undefined,
  ): void {
    if (stopped.aborted) return;
    const hasEvent = answer !== undefined;
    const { own, parts } = suspectsOf(request);
    // A settled answer has proven its parts sound, but not the whole request.
    const loss = answer?.breakOff() ?? { suspects: parts };
    const partCount = loss.suspects.length + (loss.begun?.length ?? 0);
    const evidence = classifyLoss(replica, own.length + partCount);
    logger.log("attempt_broken_off", {
      fingerprint: request.fingerprint ?? "",
      hasBegun: hasEvent,
      evidence,
      parts: evidence === "recorded" ? partCount : 0,
      sinceFirstEvent: hasEvent
        ? Math.round(clock.monotonic() - answer.beganAt)
        : 0,
    }, { request: request.id, upstream: replica.id });
    if (evidence === "planned end") return;
    const key = incarnationKey(replica);
    if (evidence === "recorded") {
      const suspects = [...own, ...loss.suspects];
      crashes.recordLoss({ ...loss, replica: key, suspects });
    }
    countLoss(replica, key, hasEvent);
  }

  function classifyLoss(
    replica: ReplicaEntry,
    suspectCount: number,
  ): LossEvidence {
    if (isPlannedEnd(replica)) return "planned end";
    return suspectCount === 0 ? "no suspects" : "recorded";
  }

  /** Counts the attempts that a replica broke off, and logs them together. */
  function countLoss(
    replica: ReplicaEntry,
    key: string,
    hasEvent: boolean,
  ): void {
    const known = ended.get(key);
    const counts = known ?? { beforeEvent: 0, afterEvent: 0 };
    if (hasEvent) counts.afterEvent += 1;
    else counts.beforeEvent += 1;
    if (known !== undefined) return;
    ended.set(key, counts);
    void reportLoss(replica.id, key, counts);
  }

  async function reportLoss(
    upstream: string,
    key: string,
    counts: EndedReplica,
  ): Promise<void> {
    await clock.sleep(TELL_DELAY + TIMER_MARGIN, stopped);
    ended.delete(key);
    if (stopped.aborted) return;
    const isCrash = crashes.hasRecord(key);
    logger.log("replica_ended", { ...counts, isCrash }, { upstream });
    if (isCrash) options.announce();
  }

  /** Records the end of a replica that closed connections, if it has ended. */
  async function watchEnd(entry: ReplicaEntry, key: string): Promise<void> {
    if (watched.has(key) || isPlannedEnd(entry)) return;
    watched.add(key);
    const isEnded = await hasEnded(options, entry, key);
    watched.delete(key);
    if (!isEnded || isPlannedEnd(entry) || !crashes.recordEnd(key)) return;
    void reportLoss(entry.id, key, { beforeEvent: 0, afterEvent: 0 });
  }

  /**
   * Returns true for a replica that is leaving or no longer listed, whose end
   * says nothing about the requests on it.
   */
  function isPlannedEnd({ id, born }: ReplicaEntry): boolean {
    const known = replicas.find(id)?.entry;
    if (known === undefined) return true;
    return known.born === born && replicas.isLeaving(known);
  }

  return new (class extends CrashGuard {
    override check(
      request: DispatchRequest,
      hasCrashed: boolean,
    ): Barrier | undefined {
      const { own, all } = suspectsOf(request);
      const condemned = crashes.check(all);
      if (condemned !== undefined) return toBarrier(condemned);
      if (!hasCrashed) return undefined;
      if (crashes.isSuspect(own)) {
        return { reason: SUSPECT_REQUEST, wait: SUSPECT_WAIT };
      }
      if (!crashes.isSuspect(all)) return undefined;
      return { reason: SUSPECT, wait: SUSPECT_WAIT };
    }

    override admit(
      request: DispatchRequest,
      replica: ReplicaEntry,
    ): GuardedAdmission {
      const { parts, own, all } = suspectsOf(request);
      const admission = crashes.admit(all);
      if (admission.kind === "condemned") {
        return { kind: "refused", ...toBarrier(admission.condemned) };
      }
      const key = incarnationKey(replica);
      let answer: BegunAnswer | undefined;
      const recordEvent = () => {
        answer ??= crashes.recordBegin(key, parts);
      };
      const attempt: GuardedAttempt = {
        recordReceived: () => crashes.recordReceived(key),
        recordEvent,
        recordEnd(outcome, wasBrokenOff) {
          if (isComplete(outcome)) crashes.recordSuccess(own);
          if (outcome.kind === "done" && outcome.status === 200) {
            recordEvent();
            answer?.complete();
            return;
          }
          if (wasBrokenOff && isLoss(outcome)) {
            recordBrokenOff(request, replica, answer);
          }
          answer?.abandon();
        },
        release: admission.end,
      };
      return { kind: "admitted", attempt };
    }

    override recordDisconnect(address: string): void {
      for (const { entry } of replicas.all()) {
        if (entry.address !== address) continue;
        const key = incarnationKey(entry);
        crashes.recordDisconnect(key);
        if (crashes.mayHaveCrashed(key)) void watchEnd(entry, key);
      }
    }

    override recordVerdict(verdict: Verdict): void {
      const { suspect, crashes: count, strikes, hold } = verdict;
      const terms = { crashes: count, strikes, hold };
      if (isRequest(suspect)) {
        const fingerprint = fingerprintOfSuspect(suspect);
        logger.log("request_condemned", { fingerprint, ...terms });
      } else {
        logger.log("part_condemned", { part: idOf(suspect), ...terms });
      }
      // The daemon that decided it has told it already.
      if (count > 0) void announceSoon();
    }

    override recordProof(suspect: string, count: number): void {
      const isWhole = isRequest(suspect);
      logger.log("suspect_proven", {
        part: isWhole ? "" : idOf(suspect),
        fingerprint: isWhole ? fingerprintOfSuspect(suspect) : "",
        crashes: count,
      });
    }

    override recordRelease(suspect: string): void {
      if (isRequest(suspect)) {
        const fingerprint = fingerprintOfSuspect(suspect);
        logger.log("request_released", { fingerprint });
      } else {
        logger.log("part_released", { part: idOf(suspect) });
      }
    }
  })();
}

/**
 * Returns true when the answer is missing or incomplete. The connection of a
 * refusal can end inside its body, which is not read.
 */
function isLoss({ kind }: AttemptOutcome): boolean {
  return kind === "lost" || kind === "broken";
}

/**
 * Returns true when the replica has answered the request to the end, with
 * whatever status, and so has not crashed on it.
 */
function isComplete({ kind }: AttemptOutcome): boolean {
  return kind === "done" || kind === "failed";
}

function toBarrier({ suspect, remaining }: CondemnedSuspect): Barrier {
  const reason = isRequest(suspect) ? CONDEMNED_REQUEST : CONDEMNED;
  return { reason, wait: remaining };
}

/** Characters of a key before the id of its part. */
const SCOPE_LENGTH = 8;

/** What of a request can be the cause of a crash. */
interface Suspects {
  /** Keys of the parts that other requests can share. */
  readonly parts: readonly string[];
  /** Key of the request as a whole; none for one without a fingerprint. */
  readonly own: readonly string[];
  readonly all: readonly string[];
}

/** Suspects of requests, which are checked in each pass of the queue. */
const knownSuspects = new WeakMap<DispatchRequest, Suspects>();

function suspectsOf(request: DispatchRequest): Suspects {
  const known = knownSuspects.get(request);
  if (known !== undefined) return known;
  const { fingerprint } = request;
  const parts = listSharedParts(request);
  const own = fingerprint === undefined ? [] : [requestSuspect(fingerprint)];
  const suspects = { parts, own, all: [...parts, ...own] };
  knownSuspects.set(request, suspects);
  return suspects;
}

function listSharedParts(request: DispatchRequest): readonly string[] {
  const { prompt } = request;
  if (prompt === undefined || prompt.parts.length < 2) return [];
  const scope = scopeOf(request, prompt.model);
  return prompt.parts.slice(0, -1).map(({ id }) => `${scope}:${id}`);
}

/**
 * Hash of what the soundness of a part depends on: the model, and the customer
 * when it is isolated from others, who must not affect its requests. Weight
 * versions share the evidence, as the same part often crashes them all; an
 * answer of sound new weights clears it. A hash bounds the length of keys.
 */
function scopeOf({ customer }: DispatchRequest, model: string): string {
  const isolated = customer?.isIsolated === true ? customer.name : null;
  return hash("sha256", JSON.stringify([model, isolated]), "base64url")
    .slice(0, SCOPE_LENGTH);
}

/** Id of the part with a key. */
function idOf(key: string): string {
  return key.slice(SCOPE_LENGTH + 1);
}
