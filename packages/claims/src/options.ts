/**
 * Options of claims and their defaults.
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
 * Stamps of a logical clock that are stored in claim rows, so that a process
 * that reads a row orders its events after those of the writer.
 */
export interface ClaimStamps {
  tick(): string;
  observe(stamp: string, owner: string): void;
}

const NO_STAMPS: ClaimStamps = { tick: () => "", observe: () => {} };

export interface ClaimsOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /** Incarnation of this process. */
  readonly owner: string;
  /**
   * Time from the start of a claim in which its call may be sent. It must be
   * shorter than the sweeper's `claimTimeout`.
   */
  readonly sendDeadline?: Milliseconds;
  /** Time for one call of the platform. */
  readonly timeout?: Milliseconds;
  /** Time in which a claim is decided; undecided after it is "not claimed". */
  readonly claimDeadline?: Milliseconds;
  /** Time for which an outcome is tried to be stored, also in an outage. */
  readonly storeLimit?: Milliseconds;
  /** Time for which an own row that must go is tried to be removed. */
  readonly removalLimit?: Milliseconds;
  /**
   * Longest time after which the platform may still carry out a command whose
   * answer was lost. A removal looks for its row at least this long.
   */
  readonly lateEffectLimit?: Milliseconds;
  /** Longest body that is stored with an outcome. */
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
