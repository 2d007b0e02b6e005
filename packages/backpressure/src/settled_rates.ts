/**
 * The rate by which a daemon claims its share of what a replica takes: the
 * lowest one of its last seconds. The rates of the peers are heard some time
 * after they have changed. Without the delay, daemons whose load rises together
 * would each take the others to send what they sent before.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, RequestRate } from "@peridotvalve/types";

export interface SharedRates {
  readonly own: RequestRate;
  readonly peers: RequestRate;
}

/**
 * Time in which the rates of the others are still on their way: a heartbeat, and
 * one more as it can be lost.
 */
export const SETTLING_TIME: Milliseconds = 1_500;

/** More replicas than a fleet has. */
const MAX_REPLICAS = 2_000;

/** The lowest own rates of a span of `SETTLING_TIME` and of the one before. */
interface Window {
  readonly start: Milliseconds;
  readonly lowest: RequestRate;
  readonly before: RequestRate;
}

export function createSettledRates(
  clock: Clock,
  rates: (id: string) => SharedRates,
): (id: string) => SharedRates {
  const windows = new Map<string, Window>();

  function advance(known: Window | undefined, own: RequestRate): Window {
    const now = clock.monotonic();
    const age = known === undefined ? Infinity : now - known.start;
    if (known !== undefined && age < SETTLING_TIME) {
      return { ...known, lowest: Math.min(known.lowest, own) };
    }
    // A rate that nobody asked for has only fallen since.
    const isAdjacent = known !== undefined && age < 2 * SETTLING_TIME;
    const before = isAdjacent ? known.lowest : own;
    return { start: now, lowest: own, before };
  }

  return (id) => {
    const { own, peers } = rates(id);
    const window = advance(windows.get(id), own);
    if (!windows.has(id) && windows.size >= MAX_REPLICAS) windows.clear();
    windows.set(id, window);
    return { own: Math.min(window.lowest, window.before), peers };
  };
}
