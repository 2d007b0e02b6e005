/**
 * Waits until this daemon has the platform's latest configuration.
 */
import type { Clock } from "@peridotvalve/clock";
import { readHead } from "@peridotvalve/configuration";
import type { Platform } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";

const RETRY_INTERVAL: Milliseconds = 500;
const READ_TIMEOUT: Milliseconds = 1_000;

export interface WaitOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  /**
   * Version of this daemon's configuration; infinite when it comes from the
   * operators' folder instead of the platform.
   */
  readonly version: () => number;
}

/**
 * Resolves with true once this daemon's version is at least that of the
 * platform's head, and with false when the signal aborts. A daemon that was
 * paused may acquire a lease, with a new fencing token, before it learns of a
 * configuration change. All replicas would accept its commands, which revert
 * the change.
 */
export async function waitUntilCurrent(
  { clock, platform, version }: WaitOptions,
  signal: AbortSignal,
): Promise<boolean> {
  while (!signal.aborted) {
    const head = await readHead({ platform, timeout: READ_TIMEOUT });
    const isRead = head.isOk() && !signal.aborted;
    if (isRead && version() >= (head.value?.version ?? 0)) return true;
    await clock.sleep(RETRY_INTERVAL, signal);
  }
  return false;
}
