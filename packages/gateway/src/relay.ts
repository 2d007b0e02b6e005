/**
 * Executes one admitted request: makes attempts at replicas until one gives the
 * final response or no further attempt is allowed.
 *
 * A request that is not retryable is sent again only after a replica stated
 * that it did not run it, or when no byte of it was written. A resumable stream
 * continues on another replica after the last complete event sent to the
 * caller.
 */
import type {
  ReplicaContact,
  SendGate,
  ShutdownAdmission,
} from "@peridotvalve/admission";
import type {
  Limits,
  Places,
  Pushback,
  Statements,
} from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import type { ByteBudget } from "@peridotvalve/connections";
import {
  type AnswerTimes,
  type CacheView,
  type Choice,
  type DispatchRequest,
  isRetryable,
  MAX_FETCH,
  type Placement,
  type PlacementQueue,
  type PrefillRates,
  priorityOf,
  type ReplicaTable,
  softwareOf,
  type TransferPlanner,
  type WeightTargets,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { LoadView, TrackedRequest } from "@peridotvalve/load";
import type { WindowBudget } from "@peridotvalve/retries";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import {
  discardBody,
  forwardPlainResponse,
  forwardStream,
  type ResponseProgress,
} from "./response_forwarding.ts";
import {
  type AttemptOutcome,
  type AttemptWatch,
  watchAttempt,
} from "./attempt_watch.ts";
import { type Caller, SHUTDOWN_RETRY_AFTER, SHUTTING_DOWN } from "./caller.ts";
import type { CrashGuard, GuardedAttempt } from "./crash_guard.ts";
import {
  type Attempt,
  type AttemptFailure,
  type ConnectionPools,
  type ResponseHead,
  START_PUT_OFF,
} from "./connection_pools.ts";
import type { Detour } from "./detour.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { HeaderCodec, ResponseMetadata } from "./header_codec.ts";
import type { LoopLag } from "./loop_lag.ts";
import type { Meters } from "./meters.ts";
import { gapLimit, MAX_SILENCE, silenceLimit } from "./silence_limits.ts";
import type { ReplicaClock } from "./replica_clock.ts";
import type { SentPartsQueue } from "./sent_parts.ts";
import type { StreamRecords } from "./stream_records.ts";
import { BUSY_AVOIDANCE, createReplicaFeedback } from "./replica_feedback.ts";
import { createResponseCheck, type ResponseCheck } from "./response_check.ts";
import { createSuccession, type Reception } from "./succession.ts";

export interface RelayOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly headerCodec: HeaderCodec;
  readonly pools: ConnectionPools;
  readonly replicas: ReplicaTable;
  readonly statements: Statements;
  readonly pushback: Pushback;
  readonly limits: Limits;
  readonly places: Places;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly weights: WeightTargets;
  readonly placement: Placement;
  readonly queue: PlacementQueue;
  readonly budget: WindowBudget;
  readonly transfers: TransferPlanner;
  readonly sentParts: SentPartsQueue;
  readonly prefillRates: PrefillRates;
  readonly answerTimes: AnswerTimes;
  readonly shutdown: ShutdownAdmission;
  readonly replicaClock: ReplicaClock;
  /**
   * Number of connections that this daemon may open to one replica of a
   * service.
   */
  readonly maxConnectionsOf: (service: string) => number;
  readonly meters: Meters;
  readonly loopLag: LoopLag;
  readonly sendGate: SendGate;
  readonly crashGuard: CrashGuard;
  readonly contact: Pick<ReplicaContact, "isLost">;
  readonly detour: Detour;
  /** For buffered plain responses. */
  readonly memory: ByteBudget;
  readonly streams: Pick<StreamRecords, "find" | "record">;
  /** Aborts when the daemon ends; nothing is sent afterwards. */
  readonly stopped: AbortSignal;
}

/** Result of a request, for the log and the metrics. */
export type Ending =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly firstEvent: Milliseconds;
    /** Longest time between two events of a stream. */
    readonly maxEventGap: Milliseconds;
  }
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly status: number;
    readonly retryAfter: Milliseconds;
  }
  | { readonly kind: "lost"; readonly reason: string; readonly status: number }
  | { readonly kind: "abandoned" };

export interface RelayResult {
  readonly ending: Ending;
  readonly sends: number;
}

/**
 * The replica chosen for an attempt, whose load already includes the request.
 */
interface Placed {
  readonly choice: Choice;
  readonly trackedRequest: TrackedRequest;
}

interface SentAttempt {
  readonly number: number;
  readonly startedAt: Milliseconds;
  readonly attempt: Attempt;
  readonly check: ResponseCheck;
  readonly watch: AttemptWatch;
  readonly choice: Choice;
  readonly trackedRequest: TrackedRequest;
  readonly guarded: GuardedAttempt;
}

interface RunningAttempt extends SentAttempt {
  readonly reception: Promise<Reception<ResponseHead>>;
}

/** Unsent attempts after which the request fails. */
const MAX_UNSENT = 4;

/** Refusals by full or reloading replicas after which the request fails. */
const MAX_REFUSALS = 3;

/** Pause after which a started stream may return to a replica that was full. */
const REFUSAL_PAUSE: Milliseconds = BUSY_AVOIDANCE + 50;

/**
 * Wait for a connection after which an attempt is composed anew, because its
 * headers state the time that was left before.
 */
const MAX_CONNECTION_WAIT: Milliseconds = 200;

/** Minimum remaining time for a further attempt. */
const MIN_REMAINING: Milliseconds = 60;

/** Reason of requests that no replica can be reached for. */
const NO_CONTACT = "no replica can be reached";

/** Reason of requests that no replica wants before it is too late. */
const PUSHED_BACK = "all replicas ask for time";

/** Delay after which a caller may retry on another daemon. */
const CONTACT_RETRY_AFTER: Milliseconds = 100;

/** Reason of streams that may go on at no replica that is known. */
const NO_ORIGIN = "no replica can go on with the stream";

/** A replica that has crashed is back after some seconds. */
const ORIGIN_RETRY_AFTER: Milliseconds = 2_000;

const RETRY_AFTER: Milliseconds = 250;
/**
 * Spreads the retries of refused callers, so that they do not arrive together.
 */
const RETRY_JITTER: Milliseconds = 500;

export function createRelay(options: RelayOptions) {
  const { clock, logger, headerCodec, pools, replicas, load, cache } = options;
  const { placement, budget, weights, transfers, replicaClock } = options;
  const { queue, meters, prefillRates, answerTimes, crashGuard } = options;
  const { statements, pushback, limits, places, sendGate, memory } = options;
  const replicaFeedback = createReplicaFeedback({ replicas, weights, pools });

  /** Time for which the replica prefills before it sends the first token. */
  function prefillTimeOf(
    { service, prompt }: DispatchRequest,
    { load: { unread }, unread: own }: Choice,
  ): Milliseconds {
    if (prompt === undefined) return 0;
    return prefillRates.timeOf(service, unread + own);
  }

  function recordStatement(
    { replica: { entry } }: Choice,
    { replica, isMisdirected, statement = {}, ...metadata }: ResponseMetadata,
  ): void {
    const { malformed, retryAfter = 0 } = metadata;
    for (const reason of malformed ?? []) statements.reject(entry, reason);
    // Another incarnation at the same address answers a misdirected request.
    const sender = replica ?? (isMisdirected ? undefined : entry.id);
    if (sender !== entry.id) return;
    statements.record(entry, statement);
    pushback.record(entry, retryAfter);
  }

  function fetchDeadline(): { readonly fetchEnd?: Timestamp } {
    const now = replicaClock.now();
    return now === undefined ? {} : { fetchEnd: now + MAX_FETCH };
  }

  return async function relay(
    received: DispatchRequest,
    forwarded: ForwardedRequest,
    caller: Caller,
  ): Promise<RelayResult> {
    /** Names the software version once an event of the stream is known. */
    let request = received;
    const excluded = new Set<string>();
    const conversation = request.prompt?.parts.at(-2)?.id;
    const subject = {
      request: request.id,
      ...customerField(request),
      ...(conversation === undefined ? {} : { conversation }),
    };
    const retryable = isRetryable(request);
    let sends = 0;
    let executions = 0;
    let hasCrashed = false;
    let unsent = 0;
    let refusals = 0;
    let hasWaitedForConnection = false;
    /** Refusals by other replicas while the present one was silent. */
    let refusedMoves = 0;
    const refusedBy = new Set<string>();
    /** Addresses at which a replica has answered this request. */
    const answeredAt = new Set<string>();
    const progress: ResponseProgress = {
      firstEvent: 0,
      lastEvent: forwarded.lastEvent ?? 0,
      lastEventAt: 0,
      maxEventGap: 0,
      hasPlainResponse: false,
    };
    let lastReason = "no replica";
    /** The attempt whose response is forwarded. */
    let present: RunningAttempt | undefined;
    // The daemon that has passed a request on has counted it.
    if (!forwarded.isPassedOn) budget.recordFirstAttempt(request.service);

    const remaining = () => request.deadline - clock.monotonic();
    const succession = createSuccession<ResponseHead, RunningAttempt>({
      open: openSuccessor,
      settle(running, outcome) {
        if (outcome.kind === "not run") refusedMoves += 1;
        settle(running, outcome);
      },
      cancel: withdraw,
    });
    const end = (ending: Ending): RelayResult => {
      succession.close();
      return { ending, sends };
    };

    if (isTakenUp(request, forwarded)) {
      const refused = await bindToOrigin();
      if (refused !== undefined) return refused;
    }

    for (;;) {
      if (options.stopped.aborted) return fail(lastReason, 502);
      const successor = succession.take();
      if (successor !== undefined && !mayGoOnAt(successor.choice)) {
        withdraw(successor);
        continue;
      }
      const started = successor ?? await startNext();
      if ("ending" in started) return started;
      const { replica } = started.choice;
      const outcome = await finish(started);
      switch (outcome.kind) {
        case "done":
          if (sends === 1 && forwarded.lastEvent === undefined) {
            recordAnswerTime(started);
          }
          return end({ ...progress, kind: "answered", status: outcome.status });
        case "left":
        case "withdrawn":
          return end({ kind: "abandoned" });
        case "overdue":
          return fail("timeout", 504);
        case "unsent":
          sends -= 1;
          if (outcome.reason === START_PUT_OFF && isOutdated(started)) {
            limits.giveBack(replica.entry);
            hasWaitedForConnection = true;
            continue;
          }
          unsent += 1;
          if (unsent >= MAX_UNSENT) return fail(outcome.reason, 502);
          // Another replica would start no earlier, and the connection to this
          // one is open now.
          if (outcome.reason === START_PUT_OFF) continue;
          break;
        case "not run":
          refusals += 1;
          if (refusals >= MAX_REFUSALS) return fail(outcome.reason, 502);
          // A started stream cannot be refused, so it tries the replica again.
          if (caller.hasStarted()) {
            await clock.sleep(REFUSAL_PAUSE, options.stopped);
          }
          break;
        case "lost":
        case "broken":
        case "failed": {
          executions += 1;
          const mayContinue = retryable && !progress.hasPlainResponse;
          if (!mayContinue || executions >= request.route.maxExecutions) {
            const reason = outcome.kind === "failed"
              ? `replica answered ${outcome.status}`
              : outcome.reason;
            return fail(reason, 502);
          }
        }
      }
      lastReason = outcome.kind === "failed"
        ? `replica answered ${outcome.status}`
        : outcome.reason;
      // A replica that refused only because of its weight version may be tried
      // again, and one that named a time after it.
      const mayReturn = outcome.kind === "not run" &&
        (outcome.misdirected || caller.hasStarted() ||
          pushback.isActive(replica.entry));
      if (!mayReturn) excluded.add(replica.entry.id);
      if (outcome.kind === "not run") refusedBy.add(replica.entry.id);
      else if (caller.hasStarted()) {
        for (const id of refusedBy) excluded.delete(id);
      }
    }

    /** Binds a stream to where it began; refuses one that cannot go on there. */
    async function bindToOrigin(): Promise<RelayResult | undefined> {
      const { resumes, lastEvent = 0 } = forwarded;
      const found = await options.streams.find(resumes, request.service);
      const origin = typeof found === "string" ? undefined : found;
      logger.log("stream_taken_up", {
        ...{ resumes: resumes ?? "", lastEvent },
        ...{ service: origin?.service ?? "", software: origin?.software ?? "" },
      }, subject);
      if (caller.hasDisconnected()) return end({ kind: "abandoned" });
      const { targets } = request.route;
      if (targets.some(({ service }) => service === origin?.service)) {
        request = { ...request, ...origin };
        return undefined;
      }
      // To wait is of use only where the records may be read later.
      return found === "unread"
        ? fail(NO_ORIGIN, 502, ORIGIN_RETRY_AFTER)
        : fail(NO_ORIGIN, 502);
    }

    /** Binds the stream to the replica that has written its first event. */
    function recordOrigin({ replica: { entry } }: Choice): void {
      if (request.software !== undefined) return;
      const software = softwareOf(entry);
      request = { ...request, software };
      const { id, service, route } = request;
      if (route.isResumable) options.streams.record(id, { service, software });
    }

    function mayGoOnAt({ replica: { entry } }: Choice): boolean {
      const { software } = request;
      return software === undefined || softwareOf(entry) === software;
    }

    /**
     * Waits for a place and starts an attempt; returns the result of the request
     * when none may be made.
     */
    async function startNext(): Promise<RunningAttempt | RelayResult> {
      let readUpTo = await sendGate.pass();
      if (caller.hasDisconnected()) return end({ kind: "abandoned" });
      if (remaining() <= 0) return fail("timeout", 504);
      if (isOutOfContact()) return await passOn();
      const barred = crashGuard.check(request, hasCrashed);
      if (barred !== undefined) return fail(barred.reason, 502, barred.wait);
      const mayRetry = sends === 0 || remaining() > MIN_REMAINING;
      if (!mayRetry || !placement.hasCandidates(request, excluded)) {
        return request.software === undefined
          ? fail(lastReason, 502)
          : fail(NO_ORIGIN, 502, ORIGIN_RETRY_AFTER);
      }
      const wait = estimateWait();
      const lastStart = Math.min(request.deadline, waitDeadline());
      if (isPushedBackBeyond(lastStart)) return fail(PUSHED_BACK, 502);
      if (clock.monotonic() + wait > lastStart) {
        return fail(`${lastReason}, too many wait`, 502, wait);
      }
      if (sends > 0 && !takeRetry()) {
        return fail(`${lastReason}, no retries left`, 502);
      }
      if (!endsBeforeExit(wait)) return refuseAtShutdown();
      if (sends > 0) meters.recordRetry(request.service);
      const queuedAt = clock.monotonic();
      const placed = await waitForPlace(lastStart);
      if (placed === undefined) {
        if (caller.hasDisconnected()) return end({ kind: "abandoned" });
        if (!endsBeforeExit(0)) return refuseAtShutdown();
        if (isOutOfContact()) return await passOn();
        if (isPushedBackBeyond(lastStart)) return fail(PUSHED_BACK, 502);
        const late = crashGuard.check(request, hasCrashed);
        if (late !== undefined) return fail(late.reason, 502, late.wait);
        return fail(`${lastReason}, no room`, remaining() <= 0 ? 504 : 502);
      }
      if (request.prompt !== undefined) {
        meters.recordWait(request.route.name, clock.monotonic() - queuedAt);
      }
      const { choice } = placed;
      if (!sendGate.isRecent(readUpTo)) readUpTo = await sendGate.pass();
      if (caller.hasDisconnected()) {
        release(placed);
        return end({ kind: "abandoned" });
      }
      if (!endsBeforeExit(prefillTimeOf(request, choice))) {
        release(placed);
        return refuseAtShutdown();
      }
      // Another daemon may have condemned a part since the check.
      const guarded = crashGuard.admit(request, choice.replica.entry);
      if (guarded.kind === "refused") {
        release(placed);
        return fail(guarded.reason, 502, guarded.wait);
      }
      return startAttempt(placed, { guarded: guarded.attempt, readUpTo });
    }

    /** True when the time left that an attempt states is too long by now. */
    function isOutdated({ startedAt }: { readonly startedAt: Milliseconds }) {
      return clock.monotonic() - startedAt > MAX_CONNECTION_WAIT;
    }

    /** Time until a replica that may take the request wants one. */
    function pushbackTime(
      without: ReadonlySet<string> = excluded,
    ): Milliseconds {
      if (!pushback.isAnyActive()) return 0;
      return pushback.estimateWait(placement.candidates(request, without));
    }

    /** True when all replicas ask for more time than the request has. */
    function isPushedBackBeyond(lastStart: Milliseconds): boolean {
      const time = pushbackTime();
      return time > 0 && clock.monotonic() + time > lastStart;
    }

    /** True when the request cannot be served; a started stream may wait. */
    function isOutOfContact(): boolean {
      return options.contact.isLost() && !caller.hasStarted();
    }

    function takeRetry(): boolean {
      if (budget.tryTake(request.service)) return true;
      logger.log("retry_budget_spent", { kind: request.service }, subject);
      return false;
    }

    /**
     * Plain services have a short queue of their own, so their requests wait here
     * only for a limit, for replicas that push back, or where that queue must not
     * overflow.
     */
    function mayWait(): boolean {
      return request.prompt !== undefined || places.isBrittle(request.service);
    }

    /** Estimates how long the request waits for a replica that may take it. */
    function estimateWait(): Milliseconds {
      const rank = priorityOf(request);
      const ahead = queue.countAhead(rank, request.service);
      const candidates = placement.candidates(request, excluded);
      const open = candidates.filter((replica) => !pushback.isActive(replica));
      const wait = Math.max(
        pushback.estimateWait(candidates),
        limits.estimateWait(open.length > 0 ? open : candidates, ahead + 1),
      );
      return mayWait()
        ? Math.max(wait, queue.estimateWait(rank, request.service))
        : wait;
    }

    async function waitForPlace(
      deadline: Milliseconds,
    ): Promise<Placed | undefined> {
      if (!mayWait()) {
        const placed = place();
        if (placed !== undefined || estimateWait() === 0) return placed;
      }
      return await queue.wait({
        lane: request.service,
        rank: priorityOf(request),
        deadline,
        isAbandoned: () =>
          caller.hasDisconnected() || options.stopped.aborted ||
          !endsBeforeExit(0) || isOutOfContact() ||
          isPushedBackBeyond(deadline) ||
          crashGuard.check(request, hasCrashed) !== undefined,
        place: () => place(),
      });
    }

    function place(without = excluded): Placed | undefined {
      const choice = placement.choose(request, without);
      if (choice === undefined) return undefined;
      limits.take(choice.replica.entry);
      // Add the load at once, so that the next placement sees it.
      return {
        choice,
        trackedRequest: load.trackRequest(choice.replica.entry.id, choice),
      };
    }

    /** Gives the place of an attempt that is not made to another request. */
    function release({ choice, trackedRequest }: Placed): void {
      limits.giveBack(choice.replica.entry);
      trackedRequest.end();
      queue.retry();
    }

    /** True unless the daemon shuts down before the request can be complete. */
    function endsBeforeExit(timeToFirstEvent: Milliseconds): boolean {
      const { shutdown } = options;
      // A started stream goes on for as long as possible.
      if (!shutdown.hasBegun() || caller.hasStarted()) return true;
      return shutdown.admits({
        duration: timeToFirstEvent + answerTimes.estimate(request),
        deadline: request.deadline,
        isRepeatable: retryable,
      });
    }

    /** Returns true when the request may be sent to one more replica now. */
    function maySendBeside(): boolean {
      return remaining() > MIN_REMAINING && endsBeforeExit(0) &&
        !options.contact.isLost() &&
        !caller.hasDisconnected() &&
        refusedMoves < MAX_REFUSALS &&
        executions + 1 < request.route.maxExecutions &&
        budget.left(request.service) >= 1 &&
        crashGuard.check(request, hasCrashed) === undefined;
    }

    /** Starts an attempt at another replica than the silent one. */
    async function openSuccessor(
      isWanted: () => boolean,
    ): Promise<RunningAttempt | undefined> {
      if (!maySendBeside()) return undefined;
      const silent = present?.choice.replica.entry.id ?? "";
      const placed = place(new Set([...excluded, silent]));
      if (placed === undefined) return undefined;
      const readUpTo = await sendGate.pass();
      const isAllowed = isWanted() && maySendBeside() && takeRetry();
      const guarded = isAllowed
        ? crashGuard.admit(request, placed.choice.replica.entry)
        : undefined;
      if (guarded?.kind !== "admitted") {
        release(placed);
        return undefined;
      }
      meters.recordRetry(request.service);
      return startAttempt(placed, { guarded: guarded.attempt, readUpTo });
    }

    function withdraw(running: RunningAttempt): void {
      running.watch.withdraw();
      // It may have run unless its end shows that it did not.
      executions += 1;
      void running.reception.then((reception) => {
        const outcome = reception.kind === "ended"
          ? reception.outcome
          : { kind: "withdrawn" as const };
        if (outcome.kind === "not run" || outcome.kind === "unsent") {
          executions -= 1;
        }
        settle(running, outcome);
      });
    }

    function refuseAtShutdown(): RelayResult {
      return fail(SHUTTING_DOWN, 502, SHUTDOWN_RETRY_AFTER);
    }

    function recordAnswerTime({ startedAt }: RunningAttempt): void {
      const begin = request.prompt === undefined
        ? startedAt
        : request.arrivedAt + progress.firstEvent;
      answerTimes.record(request, clock.monotonic() - begin);
    }

    /**
     * Returns the time after which a caller without a further event has left or
     * has no use for it, or the answer would come too late.
     */
    function waitDeadline(): Milliseconds {
      const lastStart = request.deadline - answerTimes.estimate(request);
      const mayTakeLong = mayWait() || hasWaitedForConnection;
      if (request.prompt === undefined && mayTakeLong) {
        return Math.max(clock.monotonic(), lastStart);
      }
      const isNew = progress.firstEvent === 0;
      const start = isNew ? request.arrivedAt : clock.monotonic();
      const end = start + gapLimit(request.route);
      return isNew && pushbackTime() > 0 ? Math.min(end, lastStart) : end;
    }

    /** Passes the request on; refuses it when no neighbor can take it. */
    async function passOn(): Promise<RelayResult> {
      const outcome = forwarded.isPassedOn
        ? { kind: "unsent" as const }
        : await options.detour(request, forwarded, caller);
      switch (outcome.kind) {
        case "done":
          return end({ ...outcome, kind: "answered", maxEventGap: 0 });
        case "left":
          return end({ kind: "abandoned" });
        case "overdue":
          return fail("timeout", 504);
        case "lost":
          executions += 1;
          return fail(outcome.reason, 502);
        case "unsent":
          return fail(NO_CONTACT, 502, CONTACT_RETRY_AFTER);
      }
    }

    /** Sends the final response of a request that no replica has served. */
    function fail(
      reason: string,
      status: 502 | 504,
      wait: Milliseconds = RETRY_AFTER,
    ): RelayResult {
      succession.close();
      if (caller.hasStarted()) {
        caller.destroy();
        return end({ kind: "lost", reason, status: 0 });
      }
      if (executions === 0 && status !== 504) {
        const earliest = Math.max(wait, pushbackTime(new Set()));
        const spread = Math.max(RETRY_JITTER, wait / 2);
        const retryAfter = earliest + Math.random() * spread;
        caller.refuse({ status: 503, reason, retryAfter });
        return end({ kind: "refused", reason, status: 503, retryAfter });
      }
      caller.refuse({ status, reason });
      return end({ kind: "lost", reason, status });
    }

    /** Sends the request to the replica of the place. */
    function startAttempt(
      { choice, trackedRequest }: Placed,
      { guarded, readUpTo }: {
        readonly guarded: GuardedAttempt;
        /** Time up to which the sockets of callers have been read. */
        readonly readUpTo: Milliseconds;
      },
    ): RunningAttempt {
      const { replica, version, salt, parts } = choice;
      const { entry } = replica;
      sends += 1;
      const number = sends;
      const started = clock.monotonic();
      const timeLeft = Math.min(request.deadline, forwarded.callerDeadline) -
        started;
      const isRepeat = answeredAt.has(entry.address);
      const check = createResponseCheck({
        ...{ request, headerCodec },
        onResponse() {
          replicas.recordReceived(entry.id);
          guarded.recordReceived();
          answeredAt.add(entry.address);
        },
        onMismatch(fields) {
          const upstream = entry.id;
          const event = { number, ...fields };
          logger.log("response_mismatched", event, { ...subject, upstream });
        },
      });
      const attempt = pools.open({
        mayStart: () =>
          !pushback.isActive(entry) && !isOutdated({ startedAt: started }) &&
          (sendGate.isRecent(readUpTo) || !options.loopLag.isLate()),
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
          ...customerField(request),
          ...(request.prompt === undefined
            ? {}
            : { priority: priorityOf(request) }),
          ...(version === undefined ? {} : { weights: version }),
          ...(salt === undefined ? {} : { salt }),
          ...(parts === undefined ? {} : { parts }),
          ...(choice.fetched === 0 ? {} : fetchDeadline()),
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
      replicas.recordSent(entry.id, prefillTimeOf(request, choice));
      const watch = watchAttempt(attempt, {
        clock,
        caller,
        deadline: request.deadline,
        silence: () => replicas.silence(entry.id),
        seekOther() {
          // Its caller may be served by another daemon.
          if (isOutOfContact()) return true;
          succession.seek(watch.leave).catch((error: unknown) =>
            logger.log("handler_failed", { reason: String(error) }, subject)
          );
          return false;
        },
      });
      const sent = {
        ...{ number, startedAt: started, attempt, check, watch },
        ...{ choice, trackedRequest, guarded },
      };
      return { ...sent, reception: receive(sent) };
    }

    /** Forwards the response of an attempt; returns how the attempt ended. */
    async function finish(running: RunningAttempt): Promise<AttemptOutcome> {
      present = running;
      try {
        const outcome = await awaitOutcome(running);
        recordEnd(running, outcome);
        return outcome;
      } finally {
        giveBack(running);
      }
    }

    function settle(running: RunningAttempt, outcome: AttemptOutcome): void {
      recordEnd(running, outcome);
      giveBack(running);
    }

    function recordEnd(running: RunningAttempt, outcome: AttemptOutcome): void {
      const { attempt, choice, guarded, number } = running;
      const upstream = choice.replica.entry.id;
      const wasBrokenOff = attempt.wasBrokenOff();
      if (wasBrokenOff) hasCrashed = true;
      guarded.recordEnd(outcome, wasBrokenOff);
      replicaFeedback.recordOutcome(choice, request.prompt?.model, outcome);
      const { kind } = outcome;
      meters.recordAttempt(
        request.service,
        kind === "done" ? "answered" : kind,
      );
      if (kind !== "done") {
        logger.log("attempt_ended", {
          number,
          outcome: kind,
          reason: "reason" in outcome ? outcome.reason : "",
          elapsed: clock.monotonic() - running.startedAt,
        }, { ...subject, upstream });
      }
    }

    function giveBack({ watch, guarded, trackedRequest }: RunningAttempt) {
      watch.stop();
      guarded.release();
      trackedRequest.end();
      queue.retry();
    }

    /** Reads the head of the response. */
    async function receive(
      { attempt, check, choice, watch }: SentAttempt,
    ): Promise<Reception<ResponseHead>> {
      const ended = (outcome: AttemptOutcome) =>
        ({ kind: "ended", outcome }) as const;
      const result = await attempt.head;
      if (result.isErr()) {
        const cause = watch.cause();
        const isUnsent = result.error.kind === "unsent" &&
          cause?.kind === "withdrawn";
        return ended(
          cause === undefined || isUnsent ? toOutcome(result.error) : cause,
        );
      }
      const head = result.value;
      const metadata = check.metadata();
      recordStatement(choice, metadata);
      replicaFeedback.recordWeights(choice, request.prompt?.model, metadata);
      if (metadata.isRefusal) {
        if (!metadata.isMisdirected) places.recordRefusal(choice.replica.entry);
        await discardBody(attempt);
        const reason = `replica refused with ${head.status}`;
        const misdirected = metadata.isMisdirected;
        return ended({
          ...{ kind: "not run", reason, misdirected },
          answer: metadata,
        });
      }
      const flaw = check.findFlaw(head);
      if (flaw !== undefined) {
        attempt.cancel(flaw);
        return ended({ kind: "lost", reason: flaw });
      }
      return { kind: "accepted", head };
    }

    async function awaitOutcome(
      running: RunningAttempt,
    ): Promise<AttemptOutcome> {
      const { attempt, choice, watch, trackedRequest, guarded } = running;
      const { startedAt } = running;
      const isStream = request.route.kind === "stream";
      const mayReplace = retryable &&
        executions + 1 < request.route.maxExecutions;
      const limitPlainSilence = () =>
        watch.limitSilence(silenceLimit(request.route));
      if (mayReplace && isStream) {
        const limit = MAX_SILENCE + prefillTimeOf(request, choice);
        watch.limitSilence(limit, Math.max(limit, gapLimit(request.route)));
      } else if (mayReplace) limitPlainSilence();
      const reception = await running.reception;
      if (reception.kind === "ended") return reception.outcome;
      succession.keepPresent();
      const { head } = reception;
      const common = {
        clock,
        attempt,
        head,
        caller,
        watch,
        progress,
        arrivedAt: request.arrivedAt,
      };
      let hasFirstEvent = false;
      const recordFirstEvent = () => {
        hasFirstEvent = true;
        queue.retry();
        const elapsed = clock.monotonic() - startedAt;
        const tokens = choice.load.unread + choice.unread;
        prefillRates.recordFirstToken(request.service, { tokens, elapsed });
      };
      if (isStream && isEventStream(head)) {
        return await forwardStream({
          ...common,
          gapLimit: mayReplace ? gapLimit(request.route) : undefined,
          onData() {
            succession.keepPresent();
            trackedRequest.recordFirstToken();
            if (!hasFirstEvent) recordFirstEvent();
            replicas.recordReceived(choice.replica.entry.id);
            guarded.recordReceived();
          },
          onEvent() {
            recordOrigin(choice);
            guarded.recordEvent();
          },
        });
      }
      return await forwardPlainResponse({
        ...common,
        memory,
        mayRetry: () => mayReplace && budget.left(request.service) >= 1,
        onData() {
          succession.keepPresent();
          replicas.recordReceived(choice.replica.entry.id);
          guarded.recordReceived();
          if (mayReplace && !progress.hasPlainResponse) limitPlainSilence();
        },
      });
    }
  };
}

const EVENT_STREAM = /^text\/event-stream\s*(?:;|$)/i;

function isEventStream({ status, headers }: ResponseHead): boolean {
  const type = headers["content-type"];
  return status === 200 && typeof type === "string" && EVENT_STREAM.test(type);
}

/** True when the caller has events of the stream from an earlier request. */
function isTakenUp(
  { route }: DispatchRequest,
  { resumes, lastEvent = 0 }: ForwardedRequest,
): boolean {
  return route.kind === "stream" && (resumes !== undefined || lastEvent > 0);
}

function toOutcome({ kind, reason }: AttemptFailure): AttemptOutcome {
  return { kind, reason };
}

function customerField(
  { customer }: DispatchRequest,
): { readonly customer?: string } {
  return customer === undefined ? {} : { customer: customer.name };
}
