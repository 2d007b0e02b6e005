/**
 * Runs work while a lease is held.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import type { Lease } from "./lease.ts";

export interface RunOptions {
  readonly lease: Lease;
  readonly clock?: Clock;
  /** Ends contending and the work. */
  readonly signal: AbortSignal;
  /** Time between two looks at the row and between two renewals. */
  readonly interval?: Milliseconds;
}

/** One period in which the lease is held. */
export interface Tenure {
  readonly token: number;
  /** Fires when the lease is lost; the work must stop before it acts again. */
  readonly signal: AbortSignal;
}

const INTERVAL: Milliseconds = 3 * SECOND;

/**
 * Contends for the lease until the signal aborts, and runs the work once for
 * each time that it is held. Releases the lease when the work returns.
 */
export async function runUnderLease(
  work: (tenure: Tenure) => Promise<void>,
  { lease, clock = createSystemClock(), signal, interval = INTERVAL }:
    RunOptions,
): Promise<void> {
  while (!signal.aborted) {
    await lease.acquire();
    const token = lease.token();
    const lost = lease.lost();
    if (token !== undefined && lost !== undefined) {
      const tenure = { token, signal: AbortSignal.any([lost, signal]) };
      const renewing = renewUntil(tenure.signal, { lease, clock, interval });
      try {
        await work(tenure);
      } finally {
        await lease.release();
        await renewing;
      }
    }
    await clock.sleep(interval, signal);
  }
}

async function renewUntil(
  signal: AbortSignal,
  { lease, clock, interval }: {
    readonly lease: Lease;
    readonly clock: Clock;
    readonly interval: Milliseconds;
  },
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(interval, signal);
    if (!signal.aborted) await lease.renew();
  }
}
