/**
 * The kept cache of one daemon: publishes the blocks of completed prompts to
 * store VMs, finds copies for prompts that return and imports them before an
 * attempt. All of it is optional work: without it prompts are recomputed.
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
import { importAll } from "./imports.ts";
import { createPublished } from "./published.ts";
import { createPublisher } from "./publisher.ts";
import { createStores, type Place } from "./stores.ts";

/** A prompt whose blocks are looked up or published. */
export interface CachedPrompt {
  /** Model group. */
  readonly group: string;
  readonly names: readonly BlockName[];
  readonly barredZones: readonly string[];
  /** Expected length of one block. */
  readonly blockBytes: Bytes;
}

export interface PublishedPrompt extends CachedPrompt {
  readonly engine: BlockEngine;
  readonly place: Place;
}

export interface CopyImport {
  readonly engine: BlockEngine;
  readonly place: Place;
  readonly copy: Copy;
  /** Link bytes that the dispatch has reserved for the blocks. */
  readonly reserved: Bytes;
  readonly timeout: Milliseconds;
}

export interface Cache {
  apply(configuration: Configuration): void;
  /** Copies of the prompt's leading blocks, by cache group. */
  find(prompt: CachedPrompt, timeout: Milliseconds): Promise<readonly Copy[]>;
  /** Imports a copy and returns the count of leading blocks that it brought. */
  import(order: CopyImport): Promise<number>;
  /** Publishes in the background, as far as the bounds allow. */
  publish(prompt: PublishedPrompt): void;
  close(): Promise<void>;
}

export interface CacheOptions {
  readonly clock: Clock;
  readonly log: EventLogger["log"];
  readonly link: LinkBudget;
  readonly origin: Place;
  readonly regionOf: (availabilityZone: string) => string;
  readonly onBlock: (kind: "published" | "imported") => void;
}

export function createCache(options: CacheOptions): Cache {
  const { clock, log, link, origin, regionOf, onBlock } = options;
  const stores = createStores({ clock, log, regionOf });
  const published = createPublished();
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
      const question = {
        group,
        barredZones,
        from: origin,
        use: "read",
      } as const;
      return findCopies({
        names,
        // A block that may not cross the link need not be asked for there.
        groups: stores.list(question).filter(({ region }) =>
          region === origin.region ||
          link.available(names[0]?.customer ?? "") >= blockBytes
        ),
        timeout,
        stores,
        onMissing: (cacheGroup, block) => published.remove(cacheGroup, block),
      });
    },
    async import({ engine, place, copy, reserved, timeout }) {
      const customer = copy.located[0]?.block.name.customer ?? "";
      let left = reserved;
      const imported = await importAll({
        engine,
        located: copy.located,
        crossesRegions: copy.copy.region !== place.region,
        budget: {
          reserve(bytes) {
            if (bytes > left) return link.reserve(customer, bytes);
            left -= bytes;
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
    publish({ engine, names, blockBytes, group, place, barredZones }) {
      const question = {
        group,
        barredZones,
        from: place,
        use: "write",
      } as const;
      const groups = () => stores.list(question);
      publisher.offer({ engine, names, blockBytes, groups });
    },
    async close() {
      publisher.close();
      await stores.close();
    },
  };
}
