/**
 * Where prompts wait for a replica with room. Replicas read the prompts that
 * they have admitted in turn, whatever their priority, so a burst of long
 * prompts would stand before every short one; here the urgent go first and
 * long prompts wait until a replica has little left to read.
 *
 * Pattern answered: the crest of a swing, and cold caches after new weights.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export abstract class WaitingRoom {
  /**
   * Calls `place` until it gives something, the time is over or the signal
   * aborts. Lower ranks go first, and earlier ones among equals.
   */
  abstract wait<Placed>(
    request: WaitRequest<Placed>,
  ): Promise<Placed | undefined>;
  /** Looks again, because a replica may have room. */
  abstract poke(): void;
  abstract size(): number;
  /**
   * Time that a request would wait behind those that go before it, at the
   * pace at which requests were placed lately; 0 while nobody waits.
   */
  abstract estimateWait(rank: number): Milliseconds;
}

export interface WaitRequest<Placed> {
  /** 0 is first. */
  readonly rank: number;
  readonly place: () => Placed | undefined;
  /** On the monotonic clock. */
  readonly until: Milliseconds;
  readonly isAbandoned: () => boolean;
}

interface Waiting {
  readonly rank: number;
  /** Ends the wait if its time is over; true when it has ended. */
  readonly expire: () => boolean;
  /** Tries to place the request; true when the wait has ended. */
  readonly attempt: () => boolean;
}

/** Looks are made this far apart while nothing else causes one. */
const PERIOD: Milliseconds = 15;

/** Placements are counted over this time to tell their pace. */
const PACE_WINDOW: Milliseconds = 1_500;

/** Requests looked at in one go; those behind would not fit either. */
const LOOKS = 8;

export function createWaitingRoom(clock: Clock): WaitingRoom {
  let waiting: readonly Waiting[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isLooking = false;
  let placements: readonly Milliseconds[] = [];

  function notePlacement(): void {
    const now = clock.monotonic();
    const recent = placements.filter((at) => at > now - PACE_WINDOW);
    placements = [...recent, now];
  }

  function look(): void {
    if (isLooking) return;
    isLooking = true;
    const ended = new Set<Waiting>();
    let refused = 0;
    for (const entry of waiting) {
      if (entry.attempt()) ended.add(entry);
      else if (++refused >= LOOKS) break;
    }
    if (ended.size > 0) {
      waiting = waiting.filter((entry) => !ended.has(entry));
    }
    isLooking = false;
    schedule();
  }

  function schedule(): void {
    if (waiting.length === 0 || timer !== undefined) return;
    timer = setTimeout(() => {
      timer = undefined;
      dropEnded();
      look();
    }, PERIOD);
  }

  /** Ends the waits that are over, also those behind the first looks. */
  function dropEnded(): void {
    const behind = waiting.slice(LOOKS);
    const ended = new Set(behind.filter((entry) => entry.expire()));
    if (ended.size > 0) {
      waiting = waiting.filter((entry) => !ended.has(entry));
    }
  }

  return new (class extends WaitingRoom {
    override wait<Placed>(
      { rank, place, until, isAbandoned }: WaitRequest<Placed>,
    ): Promise<Placed | undefined> {
      return new Promise((resolve) => {
        const expire = () => {
          if (!isAbandoned() && clock.monotonic() < until) return false;
          resolve(undefined);
          return true;
        };
        const entry: Waiting = {
          rank,
          expire,
          attempt() {
            if (expire()) return true;
            const placed = place();
            if (placed === undefined) return false;
            notePlacement();
            resolve(placed);
            return true;
          },
        };
        const position = waiting.findIndex((other) => other.rank > rank);
        waiting = position < 0
          ? [...waiting, entry]
          : [...waiting.slice(0, position), entry, ...waiting.slice(position)];
        look();
      });
    }

    override poke(): void {
      if (waiting.length > 0) look();
    }

    override estimateWait(rank: number): Milliseconds {
      const ahead = waiting.filter((entry) => entry.rank <= rank).length;
      if (ahead === 0) return 0;
      const oldest = clock.monotonic() - PACE_WINDOW;
      const placed = placements.filter((at) => at > oldest).length;
      return ahead * PACE_WINDOW / Math.max(1, placed);
    }

    override size(): number {
      return waiting.length;
    }
  })();
}
