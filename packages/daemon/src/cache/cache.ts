/**
 * The block cache of one daemon: publishes the blocks of completed prompts to
 * store VMs, looks up copies for repeated prompts and imports them before an
 * attempt. All of this is best effort: without it prompts are recomputed.
 */
import type { BlockEngine } from "@peridotvalve/blocks";
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { LinkBudget } from "@peridotvalve/routing";
import type {
  BlockName,
  Bytes,
  Configuration,
  Milliseconds,
} from "@peridotvalve/types";
import { type Copy, findCopies } from "./copies.ts";
import { importBlocks } from "./imports.ts";
import { createPublishedBlocks } from "./published.ts";
import { createPublisher } from "./publisher.ts";
import { createStores, type Location } from "./stores.ts";

/** A prompt whose blocks are looked up or published. */
export interface CachedPrompt {
  /** Model group. */
  readonly group: string;
  readonly names: readonly BlockName[];
  readonly barredZones: readonly string[];
  /** Expected length of one block in bytes. */
  readonly blockBytes: Bytes;
}

export interface PublishedPrompt extends CachedPrompt {
  readonly engine: BlockEngine;
  readonly location: Location;
}

export interface CopyImportOptions {
  readonly engine: BlockEngine;
  readonly location: Location;
  readonly copy: Copy;
  /** Link bytes that the dispatch has already reserved for the blocks. */
  readonly reserved: Bytes;
  readonly timeout: Milliseconds;
}

export interface Cache {
  apply(configuration: Configuration): void;
  /** Copies of the prompt's leading blocks, by cache group. */
  find(prompt: CachedPrompt, timeout: Milliseconds): Promise<readonly Copy[]>;
  /** Imports a copy and returns the number of leading blocks imported. */
  import(options: CopyImportOptions): Promise<number>;
  /** Publishes in the background; drops blocks beyond the queue limits. */
  publish(prompt: PublishedPrompt): void;
  close(): Promise<void>;
}

export interface CacheOptions {
  readonly clock: Clock;
  readonly log: EventLogger["log"];
  readonly link: LinkBudget;
  readonly origin: Location;
  readonly regionOf: (availabilityZone: string) => string;
  readonly onBlock: (kind: "published" | "imported") => void;
}

export function createCache(options: CacheOptions): Cache {
  const { clock, log, link, origin, regionOf, onBlock } = options;
  const stores = createStores({ clock, log, regionOf });
  const published = createPublishedBlocks();
  const publisher = createPublisher({
    clock,
    log,
    link,
    stores,
    published,
    onPublished: () => onBlock("published"),
  });

  return {
    apply: (configuration) => stores.apply(configuration),
    find({ group, names, barredZones, blockBytes }, timeout) {
      const query = {
        group,
        barredZones,
        from: origin,
        use: "read",
      } as const;
      return findCopies({
        names,
        // Skips groups from which no block could be sent over the region link.
        groups: stores.list(query).filter(({ region }) =>
          region === origin.region ||
          link.available(names[0]?.customer ?? "") >= blockBytes
        ),
        timeout,
        stores,
        onMissing: (cacheGroup, block) => published.remove(cacheGroup, block),
      });
    },
    async import({ engine, location, copy, reserved, timeout }) {
      const customer = copy.located[0]?.block.name.customer ?? "";
      let reservedLeft = reserved;
      const imported = await importBlocks({
        engine,
        located: copy.located,
        crossesRegions: copy.copy.region !== location.region,
        budget: {
          reserve(bytes) {
            if (bytes > reservedLeft) return link.reserve(customer, bytes);
            reservedLeft -= bytes;
            return true;
          },
        },
        timeout,
        clock,
        log,
      });
      for (let count = 0; count < imported; count += 1) onBlock("imported");
      return imported;
    },
    publish(
      { engine, names, blockBytes, group, location, barredZones },
    ) {
      const query = {
        group,
        barredZones,
        from: location,
        use: "write",
      } as const;
      const groups = () => stores.list(query);
      publisher.enqueue({ engine, names, blockBytes, groups });
    },
    async close() {
      publisher.close();
      await stores.close();
    },
  };
}
