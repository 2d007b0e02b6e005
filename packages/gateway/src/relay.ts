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
import {
  type AttemptEnd,
  SILENT,
  type Watch,
  watchAttempt,
} from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import type {
  AnswerHead,
  Attempt,
  AttemptFailure,
  Channels,
} from "./channels.ts";
import type { AnswerTerms, Dialect } from "./dialect.ts";
import { createEventSplitter } from "./events.ts";
import { callSilence, DEAD_SILENCE, longestGap } from "./patience.ts";
import type { ReplicaClock } from "./replica_clock.ts";
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

/** A replica that changes its weights or is full is left alone so long. */
const BUSY_AVOIDANCE: Milliseconds = 250;
/** One with other weights than believed can be asked for those at once. */
const MOVED_AVOIDANCE: Milliseconds = 5;

const RETRY_AFTER: Milliseconds = 250;
/** Returns are spread, so that refused callers do not come back as one. */
const RETRY_SPREAD: Milliseconds = 500;

export function createRelay(options: RelayOptions) {
  const { clock, logger, dialect, channels, replicas, load, cache } = options;
  const { placement, budget, weights, transfers, replicaClock } = options;
  const { room } = options;

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
    let firstEvent: Milliseconds = 0;
    let lastEvent = message.lastEvent ?? 0;
    let lastReason = "no replica";
    budget.recordRequest(work.service);

    const remaining = () => work.due - clock.monotonic();
    const end = (ending: Ending): RelayResult => ({ ending, sends });

    for (;;) {
      if (caller.hasLeft()) return end({ kind: "abandoned" });
      if (remaining() <= 0) return giveUp("timeout", 504);
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
      const { choice } = placed;
      const outcome = await attempt(placed);
      switch (outcome.kind) {
        case "done":
          return end({ kind: "answered", status: outcome.status, firstEvent });
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
        case "failed":
          runs += 1;
          if (!repeatable || runs >= work.route.maxRuns) {
            const reason = outcome.kind === "failed"
              ? `replica answered ${outcome.status}`
              : outcome.reason;
            return giveUp(reason, 502);
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
      const start = firstEvent === 0 ? work.arrived : clock.monotonic();
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
          ...(lastEvent > 0 ? { lastEvent } : {}),
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
        note(choice, outcome);
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
      learnWeights(choice, terms);
      if (terms.isRefusal) {
        await drain(opened);
        const reason = `replica refused with ${head.status}`;
        const misdirected = terms.isMisdirected;
        return { kind: "not run", reason, misdirected, terms };
      }
      if (isStream && head.status === 200) {
        return await passStream(opened, head, { choice, watch, flight });
      }
      return await passAnswer(opened, head, watch);
    }

    async function passStream(
      opened: Attempt,
      head: AnswerHead,
      { choice, watch, flight }: {
        readonly choice: Choice;
        readonly watch: Watch;
        readonly flight: Flight;
      },
    ): Promise<AttemptEnd> {
      const splitter = createEventSplitter();
      const mayMove = repeatable && runs + 1 < work.route.maxRuns;
      const body = opened.body();
      for (;;) {
        const next = await body.next();
        if (next.done) {
          const failure = next.value;
          if (failure === undefined && !splitter.hasRest()) break;
          return watch.cause() ?? {
            kind: "broken",
            reason: failure?.reason ?? "ended within an event",
          };
        }
        flight.noteFirstToken();
        if (firstEvent === 0) room.poke();
        replicas.noteHeard(choice.replica.entry.id);
        // The time in which a slow caller takes the events is not silence.
        watch.limitSilence(Infinity);
        const whole = splitter.push(next.value, lastEvent);
        if (whole !== undefined) {
          if (firstEvent === 0) firstEvent = clock.monotonic() - work.arrived;
          if (!caller.hasBegun()) caller.begin(head.status, head.rawHeaders);
          if (whole.lastId !== undefined) lastEvent = whole.lastId;
          await caller.write(whole.bytes);
        }
        if (mayMove) watch.limitSilence(DEAD_SILENCE, longestGap(work.route));
      }
      if (!caller.hasBegun()) caller.begin(head.status, head.rawHeaders);
      caller.finish();
      return { kind: "done", status: head.status };
    }

    async function passAnswer(
      opened: Attempt,
      head: AnswerHead,
      watch: Watch,
    ): Promise<AttemptEnd> {
      const chunks: Uint8Array[] = [];
      for (const body = opened.body();;) {
        const next = await body.next();
        if (!next.done) {
          chunks.push(next.value);
          continue;
        }
        if (next.value === undefined) break;
        return watch.cause() ?? { kind: "lost", reason: next.value.reason };
      }
      const isLast = runs + 1 >= work.route.maxRuns;
      if (head.status >= 500 && repeatable && !isLast && !caller.hasBegun()) {
        if (budget.left(work.service) >= 1) {
          return { kind: "failed", status: head.status };
        }
      }
      if (caller.hasBegun()) {
        return { kind: "broken", reason: `resumed with ${head.status}` };
      }
      firstEvent = clock.monotonic() - work.arrived;
      caller.begin(head.status, withLength(head.rawHeaders, chunks));
      for (const chunk of chunks) await caller.write(chunk);
      caller.finish();
      return { kind: "done", status: head.status };
    }

    function learnWeights({ replica }: Choice, terms: AnswerTerms): void {
      const model = work.terms?.model;
      if (model === undefined || terms.weights === undefined) return;
      replicas.recordWeights(replica.entry.id, model, terms.weights);
    }

    /** A replica refused because it is not what it was believed to be. */
    function correctWeights(choice: Choice, terms: AnswerTerms): void {
      const { replica, version = 0 } = choice;
      const { id } = replica.entry;
      const model = work.terms?.model;
      const isOther = terms.replica !== undefined && terms.replica !== id;
      if (model === undefined || isOther) return replicas.recordFailure(id);
      const target = weights.target(model);
      if (terms.weights !== undefined) {
        replicas.correctWeights(id, model, terms.weights);
      } else if (version < target) {
        replicas.correctWeights(id, model, target);
      } else {
        const listed = replica.entry.weights.get(model) ?? 0;
        replicas.correctWeights(id, model, Math.min(listed, target - 1));
      }
      replicas.avoid(id, MOVED_AVOIDANCE);
    }

    function note(choice: Choice, outcome: AttemptEnd): void {
      const { id, address } = choice.replica.entry;
      switch (outcome.kind) {
        case "done":
          return replicas.recordSuccess(id);
        case "unsent":
        case "lost":
        case "broken":
          if (outcome.reason === SILENT) channels.renew(address);
          return replicas.recordFailure(id);
        case "not run": {
          if (outcome.kind === "not run" && outcome.misdirected) {
            return correctWeights(choice, outcome.terms);
          }
          return replicas.avoid(id, BUSY_AVOIDANCE);
        }
      }
    }
  };
}

function ended({ kind, reason }: AttemptFailure): AttemptEnd {
  return { kind, reason };
}

async function drain(opened: Attempt): Promise<void> {
  const body = opened.body();
  while (!(await body.next()).done);
}

/** A whole body is sent with its length, whatever framing the replica used. */
function withLength(
  headers: readonly string[],
  chunks: readonly Uint8Array[],
): readonly string[] {
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const others: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === "content-length") continue;
    others.push(headers[at] ?? "", headers[at + 1] ?? "");
  }
  return [...others, "content-length", String(length)];
}

function customerOf({ customer }: Work): { readonly customer?: string } {
  return customer === undefined ? {} : { customer: customer.name };
}
