/**
 * Attempt budget over a sliding window, for upstreams that limit retries in each
 * window. Each daemon takes a fixed share of its own requests, so the total of
 * all daemons stays within the limit without communication, also when they
 * cannot reach each other.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { AttemptBudget } from "./budget.ts";

export abstract class WindowBudget extends AttemptBudget {
  /** Extra attempts left now. */
  abstract left(key: string): number;
}

export interface WindowBudgetOptions {
  readonly clock: Clock;
  /** Extra attempts per first attempt that all daemons together may make. */
  readonly ratio: () => number;
  /** Length of the sliding window over which attempts are counted. */
  readonly window: Milliseconds;
  /** Extra attempts of this daemon in one window beyond the ratio. */
  readonly allowance: () => number;
}

/**
 * Share of the ratio that a daemon uses, because a replica counts requests near
 * the ends of a window differently.
 */
const USED_SHARE = 0.85;

const SLICE_COUNT = 10;

interface Slice {
  readonly index: number;
  firstAttempts: number;
  extraAttempts: number;
}

/** Creates a budget with a window of its own for each key. */
export function createWindowBudget(options: WindowBudgetOptions): WindowBudget {
  const { clock, ratio, window, allowance } = options;
  const slicesByKey = new Map<string, Slice[]>();
  const sliceLength = window / SLICE_COUNT;

  function slicesOf(key: string): Slice[] {
    const index = Math.floor(clock.monotonic() / sliceLength);
    const slices = (slicesByKey.get(key) ?? []).filter((slice) =>
      slice.index > index - SLICE_COUNT - 1
    );
    if (slices.at(-1)?.index !== index) {
      slices.push({ index, firstAttempts: 0, extraAttempts: 0 });
    }
    slicesByKey.set(key, slices);
    return slices;
  }

  function remaining(slices: readonly Slice[]): number {
    const first = slices.reduce((sum, slice) => sum + slice.firstAttempts, 0);
    const extra = slices.reduce((sum, slice) => sum + slice.extraAttempts, 0);
    return allowance() + first * ratio() * USED_SHARE - extra;
  }

  return new (class extends WindowBudget {
    override recordFirstAttempt(key: string): void {
      const last = slicesOf(key).at(-1);
      if (last !== undefined) last.firstAttempts += 1;
    }

    override canTake(key: string): boolean {
      return remaining(slicesOf(key)) >= 1;
    }

    override tryTake(key: string): boolean {
      const slices = slicesOf(key);
      const last = slices.at(-1);
      if (last === undefined || remaining(slices) < 1) return false;
      last.extraAttempts += 1;
      return true;
    }

    override left(key: string): number {
      return Math.max(0, Math.floor(remaining(slicesOf(key))));
    }
  })();
}
