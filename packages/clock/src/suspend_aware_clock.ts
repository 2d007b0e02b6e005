/**
 * A monotonic clock that includes the time during which the VM was suspended.
 * The kernel's monotonic clock stops during a suspension, so an expired lease
 * would still look valid. The wall clock continues, which reveals the gap.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Clock } from "./clock.ts";

/** Smaller differences are treated as wall-clock adjustments. */
const MIN_SUSPENSION: Milliseconds = 100;

export function createSuspendAwareClock(inner: Clock): Clock {
  let lastMonotonic = inner.monotonic();
  let lastWall = inner.now();
  let suspended: Milliseconds = 0;

  function readMonotonic(): Milliseconds {
    const [monotonic, wall] = [inner.monotonic(), inner.now()];
    const difference = wall - lastWall - (monotonic - lastMonotonic);
    // Setting the wall clock forward also counts as a suspension. A lease then
    // expires too early, but never too late.
    if (difference >= MIN_SUSPENSION) suspended += difference;
    lastMonotonic = monotonic;
    lastWall = wall;
    return monotonic + suspended;
  }

  return new (class extends Clock {
    override now(): Timestamp {
      return inner.now();
    }

    override monotonic(): Milliseconds {
      return readMonotonic();
    }

    override sleep(
      duration: Milliseconds,
      signal?: AbortSignal,
    ): Promise<void> {
      return inner.sleep(duration, signal);
    }
  })();
}
