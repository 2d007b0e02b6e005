/**
 * Whether the configuration in force here is the platform's newest one.
 */
import type { Clock } from "@peridotvalve/clock";
import { readHead } from "@peridotvalve/configuration";
import type { Platform } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";

const RETRY_INTERVAL: Milliseconds = 500;
const READ_TIMEOUT: Milliseconds = 1_000;

export interface CurrentOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  /** Version in force in this daemon; infinite where the folder rules. */
  readonly version: () => number;
}

/**
 * Resolves with true once the version in force is not below the head, and with
 * false when the signal aborts. A daemon that was paused can take a lease with
 * a new fencing token before it has heard of a change, and its commands would
 * then be accepted everywhere although they revert the change.
 */
export async function waitUntilCurrent(
  { clock, platform, version }: CurrentOptions,
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
