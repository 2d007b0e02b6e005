/**
 * Finds out whether a replica has ended that closed idle connections just after
 * it had completed answers. Replicas also close connections that were idle for
 * long, so a close alone says nothing: the replica has ended when its host
 * refuses a new connection, or when it is listed as started again.
 */
import type { Clock } from "@peridotvalve/clock";
import type { ReplicaEntry, ReplicaTable } from "@peridotvalve/dispatch";
import type { CrashEvidence } from "@peridotvalve/retries";
import type { Milliseconds } from "@peridotvalve/types";

export interface EndWatchOptions {
  readonly clock: Clock;
  readonly crashes: Pick<CrashEvidence, "mayHaveCrashed">;
  readonly replicas: Pick<ReplicaTable, "find">;
  /** Resolves to true when nothing listens at an address. */
  readonly refuses: (address: string) => Promise<boolean>;
  /** Aborts when the daemon ends. */
  readonly stopped: AbortSignal;
}

/** Time after a close in which a process that ends stops to listen. */
const CLOSING_TIME: Milliseconds = 100;

const LIST_PERIOD: Milliseconds = 500;

/** Time for which a replica that ended is expected to be listed again. */
const MAX_WATCH: Milliseconds = 15_000;

/**
 * Resolves to true once an incarnation has ended, and to false when it lives,
 * when other evidence has settled its answers, or when nothing is known in time.
 */
export async function hasEnded(
  options: EndWatchOptions,
  entry: ReplicaEntry,
  key: string,
): Promise<boolean> {
  const { clock, crashes, replicas, stopped } = options;
  const isWatched = () => !stopped.aborted && crashes.mayHaveCrashed(key);
  await clock.sleep(CLOSING_TIME, stopped);
  if (isWatched() && await options.refuses(entry.address)) return isWatched();
  const end = clock.monotonic() + MAX_WATCH;
  while (isWatched() && clock.monotonic() < end) {
    const listed = replicas.find(entry.id)?.entry;
    if (listed !== undefined && listed.born !== entry.born) return true;
    await clock.sleep(LIST_PERIOD, stopped);
  }
  return false;
}
