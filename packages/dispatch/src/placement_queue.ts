/**
 * Queue of prompts that wait for a replica with free capacity. A replica
 * prefills the prompts it has admitted in order, whatever their priority, so a
 * burst of long prompts would delay every short one. Here urgent requests go
 * first, and long prompts wait until a replica has little left to prefill.
 *
 * This covers load peaks and the cold caches that follow new weights.
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
}

export interface WaitRequest<Placed> {
  /**
   * Names the replicas that can take the request. Requests of different lanes
   * do not wait for each other.
   */
  readonly lane?: string;
  /** Position by priority; 0 goes first. */
  readonly rank: number;
  readonly place: () => Placed | undefined;
  /** End of the wait, on the monotonic clock. */
  readonly deadline: Milliseconds;
  readonly isAbandoned: () => boolean;
}

interface QueueEntry {
  readonly rank: number;
  readonly lane: string;
  /**
   * Ends the wait if its deadline has passed; returns true when it has ended.
   */
  readonly expire: () => boolean;
  /** Tries to place the request; returns true when its wait has ended. */
  readonly attempt: () => boolean;
}

/** Interval between retries when no other event triggers one. */
const RETRY_PERIOD: Milliseconds = 15;

/** Time window over which the rate of placements is measured. */
const RATE_WINDOW: Milliseconds = 1_500;

const DEFAULT_LANE = "";

/**
 * Failed placements after which a pass leaves a lane, because the requests
 * behind are unlikely to fit either.
 */
const MAX_REFUSED_PER_PASS = 8;

interface RecentPlacement {
  readonly lane: string;
  readonly at: Milliseconds;
}

export interface PlacementQueueOptions {
  /**
   * Returns true when this process runs late. Waiting requests are then placed
   * only after the process has read which callers have left.
   */
  readonly isLate?: () => boolean;
}

export function createPlacementQueue(
  clock: Clock,
  { isLate = () => false }: PlacementQueueOptions = {},
): PlacementQueue {
  let waiting: readonly QueueEntry[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isPlacing = false;
  let placements: readonly RecentPlacement[] = [];

  function recordPlacement(lane: string): void {
    const now = clock.monotonic();
    const recent = placements.filter(({ at }) => at > now - RATE_WINDOW);
    placements = [...recent, { lane, at: now }];
  }

  function placeEntries(): void {
    if (isPlacing) return;
    isPlacing = true;
    const ended = new Set<QueueEntry>();
    const refused = new Map<string, number>();
    for (const entry of waiting) {
      const count = refused.get(entry.lane) ?? 0;
      if (count >= MAX_REFUSED_PER_PASS) continue;
      if (entry.attempt()) ended.add(entry);
      else refused.set(entry.lane, count + 1);
    }
    if (ended.size > 0) {
      waiting = waiting.filter((entry) => !ended.has(entry));
    }
    isPlacing = false;
    schedule();
  }

  function schedule(): void {
    if (waiting.length === 0 || timer !== undefined) return;
    timer = setTimeout(() => {
      // Timers run before the sockets are read.
      setImmediate(() => {
        timer = undefined;
        dropExpired();
        placeEntries();
      });
    }, RETRY_PERIOD);
  }

  /** Ends expired waits that the placement passes do not reach. */
  function dropExpired(): void {
    const untried = waiting.slice(MAX_REFUSED_PER_PASS);
    const ended = new Set(untried.filter((entry) => entry.expire()));
    if (ended.size > 0) {
      waiting = waiting.filter((entry) => !ended.has(entry));
    }
  }

  return new (class extends PlacementQueue {
    override wait<Placed>(
      request: WaitRequest<Placed>,
    ): Promise<Placed | undefined> {
      const { rank, place, deadline, isAbandoned } = request;
      const { lane = DEFAULT_LANE } = request;
      return new Promise((resolve) => {
        const expire = () => {
          if (!isAbandoned() && clock.monotonic() < deadline) return false;
          resolve(undefined);
          return true;
        };
        const entry: QueueEntry = {
          rank,
          lane,
          expire,
          attempt() {
            if (expire()) return true;
            const placed = place();
            if (placed === undefined) return false;
            recordPlacement(lane);
            resolve(placed);
            return true;
          },
        };
        const position = waiting.findIndex((other) => other.rank > rank);
        waiting = position < 0
          ? [...waiting, entry]
          : [...waiting.slice(0, position), entry, ...waiting.slice(position)];
        placeEntries();
      });
    }

    override retry(): void {
      if (waiting.length === 0) return;
      if (isLate()) schedule();
      else placeEntries();
    }

    override estimateWait(rank: number, lane = DEFAULT_LANE): Milliseconds {
      const ahead =
        waiting.filter((entry) => entry.lane === lane && entry.rank <= rank)
          .length;
      if (ahead === 0) return 0;
      const oldest = clock.monotonic() - RATE_WINDOW;
      const placed =
        placements.filter((placement) =>
          placement.lane === lane && placement.at > oldest
        ).length;
      return ahead * RATE_WINDOW / Math.max(1, placed);
    }

    override countAhead(rank: number, lane = DEFAULT_LANE): number {
      return waiting.filter((entry) =>
        entry.lane === lane && entry.rank <= rank
      ).length;
    }

    override size(): number {
      return waiting.length;
    }
  })();
}
