/**
 * Keeps requests with a prompt part that crashes replicas from them: passes the
 * ends of attempts on to the crash evidence, and refuses requests by it.
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
  type CrashEvidence,
  TELL_DELAY,
  type Verdict,
} from "@peridotvalve/retries";
import type { Milliseconds } from "@peridotvalve/types";
import { createHash } from "node:crypto";
import type { AttemptOutcome } from "./attempt_watch.ts";

/** One attempt at a replica with the shared parts of its request. */
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
  /** Lets another request try the same part. */
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
  /** Logs a verdict and tells the other daemons of it. */
  abstract recordVerdict(verdict: Verdict): void;
  /** Logs that the verdict on the part with the key no longer holds. */
  abstract recordRelease(key: string): void;
}

export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly crashes: CrashEvidence;
  readonly replicas: Pick<ReplicaTable, "find" | "isLeaving">;
  /** Sends news to the other daemons without waiting for the next round. */
  readonly announce: () => void;
  /** Aborts when the daemon ends. */
  readonly stopped: AbortSignal;
}

/** Reason of a refusal; callers see it. */
export const CONDEMNED = "a prompt part crashes replicas";
/** Reason of a request that is not repeated after a crash. */
export const SUSPECT = "a prompt part may crash replicas";

/** Wait stated for a request whose part is only suspected. */
const SUSPECT_WAIT: Milliseconds = 2_000;

/** Allows for timers that fire early. */
const TIMER_MARGIN: Milliseconds = 20;

/** An announcement includes the news of this time. */
const ANNOUNCEMENT_GAP: Milliseconds = 100;

/** Whether an attempt that was broken off is evidence of a crash. */
type LossEvidence = "recorded" | "answer began" | "planned end" | "no parts";

interface EndedReplica {
  beforeEvent: number;
  afterEvent: number;
}

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, logger, crashes, replicas, stopped } = options;
  /** Replicas that broke off attempts and have not been logged yet. */
  const ended = new Map<string, EndedReplica>();
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
    hasEvent: boolean,
  ): void {
    if (stopped.aborted) return;
    const parts = sharedParts(request);
    const evidence = classifyLoss(replica, parts, hasEvent);
    logger.log("attempt_broken_off", {
      fingerprint: request.fingerprint ?? "",
      hasBegun: hasEvent,
      evidence,
    }, { request: request.id, upstream: replica.id });
    if (evidence === "planned end" || evidence === "no parts") return;
    recordLoss(replica, parts, hasEvent);
  }

  function classifyLoss(
    replica: ReplicaEntry,
    parts: readonly string[],
    hasEvent: boolean,
  ): LossEvidence {
    if (isPlannedEnd(replica)) return "planned end";
    if (parts.length === 0) return "no parts";
    return hasEvent ? "answer began" : "recorded";
  }

  function recordLoss(
    replica: ReplicaEntry,
    parts: readonly string[],
    hasEvent: boolean,
  ): void {
    const key = incarnationKey(replica);
    if (!hasEvent) crashes.recordLoss({ replica: key, suspects: parts });
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
      const parts = sharedParts(request);
      if (parts.length === 0) return undefined;
      const condemned = crashes.check(parts);
      if (condemned !== undefined) {
        return { reason: CONDEMNED, wait: condemned.remaining };
      }
      if (!hasCrashed || !crashes.isSuspect(parts)) return undefined;
      return { reason: SUSPECT, wait: SUSPECT_WAIT };
    }

    override admit(
      request: DispatchRequest,
      replica: ReplicaEntry,
    ): GuardedAdmission {
      const parts = sharedParts(request);
      const admission = crashes.admit(parts);
      if (admission.kind === "condemned") {
        const { remaining } = admission.condemned;
        return { kind: "refused", reason: CONDEMNED, wait: remaining };
      }
      const key = incarnationKey(replica);
      let hasEvent = false;
      const recordEvent = () => {
        if (hasEvent) return;
        hasEvent = true;
        if (parts.length > 0) crashes.recordSuccess(parts);
      };
      const attempt: GuardedAttempt = {
        recordReceived: () => crashes.recordReceived(key),
        recordEvent,
        recordEnd(outcome, wasBrokenOff) {
          if (outcome.kind === "done" && outcome.status === 200) recordEvent();
          if (wasBrokenOff && isLoss(outcome)) {
            recordBrokenOff(request, replica, hasEvent);
          }
        },
        release: admission.end,
      };
      return { kind: "admitted", attempt };
    }

    override recordVerdict(verdict: Verdict): void {
      const { suspect: key, crashes: count, strikes, hold } = verdict;
      const part = idOf(key);
      logger.log("part_condemned", { part, crashes: count, strikes, hold });
      // The daemon that decided it has told it already.
      if (count > 0) void announceSoon();
    }

    override recordRelease(key: string): void {
      logger.log("part_released", { part: idOf(key) });
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

/** Characters of a key before the id of its part. */
const SCOPE_LENGTH = 8;

/** Keys of requests, which are checked in each pass of the queue. */
const knownKeys = new WeakMap<DispatchRequest, readonly string[]>();

/** Keys of the parts that other requests can share. */
function sharedParts(request: DispatchRequest): readonly string[] {
  const { prompt } = request;
  if (prompt === undefined || prompt.parts.length < 2) return [];
  const known = knownKeys.get(request);
  if (known !== undefined) return known;
  const scope = scopeOf(request, prompt.model);
  const keys = prompt.parts.slice(0, -1).map(({ id }) => `${scope}:${id}`);
  knownKeys.set(request, keys);
  return keys;
}

/**
 * Hash of what the soundness of a part depends on: the model, and the customer
 * when it is isolated from others, who must not affect its requests. Weight
 * versions share the evidence, as the same part often crashes them all; an
 * answer of sound new weights clears it. A hash bounds the length of keys.
 */
function scopeOf({ customer }: DispatchRequest, model: string): string {
  const isolated = customer?.isIsolated === true ? customer.name : null;
  return createHash("sha256").update(JSON.stringify([model, isolated]))
    .digest("base64url").slice(0, SCOPE_LENGTH);
}

/** Id of the part with a key. */
function idOf(key: string): string {
  return key.slice(SCOPE_LENGTH + 1);
}
