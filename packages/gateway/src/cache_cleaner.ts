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
  /**
   * True when no request can fetch parts of the salt any more: newer weights
   * were named `age` ago and no replica has the salt's version or an older one.
   */
  readonly isUnused: (salt: string, age: Milliseconds) => boolean;
  /** Place of this daemon among those that would free; 0 is first. */
  readonly turn: () => number;
}

export abstract class CacheCleaner {
  abstract run(signal: AbortSignal): Promise<void>;
}

/** Parts freed by one call. */
const BATCH = 200;

/** Time between two looks through the parts of all stores. */
const LOOK: Milliseconds = 1_000;

/** Newer weights were named so long ago: fetches of older parts have ended. */
const UNUSED_FOR: Milliseconds = 5_000;

/** Each daemon waits so much longer than the one before it. */
const TURN: Milliseconds = 2_000;

export function createCacheCleaner(
  options: CacheCleanerOptions,
): CacheCleaner {
  const { clock, logger, cache, control, stores, epochOf } = options;

  const listStale = (address: string) =>
    cache.listStale(address, (salt) => !options.isUnused(salt, UNUSED_FOR));

  const isNeeded = () =>
    stores().some(({ address }) =>
      epochOf(address) !== undefined && listStale(address).length > 0
    );

  async function clean(): Promise<void> {
    for (const { address } of stores()) {
      const epoch = epochOf(address);
      const parts = listStale(address).slice(0, BATCH);
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
        await clock.sleep(LOOK, signal);
        if (!isNeeded()) {
          since = undefined;
          continue;
        }
        const now = clock.monotonic();
        since ??= now;
        if (now - since < options.turn() * TURN) continue;
        await clean();
      }
    }
  })();
}
