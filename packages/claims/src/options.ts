/**
 * Options of `createClaims` and their defaults.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Platform } from "@peridotvalve/tables";
import {
  type Bytes,
  type Milliseconds,
  MINUTE,
  SECOND,
} from "@peridotvalve/types";

/**
 * Logical clock whose stamps are stored in claim rows, so that the events of a
 * process that reads a row are ordered after those of its writer.
 */
export interface ClaimStamps {
  /** Advances the clock and returns the new stamp. */
  tick(): string;
  /** Merges a stamp that was read from a row of `owner`. */
  observe(stamp: string, owner: string): void;
}

const NO_STAMPS: ClaimStamps = { tick: () => "", observe: () => {} };

export interface ClaimsOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /** Incarnation of this process. */
  readonly owner: string;
  /**
   * Time after the start of a claim within which its call may be sent. Must be
   * shorter than the sweeper's `claimTimeout`.
   */
  readonly sendDeadline?: Milliseconds;
  /** Timeout of each platform call. */
  readonly timeout?: Milliseconds;
  /** Time within which a claim must be decided; otherwise "not claimed". */
  readonly claimDeadline?: Milliseconds;
  /** Time for which storing an outcome is retried, including in an outage. */
  readonly storeLimit?: Milliseconds;
  /** Time for which removing the row of an unsent attempt is retried. */
  readonly removalLimit?: Milliseconds;
  /**
   * Longest time after which the platform may still execute a command whose
   * response was lost. A removal checks for its row for at least this long.
   */
  readonly lateEffectLimit?: Milliseconds;
  /** Length of the longest body that is stored with an outcome. */
  readonly maxBodyBytes?: Bytes;
  readonly stamps?: ClaimStamps;
}

export type ClaimsContext = Required<ClaimsOptions>;

const KIBIBYTE: Bytes = 1_024;

export function withDefaults(options: ClaimsOptions): ClaimsContext {
  return {
    clock: createSystemClock(),
    sendDeadline: 5 * SECOND,
    timeout: SECOND,
    claimDeadline: 3 * SECOND,
    storeLimit: 15 * MINUTE,
    removalLimit: 15 * MINUTE,
    lateEffectLimit: 30 * SECOND,
    maxBodyBytes: 64 * KIBIBYTE,
    stamps: NO_STAMPS,
    ...options,
  };
}
