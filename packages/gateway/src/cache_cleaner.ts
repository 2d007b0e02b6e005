/**
 * Frees the parts in stores that were made on replaced weights. A store drops
 * nothing by itself, so it would fill up with parts that nobody may use.
 *
 * Requests fetch from stores only on the newest weights, and a fetch ends two
 * seconds after its request at the latest, so parts are freed only some time
 * after newer weights are everywhere.
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
  /** False for the salts of replaced weights. */
  readonly isCurrent: (salt: string) => boolean;
}

export abstract class CacheCleaner {
  /** True when a store that answers keeps parts of replaced weights. */
  abstract isNeeded(): boolean;
  abstract clean(): Promise<void>;
}

/** Parts freed by one call. */
const BATCH = 200;

/** Time between two looks through the parts of all stores. */
const LOOK: Milliseconds = 1_000;

/** Stale parts must be known for so long: fetches of them have ended. */
const STALE_FOR: Milliseconds = 4_000;

export function createCacheCleaner(
  options: CacheCleanerOptions,
): CacheCleaner {
  const { clock, logger, cache, control, stores, epochOf } = options;
  let looked: Milliseconds = -Infinity;
  let staleSince: Milliseconds | undefined;

  const listStale = (address: string) =>
    cache.listStale(address, options.isCurrent);

  function look(): void {
    const now = clock.monotonic();
    if (now - looked < LOOK) return;
    looked = now;
    const isStale = stores().some(({ address }) =>
      epochOf(address) !== undefined && listStale(address).length > 0
    );
    staleSince = isStale ? staleSince ?? now : undefined;
  }

  return new (class extends CacheCleaner {
    override isNeeded(): boolean {
      look();
      return staleSince !== undefined &&
        clock.monotonic() - staleSince >= STALE_FOR;
    }

    override async clean(): Promise<void> {
      if (!this.isNeeded()) return;
      for (const { address } of stores()) {
        const epoch = epochOf(address);
        const parts = listStale(address).slice(0, BATCH);
        if (epoch === undefined || parts.length === 0) continue;
        const isDone = await control.freeParts(address, { parts, epoch });
        logger.log("parts_freed", {
          store: address,
          parts: parts.length,
          isDone,
        });
        if (!isDone) continue;
        for (const [salt, part] of parts) {
          cache.apply(address, { salt, part, tokens: 0 });
        }
      }
      looked = -Infinity;
    }
  })();
}
