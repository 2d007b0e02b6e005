/**
 * Follows the cache events of the replicas. A call answers as soon as there is
 * an event, so a pause between calls gathers several.
 */
import type { Clock } from "@peridotvalve/clock";
import type { CacheView, Replica, ReplicaTable } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import type { ReplicaControl } from "./replica_control.ts";

export interface CacheFeedOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly control: ReplicaControl;
  readonly cache: CacheView;
  readonly replicas: ReplicaTable;
  /** True when this daemon reads the events of the replica itself. */
  readonly isReader: (replica: Replica) => boolean;
}

export abstract class CacheFeed {
  /** Starts or stops following so that all present replicas are followed. */
  abstract refresh(): void;
  abstract stop(): void;
}

const WAIT: Milliseconds = 1_000;
const PAUSE: Milliseconds = 400;
const FAILURE_PAUSE: Milliseconds = 2_000;

export function createCacheFeed(options: CacheFeedOptions): CacheFeed {
  const { clock, logger, control, cache, replicas, isReader } = options;
  const followed = new Map<string, AbortController>();

  async function follow(replica: Replica, signal: AbortSignal): Promise<void> {
    const { id, address } = replica.entry;
    let since = 0;
    let epoch: number | undefined;
    while (!signal.aborted) {
      const read = await control.cacheEvents(address, { since, wait: WAIT });
      if (signal.aborted) return;
      if (read.isErr()) {
        logger.log("cache_unread", { reason: read.error.reason }, {
          upstream: id,
        });
        await clock.sleep(FAILURE_PAUSE, signal);
        continue;
      }
      const page = read.value;
      if (epoch !== undefined && page.epoch !== epoch) {
        cache.clear(id);
        since = 0;
        epoch = page.epoch;
        continue;
      }
      epoch = page.epoch;
      if (page.hasGap && since > 0) {
        logger.log("cache_event_gap", { first: page.next, expected: since }, {
          upstream: id,
        });
        cache.clear(id);
      }
      for (const event of page.events) cache.apply(id, event);
      since = page.next;
      await clock.sleep(PAUSE, signal);
    }
  }

  return new (class extends CacheFeed {
    override refresh(): void {
      const wanted = new Map(
        replicas.all()
          .filter(({ entry }) => entry.weights.size > 0)
          .filter(isReader)
          .map((replica) => [replica.entry.id, replica]),
      );
      for (const [id, controller] of followed) {
        if (wanted.has(id)) continue;
        controller.abort();
        followed.delete(id);
      }
      for (const [id, replica] of wanted) {
        if (followed.has(id)) continue;
        const controller = new AbortController();
        followed.set(id, controller);
        follow(replica, controller.signal).catch((error: unknown) => {
          logger.log("handler_failed", { reason: String(error) });
        });
      }
    }

    override stop(): void {
      for (const controller of followed.values()) controller.abort();
      followed.clear();
    }
  })();
}
