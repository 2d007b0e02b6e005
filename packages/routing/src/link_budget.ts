/**
 * The budget of bytes that this daemon may send over the region link, divided
 * fairly among the customers that use it.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";

export abstract class LinkBudget {
  /** Bytes that the customer could reserve now. */
  abstract available(customer: string): Bytes;

  /** Rate at which the customer's bytes cross the link. */
  abstract bytesPerSecond(customer: string): number;

  /** Takes the bytes and says true, or takes nothing and says false. */
  abstract reserve(customer: string, bytes: Bytes): boolean;
}

export interface LinkBudgetOptions {
  readonly clock: Clock;
  /** Rate of the link that the whole system may use: link rate x share. */
  readonly bytesPerSecond: () => number;
  /** Daemons among which the rate is divided. */
  readonly liveDaemons: () => number;
  /** Weight of a customer in the division. */
  readonly shareOf: (customer: string) => number;
  /** Time of filling that the budget can save up. */
  readonly burst?: Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

const DEFAULT_BURST: Milliseconds = 1_000;

/**
 * Lets a prompt of four blocks of 2,000 tokens pass at 360 daemons, where the
 * filling is about 7 kB/s. All daemons at once then send 12 MB, which is 5 s of
 * a link of 20 Mbit/s.
 */
const MINIMUM_BURST: Bytes = 32_768;

/** A customer that asked for nothing in this time has no part of the filling. */
const IDLE_TIMEOUT: Milliseconds = 10_000;

interface CustomerBucket {
  bytes: Bytes;
  usedAt: Milliseconds;
}

/**
 * A token bucket split into an account for each active customer and a common
 * rest. The accounts and the rest never hold more than the burst together.
 */
export function createLinkBudget(options: LinkBudgetOptions): LinkBudget {
  const { clock, shareOf } = options;
  const burstTime = options.burst ?? DEFAULT_BURST;
  const buckets = new Map<string, CustomerBucket>();
  let sharedBytes: Bytes = burstBytes();
  let refilledAt = clock.monotonic();

  function rate(): number {
    return options.bytesPerSecond() / Math.max(1, options.liveDaemons());
  }

  function burstBytes(): Bytes {
    const saved = rate() * burstTime / MILLISECONDS_PER_SECOND;
    return Math.max(saved, MINIMUM_BURST);
  }

  function totalShare(): number {
    let total = 0;
    for (const customer of buckets.keys()) total += shareOf(customer);
    return total;
  }

  /** Brings all accounts to the present. */
  function refill(): void {
    const now = clock.monotonic();
    removeIdle(now);
    const elapsed = now - refilledAt;
    refilledAt = now;
    const limit = burstBytes();
    const added = rate() * elapsed / MILLISECONDS_PER_SECOND;
    const shares = totalShare();
    let allocated = 0;
    let sharedAfter = sharedBytes + added;
    for (const [customer, bucket] of buckets) {
      const fraction = shareOf(customer) / shares;
      const capacity = Math.max(0, limit * fraction - bucket.bytes);
      const credit = Math.min(added * fraction, capacity);
      bucket.bytes += credit;
      sharedAfter -= credit;
      allocated += bucket.bytes;
    }
    sharedBytes = Math.max(0, Math.min(sharedAfter, limit - allocated));
  }

  function removeIdle(now: Milliseconds): void {
    for (const [customer, bucket] of buckets) {
      if (now - bucket.usedAt <= IDLE_TIMEOUT) continue;
      sharedBytes += bucket.bytes;
      buckets.delete(customer);
    }
  }

  return new (class extends LinkBudget {
    override available(customer: string): Bytes {
      refill();
      return (buckets.get(customer)?.bytes ?? 0) + sharedBytes;
    }

    override bytesPerSecond(_customer: string): number {
      return options.bytesPerSecond();
    }

    override reserve(customer: string, bytes: Bytes): boolean {
      refill();
      const now = clock.monotonic();
      const bucket = buckets.get(customer) ?? { bytes: 0, usedAt: now };
      bucket.usedAt = now;
      buckets.set(customer, bucket);
      if (bucket.bytes + sharedBytes < bytes) return false;
      const own = Math.min(bucket.bytes, bytes);
      bucket.bytes -= own;
      sharedBytes -= bytes - own;
      return true;
    }
  })();
}
