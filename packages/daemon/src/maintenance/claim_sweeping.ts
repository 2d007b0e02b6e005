/**
 * Settles abandoned claims and removes old ones, under a lease, so that one
 * daemon alone reads the table.
 */
import { createClaimSweeper } from "@peridotvalve/claims";
import type { Clock } from "@peridotvalve/clock";
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

/** Daemons of an availability zone that contend for the lease. */
const CONTENDERS = 1;

const SWEEP_INTERVAL: Milliseconds = MINUTE;

/**
 * Time beyond the longest call of a service in which its owner settles a claim;
 * covers the send deadline and the storing of the outcome.
 */
const SETTLING_TIME: Milliseconds = 5 * MINUTE;

/** Parts of the duration of the lease: its margin, and between renewals. */
const LEASE_PARTS = 5;

export interface ClaimSweepingOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly log: EventLogger["log"];
  readonly holder: string;
  readonly leaseDuration: Milliseconds;
  readonly content: () => Configuration | undefined;
  readonly isReader: (subject: string, count: number) => boolean;
}

/** Runs until the signal aborts; the lease is then given up. */
export async function runClaimSweeping(
  options: ClaimSweepingOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, platform, holder, leaseDuration } = options;
  const margin = leaseDuration / LEASE_PARTS;
  const lease = createLease({
    ...{ platform, clock, holder, margin },
    name: LEASE_NAME,
    duration: leaseDuration,
  });
  while (!signal.aborted) {
    if (options.isReader(LEASE_NAME, CONTENDERS)) {
      await runUnderLease((tenure) => sweep(tenure, options), {
        ...{ lease, clock, interval: margin },
        signal: whileReader(options, signal),
      });
    }
    await clock.sleep(margin, signal);
  }
}

/** A signal that fires when another daemon of the zone is to contend. */
function whileReader(
  { clock, isReader }: ClaimSweepingOptions,
  signal: AbortSignal,
): AbortSignal {
  const ended = new AbortController();
  const either = AbortSignal.any([ended.signal, signal]);
  const watch = async () => {
    while (!either.aborted) {
      await clock.sleep(SWEEP_INTERVAL, either);
      if (!isReader(LEASE_NAME, CONTENDERS)) ended.abort();
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
  const claimTimeout = longestCall(options.content()) + SETTLING_TIME;
  const sweeper = createClaimSweeper({ platform, clock, claimTimeout });
  while (!tenure.signal.aborted) {
    const { markedUnknown, removed } = await sweeper.sweep(tenure.signal);
    if (markedUnknown + removed > 0) {
      log("claims_swept", { markedUnknown, removed });
    }
    // A longer timeout of a service needs a new sweeper.
    if (longestCall(options.content()) + SETTLING_TIME > claimTimeout) return;
    await clock.sleep(SWEEP_INTERVAL, tenure.signal);
  }
  log("lease_lost", { lease: LEASE_NAME, reason: "stopped or not renewed" });
}

function longestCall(content: Configuration | undefined): Milliseconds {
  const timeouts = Object.values(content?.services ?? {})
    .map((service) => service.timeout);
  return Math.max(0, ...timeouts);
}
