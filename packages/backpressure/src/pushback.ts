/**
 * Replicas that want no requests from this daemon for a time: the `Retry-After`
 * of a refusal. It concerns the daemon that was refused, so peers are not told.
 * Other answers of the replica do not shorten the time, and it ends with the
 * incarnation.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { type Incarnation, incarnationHash } from "./incarnation.ts";

export abstract class Pushback {
  /** Records that the replica wants no requests for the delay. */
  abstract record(replica: Incarnation, delay: Milliseconds): void;
  /** Returns true while a replica wants no requests. */
  abstract isAnyActive(): boolean;
  /** Returns true while the replica wants no requests. */
  abstract isActive(replica: Incarnation): boolean;
  /**
   * Time until one of the replicas takes requests; 0 when one does now, or when
   * there are none.
   */
  abstract estimateWait(replicas: readonly Incarnation[]): Milliseconds;
}

export interface PushbackOptions {
  readonly clock: Clock;
  /** Called when a replica begins to want no requests. */
  readonly onBegin?: (replica: Incarnation, delay: Milliseconds) => void;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/**
 * Share of the delay, and the most, that a daemon waits in addition, so that
 * daemons that were refused together do not return together.
 */
const SPREAD_SHARE = 0.1;
const MAX_SPREAD: Milliseconds = 500;

/** More replicas than a fleet has; the oldest entries are dropped. */
const MAX_REPLICAS = 2_000;

export function createPushback(options: PushbackOptions): Pushback {
  const { clock, onBegin = () => {}, random = Math.random } = options;
  /** End of each pushback on the monotonic clock, by incarnation. */
  const ends = new Map<string, Milliseconds>();
  let lastEnd: Milliseconds = -Infinity;

  function isAnyActive(): boolean {
    if (ends.size === 0) return false;
    if (clock.monotonic() < lastEnd) return true;
    ends.clear();
    return false;
  }

  function timeLeft(replica: Incarnation): Milliseconds {
    if (!isAnyActive()) return 0;
    const key = incarnationHash(replica);
    const left = (ends.get(key) ?? -Infinity) - clock.monotonic();
    if (left > 0) return left;
    ends.delete(key);
    return 0;
  }

  return new (class extends Pushback {
    override record(replica: Incarnation, delay: Milliseconds): void {
      if (delay <= 0) return;
      const left = timeLeft(replica);
      if (delay <= left) return;
      if (left === 0) onBegin(replica, delay);
      const spread = Math.min(MAX_SPREAD, delay * SPREAD_SHARE) * random();
      const key = incarnationHash(replica);
      ends.delete(key);
      const end = clock.monotonic() + delay + spread;
      ends.set(key, end);
      lastEnd = Math.max(lastEnd, end);
      for (const oldest of ends.keys()) {
        if (ends.size <= MAX_REPLICAS) break;
        ends.delete(oldest);
      }
    }

    override isAnyActive = isAnyActive;

    override isActive(replica: Incarnation): boolean {
      return timeLeft(replica) > 0;
    }

    override estimateWait(replicas: readonly Incarnation[]): Milliseconds {
      if (!isAnyActive() || replicas.length === 0) return 0;
      return Math.min(...replicas.map(timeLeft));
    }
  })();
}
