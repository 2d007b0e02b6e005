/**
 * Follows the cache events of the replicas in the own availability zone: one
 * task for each replica, which reads while this daemon is one of its readers.
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
  readonly beliefs: PrefixIndex;
  readonly log: EventLogger["log"];
  readonly availabilityZone: string;
  readonly isReader: (subject: string, count: number) => boolean;
}

const PERIOD: Milliseconds = 1_000;
const TIMEOUT: Milliseconds = 900;

/** As for load reports, one reader may die unnoticed for a while. */
const READERS = 2;

/** Follows until the signal aborts. */
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
    await clock.sleep(PERIOD, signal);
  }
}

async function followReplica(
  options: CacheEventOptions,
  replica: Replica,
  signal: AbortSignal,
): Promise<void> {
  const { clock, fleet, isReader } = options;
  let position: Position | undefined;
  while (!signal.aborted && fleet.find(replica.name) === replica) {
    if (isReader(`cache-events/${replica.name}`, READERS)) {
      const after = position?.after ?? 0;
      const read = await replica.engine.readCacheEvents(after, TIMEOUT);
      if (read.isOk()) {
        position = takeEvents(options, replica, { read: read.value, position });
      }
    }
    await clock.sleep(PERIOD, signal);
  }
}

interface Position {
  readonly incarnation: string;
  readonly after: number;
}

function takeEvents(
  options: CacheEventOptions,
  replica: Replica,
  taken: {
    readonly read: CacheEvents;
    readonly position: Position | undefined;
  },
): Position {
  const { read, position } = taken;
  const { incarnation, first, events } = read;
  // The answer was asked for by the position of another incarnation.
  const isNew = position !== undefined && position.incarnation !== incarnation;
  if (isNew) return { incarnation, after: 0 };
  const weights = replica.weights();
  const after = events.at(-1)?.sequence ?? position?.after ?? 0;
  if (weights === undefined) {
    return { incarnation, after: position?.after ?? 0 };
  }
  const expected = (position?.after ?? 0) + 1;
  // Before the first read nothing was believed that a gap could refute.
  const gap = position !== undefined && first > expected;
  if (gap) {
    const subject = { upstream: replica.name };
    options.log("cache_event_gap", { first, expected }, subject);
  }
  const holder = { replica: replica.name, incarnation, weights };
  if (gap || events.length > 0) {
    options.beliefs.recordEvents(holder, { events, gap });
  }
  // After a gap without events the next one starts at the first that is held.
  return { incarnation, after: gap ? Math.max(after, first - 1) : after };
}
