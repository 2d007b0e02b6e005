/**
 * Polls the load reports of the replicas that are assigned to this daemon. Two
 * daemons of the zone poll each replica, so that reports keep arriving until
 * the death of one of them is detected.
 */
import type { Clock } from "@peridotvalve/clock";
import type { LoadReport, Milliseconds } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { LoadTracker } from "./load.ts";

export const POLL_PERIOD: Milliseconds = 1_000;
export const POLLERS_PER_REPLICA = 2;

export interface PollerOptions {
  readonly clock: Clock;
  readonly tracker: LoadTracker;
  /** The replicas of this zone; called once per period. */
  readonly listReplicas: () => readonly string[];
  /**
   * Whether this daemon is one of the `count` daemons assigned to the subject,
   * such as `Membership.isReader`. All daemons must compute the same
   * assignment.
   */
  readonly isReader: (subject: string, count: number) => boolean;
  /** Fetches one report; must enforce its own timeout. */
  readonly poll: (replica: string) => Promise<Result<LoadReport, unknown>>;
}

/** Subject by which the pollers of a replica are assigned. */
export function pollSubject(replica: string): string {
  return `load/${replica}`;
}

/** Polls once per period until the signal aborts. */
export async function pollReports(
  options: PollerOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, tracker, listReplicas, isReader } = options;
  const inProgress = new Set<string>();

  async function pollOne(replica: string): Promise<void> {
    inProgress.add(replica);
    const polled = await options.poll(replica);
    inProgress.delete(replica);
    if (polled.isOk()) tracker.recordReport(replica, polled.value);
  }

  while (!signal.aborted) {
    const chosen = listReplicas().filter((replica) =>
      isReader(pollSubject(replica), POLLERS_PER_REPLICA)
    );
    // A replica that does not answer must not delay the others.
    for (const replica of chosen) {
      if (!inProgress.has(replica)) void pollOne(replica);
    }
    await clock.sleep(POLL_PERIOD, signal);
  }
}
