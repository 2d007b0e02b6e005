/**
 * The steps of one attempt after it has been sent: receives the head of the
 * response, forwards the response to the caller, and records how the attempt
 * ended.
 */
import type {
  ColdReplicas,
  Places,
  Statements,
} from "@peridotvalve/backpressure";
import type { ByteBudget } from "@peridotvalve/connections";
import type {
  Choice,
  PlacementQueue,
  WeightTargets,
} from "@peridotvalve/dispatch";
import type { WindowBudget } from "@peridotvalve/retries";
import {
  type AttemptedRequest,
  type AttemptSending,
  type AttemptSendingOptions,
  createAttemptSending,
  type Placed,
  type SendTerms,
  type SentAttempt,
} from "./attempt_sending.ts";
import type { AttemptOutcome } from "./attempt_watch.ts";
import {
  type AttemptFailure,
  type ResponseHead,
  START_PUT_OFF,
} from "./connection_pools.ts";
import type { ResponseMetadata } from "./header_codec.ts";
import type { Meters } from "./meters.ts";
import { createReplicaFeedback } from "./replica_feedback.ts";
import {
  discardBody,
  forwardPlainResponse,
  forwardStream,
  isEventStream,
} from "./response_forwarding.ts";
import { gapLimit, MAX_SILENCE, silenceLimit } from "./silence_limits.ts";
import type { StageClock } from "./stage_clock.ts";
import type { Reception } from "./succession.ts";

export interface AttemptStepsOptions extends AttemptSendingOptions {
  readonly statements: Statements;
  readonly coldReplicas: ColdReplicas;
  readonly places: Places;
  readonly weights: WeightTargets;
  readonly queue: PlacementQueue;
  readonly budget: WindowBudget;
  readonly meters: Meters;
  /** For buffered plain responses. */
  readonly memory: ByteBudget;
}

export interface RunningAttempt extends SentAttempt {
  readonly reception: Promise<Reception<ResponseHead>>;
}

export interface SteppedRequest extends AttemptedRequest {
  readonly stages: StageClock;
  /** True when another attempt may follow the present one. */
  readonly mayReplace: () => boolean;
  /** Called when data of the attempt whose response is forwarded arrives. */
  readonly keepPresent: () => void;
  /** Called for each complete event of a stream. */
  readonly onEvent: (choice: Choice) => void;
  /** Called when the connection of an attempt was broken off by its replica. */
  readonly onBreakOff: () => void;
}

export interface AttemptSteps
  extends Pick<AttemptSending, "isOutdated" | "prefillTime"> {
  /** Sends the request to the replica of the place. */
  start(placed: Placed, terms: SendTerms): RunningAttempt;
  /** Forwards the response of an attempt; returns how the attempt ended. */
  finish(running: RunningAttempt): Promise<AttemptOutcome>;
  /** Records the end of an attempt whose response is not forwarded. */
  settle(running: RunningAttempt, outcome: AttemptOutcome): void;
}

export function createAttemptSteps(
  options: AttemptStepsOptions,
): (stepped: SteppedRequest) => AttemptSteps {
  const { clock, logger, replicas, prefillRates, meters } = options;
  const { statements, pushback, places, queue, budget, memory } = options;
  const createSending = createAttemptSending(options);
  const replicaFeedback = createReplicaFeedback(options);

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
    prefillRates.recordSlowness(entry.id, metadata.slowness);
  }

  return (stepped) => {
    const { current, caller, subject, progress, keepPresent } = stepped;
    const { stages } = stepped;
    const sending = createSending(stepped);
    const { isOutdated, prefillTime } = sending;

    function start(placed: Placed, terms: SendTerms): RunningAttempt {
      const sent = sending.send(placed, terms);
      return { ...sent, reception: receive(sent) };
    }

    async function finish(running: RunningAttempt): Promise<AttemptOutcome> {
      try {
        const outcome = await awaitOutcome(running);
        recordStages(running, outcome);
        recordEnd(running, outcome);
        return outcome;
      } finally {
        giveBack(running);
      }
    }

    function recordStages(
      { times }: RunningAttempt,
      outcome: AttemptOutcome,
    ): void {
      const now = clock.monotonic();
      if (isFailure(outcome)) stages.lose(times, now, progress.lastEventAt);
      else stages.keep(times, now);
    }

    function settle(running: RunningAttempt, outcome: AttemptOutcome): void {
      recordEnd(running, outcome);
      giveBack(running);
    }

    function recordEnd(running: RunningAttempt, outcome: AttemptOutcome): void {
      const { attempt, choice, guarded, number } = running;
      const request = current();
      const upstream = choice.replica.entry.id;
      const wasBrokenOff = attempt.wasBrokenOff();
      if (wasBrokenOff) stepped.onBreakOff();
      guarded.recordEnd(outcome, wasBrokenOff);
      replicaFeedback.recordOutcome(
        choice,
        request.prompt?.model,
        outcome,
        wasBrokenOff,
      );
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
          elapsed: clock.monotonic() - running.times.startedAt,
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
      replicaFeedback.recordWeights(choice, current().prompt?.model, metadata);
      if (metadata.isRefusal) {
        if (!metadata.isMisdirected) places.recordRefusal(choice.replica.entry);
        await discardBody(attempt);
        const reason = `replica refused with ${head.status}`;
        const misdirected = metadata.isMisdirected;
        const sender = metadata.replica ?? choice.replica.entry.id;
        const replaced = misdirected && sender !== choice.replica.entry.id;
        return ended({
          ...{ kind: "not run", reason, misdirected, replaced },
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
      const { times } = running;
      const request = current();
      const isStream = request.route.kind === "stream";
      const mayReplace = stepped.mayReplace();
      const limitPlainSilence = () =>
        watch.limitSilence(silenceLimit(request.route));
      if (mayReplace && isStream) {
        const limit = MAX_SILENCE + sending.prefillTime(choice);
        watch.limitSilence(limit, Math.max(limit, gapLimit(request.route)));
      } else if (mayReplace) limitPlainSilence();
      const reception = await running.reception;
      if (reception.kind === "ended") return reception.outcome;
      keepPresent();
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
        const elapsed = clock.monotonic() - times.startedAt;
        const tokens = choice.load.unread + choice.unread;
        prefillRates.recordFirstToken(request.service, { tokens, elapsed });
      };
      if (isStream && isEventStream(head)) {
        return await forwardStream({
          ...common,
          gapLimit: mayReplace ? gapLimit(request.route) : undefined,
          onData() {
            times.firstByteAt ??= clock.monotonic();
            keepPresent();
            trackedRequest.recordFirstToken();
            if (!hasFirstEvent) recordFirstEvent();
            replicas.recordReceived(
              choice.replica.entry.id,
              times.startedAt,
            );
            guarded.recordReceived();
          },
          onEvent() {
            stepped.onEvent(choice);
            guarded.recordEvent();
          },
        });
      }
      return await forwardPlainResponse({
        ...common,
        memory,
        mayRetry: () => mayReplace && budget.left(request.service) >= 1,
        onData() {
          times.firstByteAt ??= clock.monotonic();
          keepPresent();
          replicas.recordReceived(
            choice.replica.entry.id,
            times.startedAt,
          );
          guarded.recordReceived();
          if (mayReplace && !progress.hasPlainResponse) limitPlainSilence();
        },
      });
    }

    return { start, finish, settle, isOutdated, prefillTime };
  };
}

/**
 * True when the request is failed or sent again because of the outcome. One that
 * was put off has only waited for its connection.
 */
function isFailure(outcome: AttemptOutcome): boolean {
  switch (outcome.kind) {
    case "done":
    case "left":
    case "overdue":
    case "withdrawn":
      return false;
    case "unsent":
      return outcome.reason !== START_PUT_OFF;
    default:
      return true;
  }
}

function toOutcome({ kind, reason }: AttemptFailure): AttemptOutcome {
  return { kind, reason };
}
