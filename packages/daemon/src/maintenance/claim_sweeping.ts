/**
 * Settles abandoned claims and removes old ones. A lease ensures that only one
 * daemon scans the table.
 */
import { createClaimSweeper } from "@peridotvalve/claims";
import { type Clock, createSuspendAwareClock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import {
  createLease,
  type LeaseTerm,
  runUnderLease,
} from "@peridotvalve/lease";
import type { Platform } from "@peridotvalve/tables";
import {
  type Configuration,
  type Milliseconds,
  MINUTE,
} from "@peridotvalve/types";

const LEASE_NAME = "claims/sweep";

/** Daemons per availability zone that contend for the lease. */
const CONTENDERS_PER_ZONE = 1;

const SWEEP_INTERVAL: Milliseconds = MINUTE;

/**
 * Time beyond the longest service timeout within which the owner of a claim
 * settles it. Covers the send deadline and the storing of the outcome.
 */
const SETTLEMENT_ALLOWANCE: Milliseconds = 5 * MINUTE;

/** The lease's margin and renewal interval are its duration divided by this. */
const INTERVALS_PER_LEASE = 5;

export interface ClaimSweepingOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly log: EventLogger["log"];
  readonly holder: string;
  readonly leaseDuration: Milliseconds;
  readonly content: () => Configuration | undefined;
  readonly isReader: (subject: string, count: number) => boolean;
}

/** Runs until the signal aborts; the lease is then released. */
export async function runClaimSweeping(
  options: ClaimSweepingOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, platform, holder, leaseDuration } = options;
  const margin = leaseDuration / INTERVALS_PER_LEASE;
  const lease = createLease({
    ...{ platform, holder, margin },
    clock: createSuspendAwareClock(clock),
    contenderClock: clock,
    name: LEASE_NAME,
    duration: leaseDuration,
  });
  while (!signal.aborted) {
    if (options.isReader(LEASE_NAME, CONTENDERS_PER_ZONE)) {
      await runUnderLease((tenure) => sweep(tenure, options), {
        ...{ lease, clock, interval: margin },
        signal: createReaderSignal(options, signal),
      });
    }
    await clock.sleep(margin, signal);
  }
}

/** A signal that aborts when another daemon of the zone should contend. */
function createReaderSignal(
  { clock, isReader }: ClaimSweepingOptions,
  signal: AbortSignal,
): AbortSignal {
  const ended = new AbortController();
  const either = AbortSignal.any([ended.signal, signal]);
  const watch = async () => {
    while (!either.aborted) {
      await clock.sleep(SWEEP_INTERVAL, either);
      if (!isReader(LEASE_NAME, CONTENDERS_PER_ZONE)) ended.abort();
    }
  };
  void watch();
  return either;
}

async function sweep(
  tenure: LeaseTerm,
  options: ClaimSweepingOptions,
): Promise<void> {
  const { clock, platform, log } = options;
  log("lease_acquired", { lease: LEASE_NAME, fence: tenure.token });
  const claimTimeout = longestServiceTimeout(options.content()) +
    SETTLEMENT_ALLOWANCE;
  const sweeper = createClaimSweeper({ platform, clock, claimTimeout });
  while (!tenure.signal.aborted) {
    const { markedUnknown, removed } = await sweeper.sweep(tenure.signal);
    if (markedUnknown + removed > 0) {
      log("claims_swept", { markedUnknown, removed });
    }
    // A longer service timeout requires a new sweeper.
    if (
      longestServiceTimeout(options.content()) + SETTLEMENT_ALLOWANCE >
        claimTimeout
    ) return;
    await clock.sleep(SWEEP_INTERVAL, tenure.signal);
  }
  log("lease_lost", { lease: LEASE_NAME, reason: "stopped or not renewed" });
}

function longestServiceTimeout(
  content: Configuration | undefined,
): Milliseconds {
  const timeouts = Object.values(content?.services ?? {})
    .map((service) => service.timeout);
  return Math.max(0, ...timeouts);
}
