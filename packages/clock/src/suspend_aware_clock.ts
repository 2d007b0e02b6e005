/**
 * A monotonic clock that also counts the time in which the VM was suspended.
 * The steady clock of the kernel stands still meanwhile, so a lease would seem
 * to last; the wall clock goes on.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Clock } from "./clock.ts";

/** Smaller differences are adjustments of the wall clock. */
const MIN_SUSPENSION: Milliseconds = 100;

export function createSuspendAwareClock(inner: Clock): Clock {
  let lastMonotonic = inner.monotonic();
  let lastWall = inner.now();
  let suspended: Milliseconds = 0;

  function readMonotonic(): Milliseconds {
    const [monotonic, wall] = [inner.monotonic(), inner.now()];
    const difference = wall - lastWall - (monotonic - lastMonotonic);
    // A wall clock that is set forward counts as a suspension, which ends a
    // lease too early and never too late.
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
