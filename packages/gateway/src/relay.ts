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
  ShutdownAdmission,
} from "@peridotvalve/admission";
import type { ColdReplicas, Limits } from "@peridotvalve/backpressure";
import {
  type AnswerTimes,
  type Choice,
  type DispatchRequest,
  isRetryable,
  type Placement,
  softwareOf,
  waitingRankOf,
} from "@peridotvalve/dispatch";
import type { LoadView } from "@peridotvalve/load";
import type { Milliseconds } from "@peridotvalve/types";
import type { Placed, SendTerms } from "./attempt_sending.ts";
import {
  type AttemptStepsOptions,
  createAttemptSteps,
  type RunningAttempt,
} from "./attempt_steps.ts";
import { type Caller, SHUTDOWN_RETRY_AFTER, SHUTTING_DOWN } from "./caller.ts";
import { type ResponseHead, START_PUT_OFF } from "./connection_pools.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { Detour, DetourOutcome } from "./detour.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import {
  explainRefusal,
  NO_CONTACT,
  NO_ORIGIN,
  PUSHED_BACK,
} from "./refusal_reasons.ts";
import { BUSY_AVOIDANCE } from "./replica_feedback.ts";
import type { ResponseProgress } from "./response_forwarding.ts";
import { gapLimit } from "./silence_limits.ts";
import type { SoftwareRecords } from "./software_record.ts";
import { createStageClock, type StageTimes } from "./stage_clock.ts";
import { createStreamBinding } from "./stream_binding.ts";
import type { StreamRecords } from "./stream_records.ts";
import { createSuccession } from "./succession.ts";
import { createWaitingLanes } from "./waiting_lanes.ts";

export interface RelayOptions extends AttemptStepsOptions {
  readonly limits: Limits;
  readonly coldReplicas: ColdReplicas;
  readonly load: LoadView;
  readonly placement: Placement;
  readonly answerTimes: AnswerTimes;
  readonly shutdown: ShutdownAdmission;
  readonly crashGuard: CrashGuard;
  readonly contact: Pick<ReplicaContact, "isLost">;
  readonly detour: Detour;
  readonly streams: Pick<StreamRecords, "find" | "record">;
  readonly software: Pick<SoftwareRecords, "isBarred" | "settled">;
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
  readonly stages: StageTimes;
}

/** Unsent attempts after which the request fails. */
const MAX_UNSENT = 4;

/** Refusals by full or reloading replicas after which the request fails. */
const MAX_REFUSALS = 3;

/** Pause after which a started stream may return to a replica that was full. */
const REFUSAL_PAUSE: Milliseconds = BUSY_AVOIDANCE + 50;

/** Minimum remaining time for a further attempt. */
const MIN_REMAINING: Milliseconds = 60;

/** Delay after which a caller may retry on another daemon. */
const CONTACT_RETRY_AFTER: Milliseconds = 100;

/** A replica that has crashed is back after some seconds. */
const ORIGIN_RETRY_AFTER: Milliseconds = 2_000;

const RETRY_AFTER: Milliseconds = 250;
/**
 * Spreads the retries of refused callers, so that they do not arrive together.
 */
const RETRY_JITTER: Milliseconds = 500;

export function createRelay(options: RelayOptions) {
  const { clock, logger, load, placement, queue, budget, meters } = options;
  const { answerTimes, crashGuard, pushback, limits, places } = options;
  const { sendGate } = options;
  const createSteps = createAttemptSteps(options);
  const laneOf = createWaitingLanes(options);
  const bindStream = createStreamBinding(options);

  return async function relay(
    received: DispatchRequest,
    forwarded: ForwardedRequest,
    caller: Caller,
  ): Promise<RelayResult> {
    const stages = createStageClock(received.arrivedAt, clock.monotonic());
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
        steps.settle(running, outcome);
      },
      cancel: withdraw,
    });
    const steps = createSteps({
      ...{ forwarded, caller, subject, progress, stages, isOutOfContact },
      current: () => request,
      mayReplace: () =>
        retryable && executions + 1 < request.route.maxExecutions,
      seekOther: succession.seek,
      keepPresent: succession.keepPresent,
      onEvent: recordOrigin,
      onBreakOff: () => hasCrashed = true,
    });
    const end = (ending: Ending): RelayResult => {
      succession.close();
      return { ending, sends, stages: stages.end(clock.monotonic()) };
    };

    const unbound = await bindToOrigin();
    if (unbound !== undefined) return unbound;

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
      present = started;
      const outcome = await steps.finish(started);
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
          if (
            outcome.reason === START_PUT_OFF && steps.isOutdated(started.times)
          ) {
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
      const hasRefused = outcome.kind === "not run" && !outcome.replaced;
      const mayReturn = hasRefused &&
        (outcome.misdirected || caller.hasStarted() ||
          pushback.isActive(replica.entry));
      if (!mayReturn) excluded.add(replica.entry.id);
      if (hasRefused) refusedBy.add(replica.entry.id);
      else if (caller.hasStarted()) {
        for (const id of refusedBy) excluded.delete(id);
      }
    }

    /** Binds a stream to where it began; refuses one that cannot go on there. */
    async function bindToOrigin(): Promise<RelayResult | undefined> {
      const binding = await bindStream(request, forwarded, subject);
      if (binding === "new") return undefined;
      if (caller.hasDisconnected()) return end({ kind: "abandoned" });
      if (typeof binding === "object") {
        request = { ...request, ...binding };
        return undefined;
      }
      // Another daemon may know the stream, or read the records.
      return binding === "unread" ? await passOn() : fail(NO_ORIGIN, 502);
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
      if (mustPassOn()) return await passOn();
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
        if (mustPassOn()) return await passOn();
        if (isPushedBackBeyond(lastStart)) return fail(PUSHED_BACK, 502);
        const late = crashGuard.check(request, hasCrashed);
        if (late !== undefined) return fail(late.reason, 502, late.wait);
        const status = remaining() <= 0 ? 504 : 502;
        const lane = laneOf(request, excluded).name;
        const delay = queue.retryDelay(waitingRankOf(request), lane);
        return fail(`${lastReason}, no room`, status, delay);
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
      if (!endsBeforeExit(steps.prefillTime(choice))) {
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

    /** True when a neighbor may serve the request, and this daemon cannot. */
    function mustPassOn(): boolean {
      const isBegun = caller.hasStarted() || request.software !== undefined;
      return isOutOfContact() ||
        (request.route.isResumable && !isBegun && sends === 0 &&
          options.software.isBarred(request.service));
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
      const rank = waitingRankOf(request);
      const lane = laneOf(request, excluded).name;
      const ahead = queue.countAhead(rank, lane);
      const candidates = placement.candidates(request, excluded);
      const open = candidates.filter((replica) => !pushback.isActive(replica));
      const wait = Math.max(
        pushback.estimateWait(candidates),
        limits.estimateWait(open.length > 0 ? open : candidates, ahead + 1),
      );
      return mayWait() ? Math.max(wait, queue.estimateWait(rank, lane)) : wait;
    }

    async function waitForPlace(
      deadline: Milliseconds,
    ): Promise<Placed | undefined> {
      if (!mayWait()) {
        const placed = place();
        if (placed !== undefined || estimateWait() === 0) return placed;
      }
      const isBarred = placement.watchCandidates(request, excluded);
      const lane = laneOf(request, excluded);
      if (lane.isCold) meters.recordColdWait(request.service);
      return await queue.wait({
        ...{ lane: lane.name, rank: waitingRankOf(request), deadline },
        bound: request.software,
        needs: placement.leastTime(request),
        isAbandoned: () =>
          caller.hasDisconnected() || options.stopped.aborted ||
          !endsBeforeExit(0) || mustPassOn() ||
          isPushedBackBeyond(deadline) || isBarred() ||
          crashGuard.check(request, hasCrashed) !== undefined,
        place: () => place(),
      });
    }

    function place(without = excluded): Placed | undefined {
      const choice = placement.choose(request, without);
      if (choice === undefined) return undefined;
      // Add the load at once, so that the next placement sees it.
      return {
        choice,
        permit: limits.take(choice.replica.entry),
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
        steps.settle(running, outcome);
      });
    }

    function refuseAtShutdown(): RelayResult {
      return fail(SHUTTING_DOWN, 502, SHUTDOWN_RETRY_AFTER);
    }

    function recordAnswerTime({ times: { startedAt } }: RunningAttempt): void {
      const begin = request.prompt === undefined
        ? startedAt
        : request.arrivedAt + progress.firstEvent;
      answerTimes.record(request, clock.monotonic() - begin);
    }

    /**
     * Returns the time after which a caller without a further event, since the
     * end of its body or the last one, has left, or the answer would be too late.
     */
    function waitDeadline(): Milliseconds {
      const lastStart = request.deadline - answerTimes.estimate(request);
      const mayTakeLong = mayWait() || hasWaitedForConnection;
      if (request.prompt === undefined && mayTakeLong) {
        return Math.max(clock.monotonic(), lastStart);
      }
      const isNew = progress.firstEvent === 0;
      const start = isNew ? stages.readAt : clock.monotonic();
      const end = start + gapLimit(request.route);
      return isNew && pushbackTime() > 0 ? Math.min(end, lastStart) : end;
    }

    /** Passes the request on; refuses it when no neighbor can take it. */
    async function passOn(): Promise<RelayResult> {
      const startedAt = clock.monotonic();
      const outcome = forwarded.isPassedOn
        ? { kind: "unsent" as const }
        : await options.detour(request, forwarded, caller);
      recordDetour(outcome, startedAt);
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

    /** Counts the time at neighbors, up to their response, as one wait for it. */
    function recordDetour(
      outcome: DetourOutcome,
      startedAt: Milliseconds,
    ): void {
      const firstByteAt = outcome.kind === "done"
        ? request.arrivedAt + outcome.firstEvent
        : undefined;
      const times = { startedAt, sentAt: startedAt, firstByteAt };
      const isFailure = outcome.kind === "unsent" || outcome.kind === "lost";
      if (isFailure) stages.lose(times, clock.monotonic(), 0);
      else stages.keep(times, clock.monotonic());
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
        const stated = explainRefusal(reason, placement.barrierOf(request));
        const refusal = { status: 503, reason: stated, retryAfter };
        caller.refuse(refusal);
        return end({ kind: "refused", ...refusal });
      }
      caller.refuse({ status, reason });
      return end({ kind: "lost", reason, status });
    }

    function startAttempt(
      placed: Placed,
      terms: Omit<SendTerms, "number">,
    ): RunningAttempt {
      sends += 1;
      return steps.start(placed, { ...terms, number: sends });
    }
  };
}

function customerField(
  { customer }: DispatchRequest,
): { readonly customer?: string } {
  return customer === undefined ? {} : { customer: customer.name };
}
