/**
 * A hybrid logical clock: its stamps stay close to the wall clock and preserve
 * causal order between processes. A stamp received with a message is smaller
 * than every stamp that the receiver creates afterwards.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";

/** HTTP header for the sender's stamp. */
export const CLOCK_HEADER = "x-peridotvalve-clock";

/**
 * The wall clocks of VMs can be off by minutes. A stamp further ahead than this
 * is attributed to a faulty clock and not adopted; otherwise one faulty clock
 * would move every other clock ahead.
 */
export const MAX_DRIFT: Milliseconds = 10 * 60_000;

const RADIX = 36;
const STAMP_PATTERN = /^([0-9a-z]{1,10})\.([0-9a-z]{1,8})$/;

export interface Stamp {
  readonly time: Timestamp;
  /** Orders stamps with the same time. */
  readonly counter: number;
}

/** A stamp was not adopted, because it is too far ahead of the wall clock. */
export interface Drift {
  readonly kind: "drift";
  readonly ahead: Milliseconds;
}

export abstract class HybridClock {
  /** Creates a stamp that is greater than all earlier and all observed ones. */
  abstract tick(): Stamp;

  /** Adopts a received stamp, or returns a `Drift` if it is too far ahead. */
  abstract observe(stamp: Stamp): Result<void, Drift>;

  /** Returns the newest stamp without creating one. */
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

/** Comparator for `Array.prototype.sort`: negative, zero or positive. */
export function compareStamps(left: Stamp, right: Stamp): number {
  return left.time - right.time || left.counter - right.counter;
}

/** Encodes a stamp compactly for headers, datagrams and log lines. */
export function formatStamp(stamp: Stamp): string {
  const time = stamp.time.toString(RADIX);
  return `${time}.${stamp.counter.toString(RADIX)}`;
}

/** Decodes the compact form of a stamp; fails if the text is malformed. */
export function parseStamp(text: string): Result<Stamp, string> {
  const match = STAMP_PATTERN.exec(text);
  if (match === null) return Err("not a clock stamp");
  const time = parseInt(match[1] ?? "", RADIX);
  const counter = parseInt(match[2] ?? "", RADIX);
  return Ok({ time, counter });
}
