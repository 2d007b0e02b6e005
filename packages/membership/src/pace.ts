/**
 * Keeps the bytes sent within a budget. Every peer keeps to the same budget in
 * a full mesh, so a daemon receives on average as much as it sends, and the
 * two together stay under 9 KB/s (docs/design.md, section 4).
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { HEADER_BYTES, MAX_DATAGRAM } from "./datagram.ts";

/**
 * Bytes sent in a second with their UDP and IP headers. Twice this leaves
 * 1 KB/s for aggregates of other availability zones.
 */
export const SEND_BUDGET: Bytes = 4_000;

export const MIN_INTERVAL: Milliseconds = 1_000;

/**
 * Room in a heartbeat however many peers there are. With 44 peers it makes
 * rounds of at most 3 s.
 */
const MIN_ROOM: Bytes = 240;

/** Bytes that urgent rounds may send ahead of the budget: 3 s of it. */
const MAX_DEBT: Bytes = 3 * SEND_BUDGET;

const MILLISECONDS = 1_000;

export interface Pace {
  /** Notes bytes that were sent. */
  spend(bytes: Bytes): void;
  /** Time until the budget has room again, if so many bytes go out now. */
  waitAfter(bytes: Bytes): Milliseconds;
  /** True when an urgent round may go out before its time. */
  hasCredit(): boolean;
}

export function createPace(clock: Clock): Pace {
  let debt: Bytes = 0;
  let updated = clock.monotonic();

  function currentDebt(): Bytes {
    const elapsed = clock.monotonic() - updated;
    return Math.max(0, debt - elapsed * SEND_BUDGET / MILLISECONDS);
  }

  return {
    spend(bytes) {
      debt = currentDebt() + bytes;
      updated = clock.monotonic();
    },
    waitAfter(bytes) {
      const wait = (currentDebt() + bytes) * MILLISECONDS / SEND_BUDGET;
      return Math.max(MIN_INTERVAL, wait);
    },
    hasCredit: () => currentDebt() < MAX_DEBT,
  };
}

/** Greatest length of a heartbeat to so many peers. */
export function roomFor(targets: number): Bytes {
  const even = SEND_BUDGET / Math.max(1, targets) - HEADER_BYTES;
  return Math.floor(Math.min(MAX_DATAGRAM, Math.max(MIN_ROOM, even)));
}
