/**
 * Paces sending to a byte budget. In a full mesh whose peers all keep the same
 * budget, a daemon receives on average as many bytes as it sends, and the sum
 * stays below 9 KB/s (docs/design.md, section 4).
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { HEADER_BYTES, MAX_DATAGRAM } from "./datagram.ts";

/**
 * Bytes sent per second, including UDP and IP headers. Twice this value leaves
 * 1 KB/s of the 9 KB/s for aggregates of other availability zones.
 */
export const SEND_BUDGET: Bytes = 4_000;

/** Least time between two regular rounds of heartbeats. */
export const MIN_INTERVAL: Milliseconds = 1_000;

/**
 * Length that a heartbeat may always have, regardless of the number of peers.
 * With 44 peers it results in rounds of at most 3 s.
 */
const MIN_HEARTBEAT: Bytes = 240;

/** Time for which early rounds may send ahead of the budget, in seconds. */
const MAX_DEFICIT_SECONDS = 3;

const MILLISECONDS_PER_SECOND = 1_000;

/** Limits of the heartbeats that a daemon sends. */
export interface Pace {
  /** Bytes per second, including UDP and IP headers. */
  readonly bytesPerSecond: Bytes;
  readonly datagramsPerSecond: number;
  /** Least time between two regular rounds. */
  readonly minInterval: Milliseconds;
  /**
   * Least interval that heartbeats announce, so that a VM that is short of
   * processor time is not suspected after a few late rounds.
   */
  readonly minAnnouncedInterval: Milliseconds;
}

const DEFAULT_PACE: Pace = {
  bytesPerSecond: SEND_BUDGET,
  datagramsPerSecond: Infinity,
  minInterval: MIN_INTERVAL,
  minAnnouncedInterval: MIN_INTERVAL,
};

export interface Pacer {
  /** Charges sent bytes to the budget. */
  recordSent(bytes: Bytes): void;
  /** Delay until the next round if `bytes` are sent to `targets` now. */
  delayAfter(bytes: Bytes, targets: number): Milliseconds;
  /** True when an early round may be sent ahead of the budget. */
  hasCredit(): boolean;
  /** Interval to announce in a heartbeat with the delay until the next one. */
  announcedInterval(delay: Milliseconds): Milliseconds;
  /** Maximum length of a heartbeat that is sent to `targets` peers. */
  maxHeartbeatLength(targets: number): Bytes;
}

export function createPacer(clock: Clock, pace: Pace = DEFAULT_PACE): Pacer {
  const { bytesPerSecond, datagramsPerSecond, minInterval } = pace;
  let deficit: Bytes = 0;
  let updated = clock.monotonic();

  function currentDeficit(): Bytes {
    const elapsed = clock.monotonic() - updated;
    return Math.max(
      0,
      deficit - elapsed * bytesPerSecond / MILLISECONDS_PER_SECOND,
    );
  }

  return {
    recordSent(bytes) {
      deficit = currentDeficit() + bytes;
      updated = clock.monotonic();
    },
    delayAfter(bytes, targets) {
      const delay = (currentDeficit() + bytes) * MILLISECONDS_PER_SECOND /
        bytesPerSecond;
      const spacing = targets * MILLISECONDS_PER_SECOND / datagramsPerSecond;
      return Math.max(minInterval, delay, spacing);
    },
    hasCredit: () => currentDeficit() < MAX_DEFICIT_SECONDS * bytesPerSecond,
    announcedInterval: (delay) => Math.max(delay, pace.minAnnouncedInterval),
    maxHeartbeatLength(targets) {
      const evenShare = bytesPerSecond / Math.max(1, targets) - HEADER_BYTES;
      return Math.floor(
        Math.min(MAX_DATAGRAM, Math.max(MIN_HEARTBEAT, evenShare)),
      );
    },
  };
}
