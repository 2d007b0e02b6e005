/**
 * Runs a task for as long as a lease is held.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import type { Lease } from "./lease.ts";

export interface RunOptions {
  readonly lease: Lease;
  readonly clock?: Clock;
  /** Stops contending for the lease and aborts the running work. */
  readonly signal: AbortSignal;
  /** Time between two acquisition attempts and between two renewals. */
  readonly interval?: Milliseconds;
}

/** One uninterrupted term of the lease. */
export interface LeaseTerm {
  /** Fencing token of this term. */
  readonly token: number;
  /** Aborted when the lease is lost; `work` must then have no more effects. */
  readonly signal: AbortSignal;
  /**
   * Whether the lease is held now. After a suspension of the VM the signal is
   * aborted late, as timers stand still meanwhile; an effect that another holder
   * must not see needs this check immediately before it.
   */
  readonly isHeld: () => boolean;
}

const INTERVAL: Milliseconds = 3 * SECOND;

/**
 * Contends for the lease until the signal is aborted and runs `work` once for
 * each term. Releases the lease when `work` returns or throws; an error of
 * `work` ends the loop and is rethrown.
 */
export async function runUnderLease(
  work: (tenure: LeaseTerm) => Promise<void>,
  { lease, clock = createSystemClock(), signal, interval = INTERVAL }:
    RunOptions,
): Promise<void> {
  while (!signal.aborted) {
    await lease.acquire();
    const token = lease.token();
    const lost = lease.lost();
    if (token !== undefined && lost !== undefined) {
      const tenure = {
        token,
        signal: AbortSignal.any([lost, signal]),
        isHeld: () => !signal.aborted && lease.token() === token,
      };
      const renewing = renewPeriodically(tenure.signal, {
        lease,
        clock,
        interval,
      });
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

async function renewPeriodically(
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
