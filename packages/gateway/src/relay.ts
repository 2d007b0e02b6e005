/**
 * The life of one admitted request: attempts at replicas until one gives the
 * final answer, or until nothing more may be tried.
 *
 * A request that may not be repeated is sent again only after a replica said
 * that it did not run it, or when no byte of it was written. A stream that can
 * be resumed goes on at another replica behind the last whole event that the
 * caller has got.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type CacheView,
  type Choice,
  type Flight,
  isRepeatable,
  type LoadView,
  type Placement,
  priorityOf,
  type ReplicaTable,
  type TransferPlanner,
  type WaitingRoom,
  type WeightTargets,
  type Work,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { drain, passAnswer, passStream, type Progress } from "./answer_pass.ts";
import { type AttemptEnd, type Watch, watchAttempt } from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import type { Attempt, AttemptFailure, Channels } from "./channels.ts";
import type { Dialect } from "./dialect.ts";
import type { Meters } from "./meters.ts";
import { callSilence, DEAD_SILENCE, longestGap } from "./patience.ts";
import type { ReplicaClock } from "./replica_clock.ts";
import { createReplicaBeliefs } from "./replica_beliefs.ts";
import type { RetryBudget } from "./retry_budget.ts";

export interface RelayOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly dialect: Dialect;
  readonly channels: Channels;
  readonly replicas: ReplicaTable;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly weights: WeightTargets;
  readonly placement: Placement;
  readonly room: WaitingRoom;
  readonly budget: RetryBudget;
  readonly transfers: TransferPlanner;
  readonly replicaClock: ReplicaClock;
  /** Connections that this daemon may hold to one replica of a service. */
  readonly connectionsOf: (service: string) => number;
  readonly meters: Meters;
  /** Aborts when the daemon ends; nothing is sent afterwards. */
  readonly stopped: AbortSignal;
}

/** The request as it goes to a replica. */
export interface Message {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** The last event that the caller already has. */
  readonly lastEvent?: number;
  /** When the caller gives up, on the monotonic clock. */
  readonly patienceEnd: Milliseconds;
}

/** How a request ended, for its line in the log and the metrics. */
export type Ending =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly firstEvent: Milliseconds;
    /** Longest time between two events of a stream. */
    readonly longestPause: Milliseconds;
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

/** A replica for an attempt, with the attempt counted in its load. */
interface Placed {
  readonly choice: Choice;
  readonly flight: Flight;
}

/** Connections refused in a row that are answered with another replica. */
const MAX_UNSENT = 4;

/** Refusals by full or changing replicas that are answered with another. */
const MAX_REFUSALS = 3;

/**
 * A fetch that has not ended by then is dropped and the prompt is read; parts
 * are freed only longer after their last use.
 */
const LONGEST_FETCH: Milliseconds = 2_000;

/** A request with less time left is not worth a further attempt. */
const LEAST_REMAINING: Milliseconds = 60;

const RETRY_AFTER: Milliseconds = 250;
/** Returns are spread, so that refused callers do not come back as one. */
const RETRY_SPREAD: Milliseconds = 500;

export function createRelay(options: RelayOptions) {
  const { clock, logger, dialect, channels, replicas, load, cache } = options;
  const { placement, budget, weights, transfers, replicaClock } = options;
  const { room, meters } = options;
  const beliefs = createReplicaBeliefs({ replicas, weights, channels });

  function fetchTerms(): { readonly fetchEnd?: Timestamp } {
    const now = replicaClock.now();
    return now === undefined ? {} : { fetchEnd: now + LONGEST_FETCH };
  }

  return async function relay(
    work: Work,
    message: Message,
    caller: Caller,
  ): Promise<RelayResult> {
    const excluded = new Set<string>();
    const conversation = work.terms?.parts.at(-2)?.id;
    const subject = {
      request: work.id,
      ...customerOf(work),
      ...(conversation === undefined ? {} : { conversation }),
    };
    const repeatable = isRepeatable(work);
    let sends = 0;
    let runs = 0;
    let unsent = 0;
    let refusals = 0;
    const progress: Progress = {
      firstEvent: 0,
      lastEvent: message.lastEvent ?? 0,
      lastEventAt: 0,
      longestPause: 0,
      isPlain: false,
    };
    let lastReason = "no replica";
    budget.recordRequest(work.service);

    const remaining = () => work.due - clock.monotonic();
    const end = (ending: Ending): RelayResult => ({ ending, sends });

    for (;;) {
      if (caller.hasLeft()) return end({ kind: "abandoned" });
      if (remaining() <= 0) return giveUp("timeout", 504);
      if (options.stopped.aborted) return giveUp(lastReason, 502);
      const mayRetry = sends === 0 || remaining() > LEAST_REMAINING;
      if (!mayRetry || !placement.hasCandidates(work, excluded)) {
        return giveUp(lastReason, 502);
      }
      if (sends > 0 && !budget.take(work.service)) {
        logger.log("retry_budget_spent", { kind: work.service }, subject);
        return giveUp(`${lastReason}, no retries left`, 502);
      }
      const wait = work.terms === undefined
        ? 0
        : room.estimateWait(priorityOf(work));
      if (clock.monotonic() + wait > Math.min(work.due, waitEnd())) {
        return giveUp(`${lastReason}, too many wait`, 502, wait);
      }
      if (sends > 0) meters.recordRetry(work.service);
      const asked = clock.monotonic();
      // Plain services queue a few requests themselves and do not wait here.
      const placed = work.terms === undefined ? place() : await room.wait({
        rank: priorityOf(work),
        until: Math.min(work.due, waitEnd()),
        isAbandoned: () => caller.hasLeft(),
        place,
      });
      if (placed === undefined) {
        if (caller.hasLeft()) return end({ kind: "abandoned" });
        return giveUp(`${lastReason}, no room`, remaining() <= 0 ? 504 : 502);
      }
      if (work.terms !== undefined) {
        meters.recordWait(work.route.name, clock.monotonic() - asked);
      }
      const { choice } = placed;
      const outcome = await attempt(placed);
      switch (outcome.kind) {
        case "done":
          return end({ ...progress, kind: "answered", status: outcome.status });
        case "left":
          return end({ kind: "abandoned" });
        case "overdue":
          return giveUp("timeout", 504);
        case "unsent":
          sends -= 1;
          unsent += 1;
          if (unsent >= MAX_UNSENT) return giveUp(outcome.reason, 502);
          break;
        case "not run":
          refusals += 1;
          if (refusals >= MAX_REFUSALS) return giveUp(outcome.reason, 502);
          break;
        case "lost":
        case "broken":
        case "failed": {
          runs += 1;
          const mayGoOn = repeatable && !progress.isPlain;
          if (!mayGoOn || runs >= work.route.maxRuns) {
            const reason = outcome.kind === "failed"
              ? `replica answered ${outcome.status}`
              : outcome.reason;
            return giveUp(reason, 502);
          }
        }
      }
      lastReason = outcome.kind === "failed"
        ? `replica answered ${outcome.status}`
        : outcome.reason;
      // A replica that only moved to other weights may be asked again.
      const isMoved = outcome.kind === "not run" && outcome.misdirected;
      if (!isMoved) excluded.add(choice.replica.entry.id);
    }

    function place(): Placed | undefined {
      const choice = placement.choose(work, excluded);
      if (choice === undefined) return undefined;
      // Counted at once, so that the next request sees it.
      return { choice, flight: load.start(choice.replica.entry.id, choice) };
    }

    /** A caller that has no event by then leaves, or finds no use in it. */
    function waitEnd(): Milliseconds {
      const isNew = progress.firstEvent === 0;
      const start = isNew ? work.arrived : clock.monotonic();
      return start + longestGap(work.route);
    }

    /** The final answer of a request that no replica answers. */
    function giveUp(
      reason: string,
      status: 502 | 504,
      wait: Milliseconds = RETRY_AFTER,
    ): RelayResult {
      if (caller.hasBegun()) {
        caller.breakOff();
        return end({ kind: "lost", reason, status: 0 });
      }
      if (runs === 0 && status !== 504) {
        const spread = Math.max(RETRY_SPREAD, wait / 2);
        const retryAfter = wait + Math.random() * spread;
        caller.refuse({ status: 503, reason, retryAfter });
        return end({ kind: "refused", reason, status: 503, retryAfter });
      }
      caller.refuse({ status, reason });
      return end({ kind: "lost", reason, status });
    }

    async function attempt({ choice, flight }: Placed): Promise<AttemptEnd> {
      const { replica, version, salt, parts } = choice;
      const { entry } = replica;
      sends += 1;
      const number = sends;
      const started = clock.monotonic();
      const left = Math.min(work.due, message.patienceEnd) - started;
      const opened = channels.open({
        origin: entry.address,
        connections: options.connectionsOf(work.service),
        method: message.method,
        path: message.path,
        body: message.body,
        headers: dialect.composeRequest(message.headers, {
          replica: entry.id,
          remaining: Math.max(1, Math.floor(left)),
          ...customerOf(work),
          ...(work.terms === undefined ? {} : { priority: priorityOf(work) }),
          ...(version === undefined ? {} : { weights: version }),
          ...(salt === undefined ? {} : { salt }),
          ...(parts === undefined ? {} : { parts }),
          ...(choice.fetched === 0 ? {} : fetchTerms()),
          ...(progress.lastEvent > 0 ? { lastEvent: progress.lastEvent } : {}),
        }),
      });
      if (salt !== undefined && work.terms !== undefined) {
        cache.expect(entry.id, salt, work.terms.parts);
        const shared = work.terms.parts.slice(0, -1);
        if (parts !== undefined) transfers.noteSent(salt, shared, parts);
      }
      logger.log("attempt_placed", {
        number,
        version: version ?? 0,
        unread: choice.unread,
        held: choice.held,
        waiting: choice.load.unread,
        running: choice.load.requests,
        saves: parts?.filter(({ saveTo }) => saveTo !== undefined).length ?? 0,
        cost: Math.round(choice.cost),
        candidates: choice.candidates,
        fetched: choice.fetched,
        remaining: Math.round(left),
      }, { ...subject, upstream: entry.id });
      replicas.noteSent(entry.id);
      const watch = watchAttempt(opened, {
        clock,
        caller,
        due: work.due,
        silence: () => replicas.silence(entry.id),
      });
      try {
        const outcome = await follow(opened, { choice, watch, flight });
        beliefs.noteEnd(choice, work.terms?.model, outcome);
        const { kind } = outcome;
        meters.recordAttempt(work.service, kind === "done" ? "answered" : kind);
        if (outcome.kind !== "done") {
          logger.log("attempt_ended", {
            number,
            outcome: outcome.kind,
            reason: "reason" in outcome ? outcome.reason : "",
            elapsed: clock.monotonic() - started,
          }, { ...subject, upstream: entry.id });
        }
        return outcome;
      } finally {
        watch.stop();
        flight.end();
        room.poke();
      }
    }

    async function follow(opened: Attempt, context: {
      readonly choice: Choice;
      readonly watch: Watch;
      readonly flight: Flight;
    }): Promise<AttemptEnd> {
      const { choice, watch, flight } = context;
      const isStream = work.route.kind === "stream";
      if (repeatable && runs + 1 < work.route.maxRuns) {
        if (isStream) watch.limitSilence(DEAD_SILENCE, longestGap(work.route));
        else {
          watch.limitSilence(callSilence(work.route));
        }
      }
      const result = await opened.head;
      if (result.isOk()) replicas.noteHeard(choice.replica.entry.id);
      if (result.isErr()) return watch.cause() ?? ended(result.error);
      const head = result.value;
      const terms = dialect.readAnswer(head.status, head.headers);
      if (terms.requestId !== work.id && !terms.isRefusal) {
        // A late answer to an earlier request, at the place of this one's.
        opened.cancel("answer to another request");
        return { kind: "lost", reason: "answer to another request" };
      }
      beliefs.learnWeights(choice, work.terms?.model, terms);
      if (terms.isRefusal) {
        await drain(opened);
        const reason = `replica refused with ${head.status}`;
        const misdirected = terms.isMisdirected;
        return { kind: "not run", reason, misdirected, terms };
      }
      const passing = {
        clock,
        opened,
        head,
        caller,
        watch,
        progress,
        arrived: work.arrived,
      };
      if (isStream && head.status === 200) {
        const mayMove = repeatable && runs + 1 < work.route.maxRuns;
        return await passStream({
          ...passing,
          longestGap: mayMove ? longestGap(work.route) : undefined,
          onHeard() {
            flight.noteFirstToken();
            if (progress.firstEvent === 0) room.poke();
            replicas.noteHeard(choice.replica.entry.id);
          },
        });
      }
      return await passAnswer({
        ...passing,
        mayRepeat: () =>
          repeatable && runs + 1 < work.route.maxRuns &&
          budget.left(work.service) >= 1,
      });
    }
  };
}

function ended({ kind, reason }: AttemptFailure): AttemptEnd {
  return { kind, reason };
}

function customerOf({ customer }: Work): { readonly customer?: string } {
  return customer === undefined ? {} : { customer: customer.name };
}
