/**
 * The clock of the replicas and stores, estimated from the times that their
 * answers carry.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";

export abstract class ReplicaClock {
  /** Takes a time that an answer carried when it arrived. */
  abstract observe(time: Timestamp): void;
  /** The present time, or earlier; undefined while none was observed. */
  abstract now(): Timestamp | undefined;
}

export function createReplicaClock(clock: Clock): ReplicaClock {
  // An answer under way makes the clock seem slow, so the greatest counts.
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
