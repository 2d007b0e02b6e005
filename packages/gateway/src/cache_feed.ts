/**
 * Follows the cache events of replicas and stores by long polling. A call
 * returns as soon as there is an event, so a pause between calls collects
 * several events.
 */
import type { Clock } from "@peridotvalve/clock";
import type {
  CacheJournal,
  CacheView,
  StoreCopies,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import type { ReplicaClock } from "./replica_clock.ts";
import type { ReplicaControl } from "./replica_control.ts";

export interface CacheFeedOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly control: ReplicaControl;
  readonly cache: CacheView;
  /** Passes the events of stores on to the neighbors. */
  readonly journal: CacheJournal;
  readonly copies: StoreCopies;
  readonly replicaClock: ReplicaClock;
  /** Holders whose events this daemon follows. */
  readonly holders: () => readonly CacheHolder[];
}

/** A replica or a store that caches prompt parts. */
export interface CacheHolder {
  /** Id in the cache view. */
  readonly id: string;
  readonly address: string;
  readonly isStore: boolean;
}

export abstract class CacheFeed {
  /**
   * Starts and stops following so that exactly the present holders are
   * followed.
   */
  abstract refresh(): void;
  abstract stop(): void;
}

const LONG_POLL_WAIT: Milliseconds = 1_000;
const POLL_PAUSE: Milliseconds = 400;
const FAILURE_PAUSE: Milliseconds = 2_000;

export function createCacheFeed(options: CacheFeedOptions): CacheFeed {
  const { clock, logger, control, cache, replicaClock, holders } = options;
  const { journal, copies } = options;
  const followed = new Map<string, AbortController>();

  async function follow(
    { id, address, isStore }: CacheHolder,
    signal: AbortSignal,
  ): Promise<void> {
    let since = 0;
    let epoch: number | undefined;
    while (!signal.aborted) {
      const read = await control.cacheEvents(address, {
        since,
        wait: LONG_POLL_WAIT,
      });
      if (signal.aborted) return;
      if (read.isErr()) {
        if (isStore) recordLoss(id);
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
      if (isStore) copies.recordRead(id, epoch);
      if (page.time !== undefined) replicaClock.observe(page.time);
      if (page.hasGap && since > 0) {
        logger.log("cache_event_gap", { first: page.next, expected: since }, {
          upstream: id,
        });
      }
      for (const event of page.events) cache.apply(id, event);
      if (isStore) journal.record(id, epoch, page.events);
      since = page.next;
      await clock.sleep(POLL_PAUSE, signal);
    }
  }

  function recordLoss(id: string): void {
    copies.recordLoss(id);
    journal.forget(id);
  }

  return new (class extends CacheFeed {
    override refresh(): void {
      const wanted = new Map(holders().map((holder) => [holder.id, holder]));
      for (const [id, controller] of followed) {
        if (wanted.has(id)) continue;
        controller.abort();
        followed.delete(id);
        recordLoss(id);
      }
      for (const [id, holder] of wanted) {
        if (followed.has(id)) continue;
        const controller = new AbortController();
        followed.set(id, controller);
        follow(holder, controller.signal).catch((error: unknown) => {
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
