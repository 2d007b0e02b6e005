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

/** Bytes that early rounds may send ahead of the budget: 3 s of it. */
const MAX_DEFICIT: Bytes = 3 * SEND_BUDGET;

const MILLISECONDS_PER_SECOND = 1_000;

export interface Pacer {
  /** Charges sent bytes to the budget. */
  recordSent(bytes: Bytes): void;
  /** Delay until the next round if `bytes` are sent now. */
  delayAfter(bytes: Bytes): Milliseconds;
  /** True when an early round may be sent ahead of the budget. */
  hasCredit(): boolean;
}

export function createPacer(clock: Clock): Pacer {
  let deficit: Bytes = 0;
  let updated = clock.monotonic();

  function currentDeficit(): Bytes {
    const elapsed = clock.monotonic() - updated;
    return Math.max(
      0,
      deficit - elapsed * SEND_BUDGET / MILLISECONDS_PER_SECOND,
    );
  }

  return {
    recordSent(bytes) {
      deficit = currentDeficit() + bytes;
      updated = clock.monotonic();
    },
    delayAfter(bytes) {
      const delay = (currentDeficit() + bytes) * MILLISECONDS_PER_SECOND /
        SEND_BUDGET;
      return Math.max(MIN_INTERVAL, delay);
    },
    hasCredit: () => currentDeficit() < MAX_DEFICIT,
  };
}

/** Maximum length of a heartbeat that is sent to `targets` peers. */
export function maxHeartbeatLength(targets: number): Bytes {
  const evenShare = SEND_BUDGET / Math.max(1, targets) - HEADER_BYTES;
  return Math.floor(Math.min(MAX_DATAGRAM, Math.max(MIN_HEARTBEAT, evenShare)));
}
