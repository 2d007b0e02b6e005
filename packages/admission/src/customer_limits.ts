/**
 * Concurrency and rate limits of customers. The limits apply to all daemons
 * together; each daemon enforces its part. One instance is shared by all model
 * groups and services of a daemon.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface CustomerQuota {
  /** Weight in fair queuing; greater than 0. */
  readonly share: number;
  /** Maximum concurrent requests over all daemons. */
  readonly concurrency: number;
  /** Maximum requests per second over all daemons. */
  readonly requestsPerSecond: number;
}

export abstract class CustomerLimits {
  abstract shareOf(customer: string): number;

  /** Whether one more request of the customer may run. */
  abstract mayRun(customer: string): boolean;

  /** Maximum concurrent requests of the customer on this daemon. */
  abstract concurrencyOf(customer: string): number;

  /** Records the start of a request. */
  abstract start(customer: string): void;

  /**
   * Records the end of a request. Throws an `Error` if no request of the
   * customer is running.
   */
  abstract finish(customer: string): void;

  /**
   * Takes one token of the customer's rate limit and returns 0. If none is
   * available, takes nothing and returns the time until one is, which is
   * infinite for a rate of 0.
   */
  abstract takeRateToken(customer: string): Milliseconds;

  /** Calls `listener` when a request of a customer at its limit ends. */
  abstract subscribe(listener: () => void): void;
}

export interface CustomerLimitOptions {
  readonly clock: Clock;
  readonly liveDaemons: () => number;
  /** The current quota; undefined for an unknown customer. */
  readonly quotaOf: (customer: string) => CustomerQuota | undefined;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Size of a bucket in seconds of its rate, because requests come in bursts. */
const BURST_SECONDS = 1;

/** A bucket idle for this long is full again unless its rate is below 1/min. */
const IDLE_TIMEOUT: Milliseconds = 60_000;

/** Idle buckets are removed once there are this many buckets. */
const SWEEP_THRESHOLD = 512;

const UNKNOWN_CUSTOMER_QUOTA: CustomerQuota = {
  share: 1,
  concurrency: 0,
  requestsPerSecond: 0,
};

interface Bucket {
  tokens: number;
  refilledAt: Milliseconds;
}

/**
 * Each daemon allows at least one concurrent request and a burst of at least
 * one. Otherwise a customer with a limit below the number of daemons could
 * never run on the daemon to which the load balancer sends it. The total can
 * therefore exceed such a limit by up to the number of daemons.
 */
export function createCustomerLimits(
  options: CustomerLimitOptions,
): CustomerLimits {
  const { clock } = options;
  const running = new Map<string, number>();
  const buckets = new Map<string, Bucket>();
  const listeners: (() => void)[] = [];

  function quotaOf(customer: string): CustomerQuota {
    return options.quotaOf(customer) ?? UNKNOWN_CUSTOMER_QUOTA;
  }

  function daemonPart(total: number): number {
    return total / Math.max(1, options.liveDaemons());
  }

  function refill(customer: string, rate: number): Bucket {
    const now = clock.monotonic();
    const burst = Math.max(1, rate * BURST_SECONDS);
    const known = buckets.get(customer);
    if (known === undefined) {
      sweep(now);
      const bucket = { tokens: burst, refilledAt: now };
      buckets.set(customer, bucket);
      return bucket;
    }
    const elapsed = (now - known.refilledAt) / MILLISECONDS_PER_SECOND;
    known.tokens = Math.min(burst, known.tokens + elapsed * rate);
    known.refilledAt = now;
    return known;
  }

  function sweep(now: Milliseconds): void {
    if (buckets.size < SWEEP_THRESHOLD) return;
    for (const [customer, bucket] of buckets) {
      if (now - bucket.refilledAt > IDLE_TIMEOUT) buckets.delete(customer);
    }
  }

  return new (class extends CustomerLimits {
    override shareOf(customer: string): number {
      return quotaOf(customer).share;
    }

    override concurrencyOf(customer: string): number {
      const { concurrency } = quotaOf(customer);
      if (concurrency <= 0) return 0;
      return Math.max(1, Math.floor(daemonPart(concurrency)));
    }

    override mayRun(customer: string): boolean {
      return (running.get(customer) ?? 0) < this.concurrencyOf(customer);
    }

    override start(customer: string): void {
      running.set(customer, (running.get(customer) ?? 0) + 1);
    }

    override finish(customer: string): void {
      const wasAtLimit = !this.mayRun(customer);
      const remaining = (running.get(customer) ?? 0) - 1;
      if (remaining < 0) throw new Error("more requests finished than started");
      if (remaining === 0) running.delete(customer);
      else running.set(customer, remaining);
      if (wasAtLimit) { for (const listener of listeners) listener(); }
    }

    override subscribe(listener: () => void): void {
      listeners.push(listener);
    }

    override takeRateToken(customer: string): Milliseconds {
      const rate = daemonPart(quotaOf(customer).requestsPerSecond);
      if (rate <= 0) return Number.POSITIVE_INFINITY;
      const bucket = refill(customer, rate);
      if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return 0;
      }
      return (1 - bucket.tokens) / rate * MILLISECONDS_PER_SECOND;
    }
  })();
}
