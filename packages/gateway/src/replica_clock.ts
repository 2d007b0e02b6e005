/**
 * Estimates the clock of the replicas and stores from the timestamps in their
 * responses.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";

export abstract class ReplicaClock {
  /** Records a timestamp carried by a response that has just arrived. */
  abstract observe(time: Timestamp): void;
  /**
   * The present time on that clock, or an earlier one; undefined before the
   * first timestamp.
   */
  abstract now(): Timestamp | undefined;
}

export function createReplicaClock(clock: Clock): ReplicaClock {
  // Network delay makes the clock appear slow, so the greatest offset is the
  // best estimate.
  let offset: Milliseconds | undefined;

  return new (class extends ReplicaClock {
    override observe(time: Timestamp): void {
      const observed = time - clock.monotonic();
      offset = offset === undefined ? observed : Math.max(offset, observed);
    }

    override now(): Timestamp | undefined {
      if (offset === undefined) return undefined;
      return Math.floor(clock.monotonic() + offset);
    }
  })();
}
