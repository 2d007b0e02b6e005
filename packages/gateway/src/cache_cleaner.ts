/**
 * Frees stored parts that were computed on replaced weights. Stores evict
 * nothing themselves and would fill up with parts that no request may use.
 *
 * Requests fetch from stores only on the newest weights, and a fetch ends at
 * most two seconds after its request. Parts are therefore freed only some time
 * after every replica has newer weights.
 */
import type { Clock } from "@peridotvalve/clock";
import type { CacheView, StoreTraits } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import type { ReplicaControl } from "./replica_control.ts";

export interface CacheCleanerOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly cache: CacheView;
  readonly control: ReplicaControl;
  readonly stores: () => readonly StoreTraits[];
  readonly epochOf: (store: string) => number | undefined;
  /**
   * Returns true when no request can fetch parts of the salt any more: newer
   * weights were named at least `age` ago, and no replica has the salt's
   * version or an older one.
   */
  readonly isUnused: (salt: string, age: Milliseconds) => boolean;
  /** Position of this daemon among those that may free parts; 0 goes first. */
  readonly rank: () => number;
}

export abstract class CacheCleaner {
  abstract run(signal: AbortSignal): Promise<void>;
}

/** Maximum number of parts freed by one call. */
const BATCH_SIZE = 200;

/** Interval between checks of the parts in all stores. */
const CHECK_PERIOD: Milliseconds = 1_000;

/** Age of the newer weights at which all fetches of older parts have ended. */
const MIN_UNUSED_AGE: Milliseconds = 5_000;

/**
 * Additional delay of each daemon behind the one ranked before it, so that one
 * daemon does the work.
 */
const RANK_DELAY: Milliseconds = 2_000;

export function createCacheCleaner(
  options: CacheCleanerOptions,
): CacheCleaner {
  const { clock, logger, cache, control, stores, epochOf } = options;

  const listStale = (address: string) =>
    cache.listStale(address, (salt) => !options.isUnused(salt, MIN_UNUSED_AGE));

  const isNeeded = () =>
    stores().some(({ address }) =>
      epochOf(address) !== undefined && listStale(address).length > 0
    );

  async function clean(): Promise<void> {
    for (const { address } of stores()) {
      const epoch = epochOf(address);
      const parts = listStale(address).slice(0, BATCH_SIZE);
      if (epoch === undefined || parts.length === 0) continue;
      const isDone = await control.freeParts(address, { parts, epoch });
      const fields = { store: address, parts: parts.length, isDone };
      logger.log("parts_freed", fields);
      if (!isDone) continue;
      for (const [salt, part] of parts) {
        cache.apply(address, { salt, part, tokens: 0 });
      }
    }
  }

  return new (class extends CacheCleaner {
    override async run(signal: AbortSignal): Promise<void> {
      let since: Milliseconds | undefined;
      while (!signal.aborted) {
        await clock.sleep(CHECK_PERIOD, signal);
        if (!isNeeded()) {
          since = undefined;
          continue;
        }
        const now = clock.monotonic();
        since ??= now;
        if (now - since < options.rank() * RANK_DELAY) continue;
        await clean();
      }
    }
  })();
}
