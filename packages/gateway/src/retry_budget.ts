/**
 * A budget of extra attempts for each service. Each daemon may add a fixed
 * share to its own requests, so that the sum over all daemons keeps to the
 * bound without a word between them, also while they cannot talk.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export abstract class RetryBudget {
  abstract recordRequest(service: string): void;
  /** Takes one extra attempt, or says false. */
  abstract take(service: string): boolean;
  /** Extra attempts that could be taken now. */
  abstract left(service: string): number;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Extra attempts for each request that all daemons may make together. */
  readonly ratio: number;
  /** Length of the sliding window in which they are counted. */
  readonly window: Milliseconds;
  /** Extra attempts of this daemon beyond the ratio in one window. */
  readonly allowance: () => number;
}

/**
 * Part of the ratio that a daemon uses: requests near the ends of a window are
 * counted differently at the replica than here.
 */
const USED_SHARE = 0.85;

const SLICES = 10;

interface Slice {
  readonly index: number;
  requests: number;
  extras: number;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, ratio, window, allowance } = options;
  const services = new Map<string, Slice[]>();
  const length = window / SLICES;

  function slicesOf(service: string): Slice[] {
    const index = Math.floor(clock.monotonic() / length);
    const slices = (services.get(service) ?? []).filter((slice) =>
      slice.index > index - SLICES - 1
    );
    if (slices.at(-1)?.index !== index) {
      slices.push({ index, requests: 0, extras: 0 });
    }
    services.set(service, slices);
    return slices;
  }

  function left(slices: readonly Slice[]): number {
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const extras = slices.reduce((sum, slice) => sum + slice.extras, 0);
    return allowance() + requests * ratio * USED_SHARE - extras;
  }

  return new (class extends RetryBudget {
    override recordRequest(service: string): void {
      const last = slicesOf(service).at(-1);
      if (last !== undefined) last.requests += 1;
    }

    override take(service: string): boolean {
      const slices = slicesOf(service);
      const last = slices.at(-1);
      if (last === undefined || left(slices) < 1) return false;
      last.extras += 1;
      return true;
    }

    override left(service: string): number {
      return Math.max(0, Math.floor(left(slicesOf(service))));
    }
  })();
}
