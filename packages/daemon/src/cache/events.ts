/**
 * Polls the cache events of the replicas in the daemon's availability zone. One
 * task per replica polls while this daemon is one of the replica's readers.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { PrefixIndex } from "@peridotvalve/routing";
import type { Milliseconds } from "@peridotvalve/types";
import type { CacheEvents } from "@peridotvalve/upstreams";
import type { Fleet } from "../fleet/fleet.ts";
import type { Replica } from "../fleet/replica.ts";

export interface CacheEventOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly prefixIndex: PrefixIndex;
  readonly log: EventLogger["log"];
  readonly availabilityZone: string;
  readonly isReader: (subject: string, count: number) => boolean;
}

const POLL_INTERVAL: Milliseconds = 1_000;
const READ_TIMEOUT: Milliseconds = 900;

/** Two, as for load reports, since a dead reader is detected with a delay. */
const READERS_PER_REPLICA = 2;

/** Polls until the signal aborts. */
export async function followCacheEvents(
  options: CacheEventOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, fleet, availabilityZone } = options;
  const followed = new Set<Replica>();
  while (!signal.aborted) {
    for (const replica of fleet.list()) {
      if (replica.settings.availabilityZone !== availabilityZone) continue;
      if (followed.has(replica)) continue;
      followed.add(replica);
      void followReplica(options, replica, signal)
        .finally(() => followed.delete(replica));
    }
    await clock.sleep(POLL_INTERVAL, signal);
  }
}

async function followReplica(
  options: CacheEventOptions,
  replica: Replica,
  signal: AbortSignal,
): Promise<void> {
  const { clock, fleet, isReader } = options;
  let cursor: Cursor | undefined;
  while (!signal.aborted && fleet.find(replica.name) === replica) {
    if (isReader(`cache-events/${replica.name}`, READERS_PER_REPLICA)) {
      const after = cursor?.after ?? 0;
      const read = await replica.engine.readCacheEvents(after, READ_TIMEOUT);
      if (read.isOk()) {
        cursor = applyEvents(options, replica, {
          read: read.value,
          position: cursor,
        });
      }
    }
    await clock.sleep(POLL_INTERVAL, signal);
  }
}

interface Cursor {
  readonly incarnation: string;
  readonly after: number;
}

function applyEvents(
  options: CacheEventOptions,
  replica: Replica,
  batch: {
    readonly read: CacheEvents;
    readonly position: Cursor | undefined;
  },
): Cursor {
  const { read, position } = batch;
  const { incarnation, first, events } = read;
  // The events were requested with the cursor of another incarnation.
  const isNew = position !== undefined && position.incarnation !== incarnation;
  if (isNew) return { incarnation, after: 0 };
  const weights = replica.weights();
  const after = events.at(-1)?.sequence ?? position?.after ?? 0;
  if (weights === undefined) {
    return { incarnation, after: position?.after ?? 0 };
  }
  const expected = (position?.after ?? 0) + 1;
  // Before the first read there are no entries that a gap could invalidate.
  const gap = position !== undefined && first > expected;
  if (gap) {
    const subject = { upstream: replica.name };
    options.log("cache_event_gap", { first, expected }, subject);
  }
  const holder = { replica: replica.name, incarnation, weights };
  if (gap || events.length > 0) {
    options.prefixIndex.recordEvents(holder, { events, gap });
  }
  // After a gap without events, polling continues at the first retained event.
  return { incarnation, after: gap ? Math.max(after, first - 1) : after };
}
