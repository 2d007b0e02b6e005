/**
 * Hybrid logical clock: stamps that stay near the wall clock and respect cause
 * and effect between processes. A stamp that was received with a message is
 * smaller than every stamp that the receiver makes afterwards.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";

/** HTTP header that carries a stamp. */
export const CLOCK_HEADER = "x-peridotvalve-clock";

/**
 * Wall clocks of VMs can be wrong by minutes. A stamp further ahead is taken
 * as a broken clock, which must not push every other clock with it.
 */
export const MAX_DRIFT: Milliseconds = 10 * 60_000;

const RADIX = 36;
const STAMP_PATTERN = /^([0-9a-z]{1,10})\.([0-9a-z]{1,8})$/;

export interface Stamp {
  readonly time: Timestamp;
  /** Orders stamps of the same time. */
  readonly counter: number;
}

/** A stamp that was not adopted, and how far it is ahead of the wall clock. */
export interface Drift {
  readonly kind: "drift";
  readonly ahead: Milliseconds;
}

export abstract class HybridClock {
  /** A new stamp, greater than all earlier and all observed ones. */
  abstract tick(): Stamp;

  /** Takes over a received stamp, unless it is too far ahead. */
  abstract observe(stamp: Stamp): Result<void, Drift>;

  /** The newest stamp, without making a new one. */
  abstract latest(): Stamp;
}

export function createHybridClock(
  clock: Clock,
  options: { readonly maxDrift?: Milliseconds } = {},
): HybridClock {
  const maxDrift = options.maxDrift ?? MAX_DRIFT;
  let last: Stamp = { time: 0, counter: 0 };

  return new (class extends HybridClock {
    override tick(): Stamp {
      const now = Math.floor(clock.now());
      last = now > last.time
        ? { time: now, counter: 0 }
        : { time: last.time, counter: last.counter + 1 };
      return last;
    }

    override observe(stamp: Stamp): Result<void, Drift> {
      const ahead = stamp.time - clock.now();
      if (ahead > maxDrift) return Err({ kind: "drift", ahead });
      if (compareStamps(stamp, last) > 0) last = stamp;
      return Ok(undefined);
    }

    override latest(): Stamp {
      return last;
    }
  })();
}

/** Negative, zero or positive, as `Array.prototype.sort` takes it. */
export function compareStamps(left: Stamp, right: Stamp): number {
  return left.time - right.time || left.counter - right.counter;
}

/** The compact form for headers, datagrams and log lines. */
export function formatStamp(stamp: Stamp): string {
  const time = stamp.time.toString(RADIX);
  return `${time}.${stamp.counter.toString(RADIX)}`;
}

export function parseStamp(text: string): Result<Stamp, string> {
  const match = STAMP_PATTERN.exec(text);
  if (match === null) return Err("not a clock stamp");
  const time = parseInt(match[1] ?? "", RADIX);
  const counter = parseInt(match[2] ?? "", RADIX);
  return Ok({ time, counter });
}
