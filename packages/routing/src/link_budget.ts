/**
 * Limits the bytes that this daemon may send over the region link and divides
 * them fairly among the customers that use it.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";

export abstract class LinkBudget {
  /** Bytes that the customer can reserve now. */
  abstract available(customer: string): Bytes;

  /** Rate at which a transfer of the customer crosses the link. */
  abstract bytesPerSecond(customer: string): number;

  /** Reserves the bytes if the budget allows it; false otherwise. */
  abstract reserve(customer: string, bytes: Bytes): boolean;
}

export interface LinkBudgetOptions {
  readonly clock: Clock;
  /** Link bandwidth for all daemons together: link rate x configured share. */
  readonly bytesPerSecond: () => number;
  /** Number of daemons among which the bandwidth is divided. */
  readonly liveDaemons: () => number;
  /** Weight of a customer when the budget is divided. */
  readonly shareOf: (customer: string) => number;
  /** Size of the budget as a duration of its refill rate. */
  readonly burst?: Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

const DEFAULT_BURST: Milliseconds = 1_000;

/**
 * Admits a prompt of four blocks of 2,000 tokens with 360 daemons, where the
 * refill rate is only about 7 kB/s. If all daemons send this burst at once, the
 * total is 12 MB, which takes 5 s on a link of 20 Mbit/s.
 */
const MINIMUM_BURST: Bytes = 32_768;

/**
 * A customer that requested nothing for this long gets no share of the refill.
 */
const IDLE_TIMEOUT: Milliseconds = 10_000;

interface CustomerBucket {
  bytes: Bytes;
  usedAt: Milliseconds;
}

/**
 * A token bucket that is split into a bucket for each active customer and a
 * shared remainder. Together they never hold more than the burst size.
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

  /** Refills all buckets for the time since the last refill. */
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
