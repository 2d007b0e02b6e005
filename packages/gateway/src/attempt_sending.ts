/**
 * Sends a request to the replica of its place: composes the headers of the
 * attempt, records what has been sent and watches the attempt.
 */
import type { SendGate } from "@peridotvalve/admission";
import type { Permit, Pushback } from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import {
  type CacheView,
  type Choice,
  type DispatchRequest,
  MAX_FETCH,
  type Placement,
  type PrefillRates,
  priorityOf,
  type ReplicaTable,
  type TransferPlanner,
} from "@peridotvalve/dispatch";
import type { EventLogger, EventSubject } from "@peridotvalve/events";
import type { TrackedRequest } from "@peridotvalve/load";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { type AttemptWatch, watchAttempt } from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import type { GuardedAttempt } from "./crash_guard.ts";
import type { Attempt, ConnectionPools } from "./connection_pools.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { AttemptMetadata, HeaderCodec } from "./header_codec.ts";
import type { LoopLag } from "./loop_lag.ts";
import type { ReplicaClock } from "./replica_clock.ts";
import { createResponseCheck, type ResponseCheck } from "./response_check.ts";
import type { ResponseProgress } from "./response_forwarding.ts";
import type { SentPartsQueue } from "./sent_parts.ts";
import type { AttemptTimes } from "./stage_clock.ts";

export interface AttemptSendingOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly headerCodec: HeaderCodec;
  readonly pools: ConnectionPools;
  readonly replicas: ReplicaTable;
  readonly placement: Pick<Placement, "mayUse">;
  readonly pushback: Pushback;
  readonly cache: CacheView;
  readonly transfers: TransferPlanner;
  readonly sentParts: SentPartsQueue;
  readonly prefillRates: PrefillRates;
  readonly replicaClock: ReplicaClock;
  /**
   * Number of connections that this daemon may open to one replica of a
   * service.
   */
  readonly maxConnectionsOf: (service: string) => number;
  readonly loopLag: LoopLag;
  readonly sendGate: SendGate;
}

/**
 * The replica chosen for an attempt, whose load already includes the request.
 */
export interface Placed {
  readonly choice: Choice;
  readonly permit: Permit;
  readonly trackedRequest: TrackedRequest;
}

/** The request as its attempts see it. */
export interface AttemptedRequest {
  /** Returns the request, which names its software once that is known. */
  readonly current: () => DispatchRequest;
  readonly forwarded: ForwardedRequest;
  readonly caller: Caller;
  readonly subject: EventSubject;
  /** Shared by all attempts of the request. */
  readonly progress: ResponseProgress;
  /** True when no replica can be reached and the request may go elsewhere. */
  readonly isOutOfContact: () => boolean;
  /** Tries another replica than a silent one. */
  readonly seekOther: (onAccepted: () => void) => Promise<void>;
}

/** What an attempt is sent with. */
export interface SendTerms {
  /** Number of the attempt within its request, from 1. */
  readonly number: number;
  readonly guarded: GuardedAttempt;
  /** Time up to which the sockets of callers have been read. */
  readonly readUpTo: Milliseconds;
}

export interface SentAttempt extends Placed {
  readonly number: number;
  readonly times: AttemptTimes;
  readonly attempt: Attempt;
  readonly check: ResponseCheck;
  readonly watch: AttemptWatch;
  readonly guarded: GuardedAttempt;
}

export interface AttemptSending {
  send(placed: Placed, terms: SendTerms): SentAttempt;
  /** Returns true when the time left that an attempt states is too long by now. */
  isOutdated(times: Pick<AttemptTimes, "startedAt">): boolean;
  /** Time for which the replica prefills before it sends the first token. */
  prefillTime(choice: Choice): Milliseconds;
}

/**
 * Ends the fetches of an attempt before a store may free the parts. `now` is the
 * time on the replicas' clock, undefined while it is not known.
 */
export function limitFetches(
  { fetched }: Pick<Choice, "fetched">,
  now: Timestamp | undefined,
): Pick<AttemptMetadata, "fetchDeadline"> {
  if (fetched === 0 || now === undefined) return {};
  return { fetchDeadline: now + MAX_FETCH };
}

/**
 * Wait for a connection after which an attempt is composed anew, because its
 * headers state the time that was left before.
 */
const MAX_CONNECTION_WAIT: Milliseconds = 200;

export function createAttemptSending(
  options: AttemptSendingOptions,
): (attempted: AttemptedRequest) => AttemptSending {
  const { clock, logger, headerCodec, pools, replicas, cache } = options;
  const { transfers, replicaClock, prefillRates, pushback } = options;
  const { sendGate } = options;

  function isOutdated({ startedAt }: Pick<AttemptTimes, "startedAt">): boolean {
    return clock.monotonic() - startedAt > MAX_CONNECTION_WAIT;
  }

  return (attempted) => {
    const { current, forwarded, caller, subject, progress } = attempted;
    const { isOutOfContact } = attempted;
    const { customer } = subject;
    /** Addresses at which a replica has answered this request. */
    const answeredAt = new Set<string>();

    function prefillTime({ load: { unread }, unread: own }: Choice) {
      const { prompt, service } = current();
      if (prompt === undefined) return 0;
      return prefillRates.timeOf(service, unread + own);
    }

    function send(
      { choice, permit, trackedRequest }: Placed,
      { number, guarded, readUpTo }: SendTerms,
    ): SentAttempt {
      const { replica, version, salt, parts } = choice;
      const { entry } = replica;
      const request = current();
      const startedAt = clock.monotonic();
      const timeLeft = Math.min(request.deadline, forwarded.callerDeadline) -
        startedAt;
      const isRepeat = answeredAt.has(entry.address);
      const check = createResponseCheck({
        ...{ request, headerCodec },
        onResponse() {
          replicas.recordReceived(entry.id, startedAt);
          guarded.recordReceived();
          answeredAt.add(entry.address);
        },
        onMismatch(fields) {
          const upstream = entry.id;
          const event = { number, ...fields };
          logger.log("response_mismatched", event, { ...subject, upstream });
        },
      });
      const times: AttemptTimes = {
        ...{ startedAt, sentAt: undefined, firstByteAt: undefined },
      };
      const mayStart = () =>
        options.placement.mayUse(request, entry) &&
        !pushback.isActive(entry) && permit.isValid() && !isOutdated(times) &&
        (sendGate.isRecent(readUpTo) || !options.loopLag.isLate());
      const attempt = pools.open({
        mayStart() {
          if (!mayStart()) return false;
          times.sentAt = clock.monotonic();
          return true;
        },
        origin: entry.address,
        connections: options.maxConnectionsOf(request.service),
        isRepeat,
        findMismatch: check.findMismatch,
        method: forwarded.method,
        path: forwarded.path,
        body: forwarded.body,
        headers: headerCodec.composeRequest(forwarded.headers, {
          replica: entry.id,
          remaining: Math.max(1, Math.floor(timeLeft)),
          ...(customer === undefined ? {} : { customer }),
          ...(request.prompt === undefined
            ? {}
            : { priority: priorityOf(request) }),
          ...(version === undefined ? {} : { weights: version }),
          ...(salt === undefined ? {} : { salt }),
          ...(parts === undefined ? {} : { parts }),
          ...limitFetches(choice, replicaClock.now()),
          ...(progress.lastEvent > 0 ? { lastEvent: progress.lastEvent } : {}),
        }),
      });
      if (salt !== undefined && request.prompt !== undefined) {
        const shared = request.prompt.parts.slice(0, -1);
        options.sentParts.record(entry.id, salt, shared);
        cache.expect(entry.id, salt, request.prompt.parts);
        if (parts !== undefined) transfers.recordSent(salt, shared, parts);
      }
      logger.log("attempt_placed", {
        number,
        version: version ?? 0,
        software: entry.software ?? "",
        unread: choice.unread,
        held: choice.held,
        waiting: choice.load.unread,
        running: choice.load.requests,
        saves: parts?.filter(({ saveTo }) => saveTo !== undefined).length ?? 0,
        cost: Math.round(choice.cost),
        candidates: choice.candidates,
        fetched: choice.fetched,
        remaining: Math.round(timeLeft),
        isRepeat,
      }, { ...subject, upstream: entry.id });
      replicas.recordSent(entry.id, prefillTime(choice));
      const watch = watchAttempt(attempt, {
        clock,
        caller,
        deadline: request.deadline,
        silence: () => replicas.silence(entry.id),
        seekOther() {
          // Its caller may be served by another daemon.
          if (isOutOfContact()) return true;
          attempted.seekOther(watch.leave).catch((error: unknown) =>
            logger.log("handler_failed", { reason: String(error) }, subject)
          );
          return false;
        },
      });
      return {
        ...{ number, times, attempt, check, watch },
        ...{ choice, permit, trackedRequest, guarded },
      };
    }

    return { send, isOutdated, prefillTime };
  };
}
