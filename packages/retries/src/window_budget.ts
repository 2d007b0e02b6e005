/**
 * Retry budget for each service. Each daemon may retry a fixed share of its own
 * requests, so the total over all daemons stays within the limit without
 * communication, also when they cannot reach each other.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export abstract class RetryBudget {
  abstract recordRequest(service: string): void;
  /** Takes one retry from the budget; returns false when none is left. */
  abstract take(service: string): boolean;
  /** Number of retries left now. */
  abstract left(service: string): number;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Retries per request that all daemons together may make. */
  readonly ratio: number;
  /**
   * Length of the sliding window over which requests and retries are counted.
   */
  readonly window: Milliseconds;
  /** Retries that this daemon may make in one window beyond the ratio. */
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
  requests: number;
  retries: number;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, ratio, window, allowance } = options;
  const services = new Map<string, Slice[]>();
  const sliceLength = window / SLICE_COUNT;

  function slicesOf(service: string): Slice[] {
    const index = Math.floor(clock.monotonic() / sliceLength);
    const slices = (services.get(service) ?? []).filter((slice) =>
      slice.index > index - SLICE_COUNT - 1
    );
    if (slices.at(-1)?.index !== index) {
      slices.push({ index, requests: 0, retries: 0 });
    }
    services.set(service, slices);
    return slices;
  }

  function left(slices: readonly Slice[]): number {
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
    return allowance() + requests * ratio * USED_SHARE - retries;
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
      last.retries += 1;
      return true;
    }

    override left(service: string): number {
      return Math.max(0, Math.floor(left(slicesOf(service))));
    }
  })();
}
