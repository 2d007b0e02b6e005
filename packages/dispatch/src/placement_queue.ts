/**
 * Queue of prompts that wait for a replica with free capacity. A replica
 * prefills the prompts it has admitted in order, whatever their priority, so a
 * burst of long prompts would delay every short one. Here urgent requests go
 * first, and long prompts wait until a replica has little left to prefill.
 *
 * This covers load peaks and the cold caches that follow new weights. In a fair
 * queue, a request that others have overtaken for a while holds back those
 * behind it, and one that cannot be placed in its time is given up early.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export abstract class PlacementQueue {
  /**
   * Calls `place` until it returns a value, and resolves with that value.
   * Resolves with undefined when the deadline has passed or the request is
   * abandoned. Lower ranks go first; equal ranks go in order of arrival.
   */
  abstract wait<Placed>(
    request: WaitRequest<Placed>,
  ): Promise<Placed | undefined>;
  /** Retries the placements now, because a replica may have free capacity. */
  abstract retry(): void;
  abstract size(): number;
  /**
   * Estimates how long a new request of the rank would wait in its lane, from
   * the number of requests ahead of it and the recent rate of placements. 0 when
   * none is ahead.
   */
  abstract estimateWait(rank: number, lane?: string): Milliseconds;
  /** Requests of the lane that go before a new one of the rank. */
  abstract countAhead(rank: number, lane?: string): number;
  /**
   * Time after which a request that was given up is likely to be placed;
   * undefined unless the queue is fair.
   */
  abstract retryDelay(rank: number, lane?: string): Milliseconds | undefined;
}

export interface WaitRequest<Placed> {
  /**
   * Names the replicas that can take the request. Requests of different lanes
   * do not wait for each other.
   */
  readonly lane?: string;
  /**
   * Names the replicas of the lane to which the request is bound, if only some of
   * them can take it. It does not hold back the others of the lane.
   */
  readonly bound?: string | undefined;
  /** Position by priority; the lowest goes first. */
  readonly rank: number;
  readonly place: () => Placed | undefined;
  /** End of the wait, on the monotonic clock. */
  readonly deadline: Milliseconds;
  /** Time that must be left at the placement for it to be of use. */
  readonly needs?: Milliseconds;
  readonly isAbandoned: () => boolean;
}

interface QueueEntry {
  readonly rank: number;
  readonly bound: string;
  readonly since: Milliseconds;
  /** Latest time of a placement that is of use. */
  readonly latest: Milliseconds;
  /** True once a request behind this one has been placed. */
  isOvertaken: boolean;
  /**
   * Ends the wait if its deadline has passed; returns true when it has ended.
   */
  readonly expire: () => boolean;
  /** Tries to place the request; returns true when its wait has ended. */
  readonly attempt: () => boolean;
  readonly giveUp: () => void;
}

/** Requests that wait for the same replicas, by rank and in order of arrival. */
interface Lane {
  readonly byRank: Map<number, Set<QueueEntry>>;
  /** Ranks of `byRank`, the most urgent first. */
  ranks: readonly number[];
  /** Times of recent placements, oldest first. */
  readonly placements: Milliseconds[];
  /** The request that holds back those behind it. */
  holder: QueueEntry | undefined;
  holdUntil: Milliseconds;
  nextHold: Milliseconds;
  nextReview: Milliseconds;
}

/** Interval between retries when no other event triggers one. */
const RETRY_PERIOD: Milliseconds = 15;

/** Time window over which the rate of placements is measured. */
const RATE_WINDOW: Milliseconds = 1_500;

const DEFAULT_LANE = "";

const UNBOUND = "";

/**
 * Failed placements after which a pass leaves a lane, because the requests
 * behind are unlikely to fit either. Those that are bound to some replicas say
 * this only of others that are bound to the same.
 */
const MAX_REFUSED_PER_PASS = 8;

/** Share of its wait after which an overtaken request holds back others. */
const HOLD_START = 0.25;

/** Share of its wait for which it may do so; the next hold waits as long. */
const HOLD_SHARE = 0.25;

/** Interval between looks for requests that cannot be placed in time. */
const REVIEW_PERIOD: Milliseconds = 100;

/** A request is given up when it would wait this many times its time left. */
const HOPELESS_FACTOR = 2;

/** Placements in the window from which their rate says something. */
const MIN_RATE_SAMPLES = 3;

const MIN_RETRY_DELAY: Milliseconds = 250;

/** Lanes beyond which those without a request are dropped. */
const MAX_IDLE_LANES = 32;

export interface PlacementQueueOptions {
  /**
   * Returns true when this process runs late. Waiting requests are then placed
   * only after the process has read which callers have left.
   */
  readonly isLate?: () => boolean;
  /**
   * Returns false when overtaken requests hold back no others, and requests
   * wait until their deadline; by default the queue is fair.
   */
  readonly isFair?: () => boolean;
  /** Least time between two passes; each pass tries several placements. */
  readonly spacing?: () => Milliseconds;
}

export function createPlacementQueue(
  clock: Clock,
  options: PlacementQueueOptions = {},
): PlacementQueue {
  const { isLate = () => false, isFair = () => true } = options;
  const { spacing = () => 0 } = options;
  const lanes = new Map<string, Lane>();
  let size = 0;
  let timer: NodeJS.Timeout | undefined;
  let spacedPass: NodeJS.Timeout | undefined;
  let isPlacing = false;
  let lastPass: Milliseconds = -Infinity;

  function laneOf(name: string): Lane {
    const known = lanes.get(name);
    if (known !== undefined) return known;
    const lane: Lane = {
      ...{ byRank: new Map(), ranks: [], placements: [], holder: undefined },
      ...{ holdUntil: 0, nextHold: 0, nextReview: 0 },
    };
    lanes.set(name, lane);
    return lane;
  }

  function enter(lane: Lane, entry: QueueEntry): void {
    const known = lane.byRank.get(entry.rank);
    if (known === undefined) {
      lane.byRank.set(entry.rank, new Set([entry]));
      lane.ranks = [...lane.byRank.keys()].sort((left, right) => left - right);
    } else known.add(entry);
    size += 1;
  }

  function leave(lane: Lane, entry: QueueEntry): void {
    if (lane.byRank.get(entry.rank)?.delete(entry) !== true) return;
    if (lane.holder === entry) lane.holder = undefined;
    size -= 1;
  }

  function* entriesOf({ byRank, ranks }: Lane): Generator<QueueEntry> {
    for (const rank of ranks) yield* byRank.get(rank) ?? [];
  }

  function countUpTo({ byRank, ranks }: Lane, rank: number): number {
    let count = 0;
    for (const other of ranks) {
      if (other > rank) break;
      count += byRank.get(other)?.size ?? 0;
    }
    return count;
  }

  function countRecent({ placements }: Lane): number {
    const oldest = clock.monotonic() - RATE_WINDOW;
    const kept = placements.findIndex((at) => at > oldest);
    placements.splice(0, kept < 0 ? placements.length : kept);
    return placements.length;
  }

  function timePerPlacement(lane: Lane): Milliseconds {
    return RATE_WINDOW / Math.max(1, countRecent(lane));
  }

  function placeEntries(): void {
    if (isPlacing) return;
    isPlacing = true;
    lastPass = clock.monotonic();
    for (const lane of lanes.values()) placeLane(lane);
    dropIdleLanes();
    isPlacing = false;
    schedule();
  }

  /** Lanes are named by what requests exclude as well, so they are bounded. */
  function dropIdleLanes(): void {
    if (lanes.size <= MAX_IDLE_LANES) return;
    for (const [name, lane] of lanes) {
      if (countUpTo(lane, Infinity) === 0) lanes.delete(name);
    }
  }

  /** A request with none ahead of it need not wait for the next pass. */
  function placeNew(lane: Lane, entry: QueueEntry): void {
    const due = timeToPass();
    if (due <= 0) return placeEntries();
    if (countUpTo(lane, entry.rank) > 1) return placeAfter(due);
    if (entry.attempt()) leave(lane, entry);
    else schedule();
  }

  function timeToPass(): Milliseconds {
    return lastPass + spacing() - clock.monotonic();
  }

  function placeLane(lane: Lane): void {
    const refused: QueueEntry[] = [];
    const refusals = new Map<string, number>();
    for (const entry of entriesOf(lane)) {
      const { bound } = entry;
      const before = refusals.get(bound) ?? 0;
      if (before >= MAX_REFUSED_PER_PASS) continue;
      if (entry.attempt()) {
        leave(lane, entry);
        for (const other of refused) other.isOvertaken = true;
        continue;
      }
      refusals.set(bound, before + 1);
      if (bound !== UNBOUND) continue;
      refused.push(entry);
      if (holds(lane, entry) || refused.length >= MAX_REFUSED_PER_PASS) break;
    }
    if (isFair() && size > 0) giveUpHopeless(lane);
  }

  /** True while the refused request holds back those behind it. */
  function holds(lane: Lane, entry: QueueEntry): boolean {
    const now = clock.monotonic();
    if (lane.holder === entry) {
      if (now < lane.holdUntil) return true;
      lane.holder = undefined;
      return false;
    }
    if (!entry.isOvertaken || !isFair()) return false;
    const whole = entry.latest - entry.since;
    const isDue = now - entry.since > whole * HOLD_START;
    if (lane.holder !== undefined || !isDue || now < lane.nextHold) {
      return false;
    }
    lane.holder = entry;
    lane.holdUntil = now + whole * HOLD_SHARE;
    lane.nextHold = lane.holdUntil + whole * HOLD_SHARE;
    return true;
  }

  /** Gives up requests so far back that they cannot be placed in time. */
  function giveUpHopeless(lane: Lane): void {
    const now = clock.monotonic();
    if (now < lane.nextReview) return;
    lane.nextReview = now + REVIEW_PERIOD;
    if (countRecent(lane) < MIN_RATE_SAMPLES) return;
    const each = timePerPlacement(lane);
    let ahead = 0;
    for (const entry of entriesOf(lane)) {
      const left = entry.latest - now;
      if (ahead * each > left * HOPELESS_FACTOR || left <= 0) {
        entry.giveUp();
        leave(lane, entry);
      } else ahead += 1;
    }
  }

  function schedule(): void {
    if (size === 0 || timer !== undefined) return;
    timer = setTimeout(() => {
      // Timers run before the sockets are read.
      setImmediate(() => {
        timer = undefined;
        dropExpired();
        placeEntries();
      });
    }, RETRY_PERIOD);
  }

  function placeAfter(delay: Milliseconds): void {
    spacedPass ??= setTimeout(() => {
      setImmediate(() => {
        spacedPass = undefined;
        placeEntries();
      });
    }, delay);
  }

  /** Ends expired waits that the placement passes do not reach. */
  function dropExpired(): void {
    for (const lane of lanes.values()) {
      let at = 0;
      for (const entry of entriesOf(lane)) {
        at += 1;
        const isTried = at <= MAX_REFUSED_PER_PASS && lane.holder === undefined;
        if (!isTried && entry.expire()) leave(lane, entry);
      }
    }
  }

  return new (class extends PlacementQueue {
    override wait<Placed>(
      request: WaitRequest<Placed>,
    ): Promise<Placed | undefined> {
      const { rank, place, deadline, isAbandoned, needs = 0 } = request;
      const { bound = UNBOUND } = request;
      const lane = laneOf(request.lane ?? DEFAULT_LANE);
      return new Promise((resolve) => {
        const latest = deadline - needs;
        const expire = () => {
          if (!isAbandoned() && clock.monotonic() < latest) return false;
          resolve(undefined);
          return true;
        };
        const entry: QueueEntry = {
          ...{ rank, bound, since: clock.monotonic(), latest, expire },
          isOvertaken: false,
          attempt() {
            if (expire()) return true;
            const placed = place();
            if (placed === undefined) return false;
            countRecent(lane);
            lane.placements.push(clock.monotonic());
            resolve(placed);
            return true;
          },
          giveUp: () => resolve(undefined),
        };
        enter(lane, entry);
        placeNew(lane, entry);
      });
    }

    override retry(): void {
      if (size === 0) return;
      const due = timeToPass();
      if (isLate()) schedule();
      else if (due > 0) placeAfter(due);
      else placeEntries();
    }

    override estimateWait(rank: number, lane = DEFAULT_LANE): Milliseconds {
      const ahead = this.countAhead(rank, lane);
      return ahead === 0 ? 0 : ahead * timePerPlacement(laneOf(lane));
    }

    override countAhead(rank: number, name = DEFAULT_LANE): number {
      const lane = lanes.get(name);
      return lane === undefined ? 0 : countUpTo(lane, rank);
    }

    override retryDelay(
      rank: number,
      lane = DEFAULT_LANE,
    ): Milliseconds | undefined {
      if (!isFair()) return undefined;
      return Math.max(MIN_RETRY_DELAY, this.estimateWait(rank, lane));
    }

    override size(): number {
      return size;
    }
  })();
}
