/**
 * A monotonic clock that also counts the time in which the VM was suspended.
 * The steady clock of the kernel stands still meanwhile, so a lease would seem
 * to last; the wall clock goes on.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Clock } from "./clock.ts";

/** Smaller differences are adjustments of the wall clock. */
const LEAST_SUSPENSION: Milliseconds = 100;

export function createSuspendAwareClock(inner: Clock): Clock {
  let steady = inner.monotonic();
  let wall = inner.now();
  let suspended: Milliseconds = 0;

  function read(): Milliseconds {
    const [nextSteady, nextWall] = [inner.monotonic(), inner.now()];
    const difference = nextWall - wall - (nextSteady - steady);
    // A wall clock that is set forward counts as a suspension, which ends a
    // lease too early and never too late.
    if (difference >= LEAST_SUSPENSION) suspended += difference;
    steady = nextSteady;
    wall = nextWall;
    return nextSteady + suspended;
  }

  return new (class extends Clock {
    override now(): Timestamp {
      return inner.now();
    }

    override monotonic(): Milliseconds {
      return read();
    }

    override sleep(
      duration: Milliseconds,
      signal?: AbortSignal,
    ): Promise<void> {
      return inner.sleep(duration, signal);
    }
  })();
}
