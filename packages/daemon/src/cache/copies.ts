/**
 * Looks up which leading blocks of a prompt the cache groups hold.
 */
import { rankStores, type StoreCandidate } from "@peridotvalve/blocks";
import type { StoreCopy } from "@peridotvalve/routing";
import type {
  BlockName,
  Bytes,
  Milliseconds,
  StoredBlock,
} from "@peridotvalve/types";
import type { StoreGroup, Stores } from "./stores.ts";

/** A stored block and the store VM that holds it. */
export interface LocatedBlock {
  readonly choice: StoreCandidate;
  readonly block: StoredBlock;
}

export interface Copy {
  readonly copy: StoreCopy;
  /** The leading blocks, in order and without a gap. */
  readonly located: readonly LocatedBlock[];
}

export interface Lookup {
  readonly names: readonly BlockName[];
  readonly groups: readonly StoreGroup[];
  readonly timeout: Milliseconds;
  readonly stores: Stores;
  /** Called for a block that no queried store VM of a group holds. */
  readonly onMissing: (group: string, block: string) => void;
}

/** Blocks are published to the first or second store VM of their ranking. */
const STORES_PER_LOOKUP = 2;

/** Blocks beyond this limit are looked up only in later turns. */
const MAX_BLOCKS_PER_LOOKUP = 32;

/** Returns one copy for each cache group that holds the first block. */
export async function findCopies(lookUp: Lookup): Promise<readonly Copy[]> {
  const copies = await Promise.all(
    lookUp.groups.map((group) => findCopy(lookUp, group)),
  );
  return copies.filter((copy) => copy.located.length > 0);
}

/** Length in bytes of the longest block that was found; 0 if none was. */
export function findLongestBlock(copies: readonly Copy[]): Bytes {
  const lengths = copies.flatMap(({ located }) =>
    located.map(({ block }) => block.length)
  );
  return Math.max(0, ...lengths);
}

async function findCopy(lookUp: Lookup, group: StoreGroup): Promise<Copy> {
  const names = lookUp.names.slice(0, MAX_BLOCKS_PER_LOOKUP);
  const found = await Promise.all(
    names.map((name) => locateBlock(lookUp, group, name)),
  );
  const firstMissing = found.indexOf(undefined);
  const located =
    (firstMissing < 0 ? found : found.slice(0, firstMissing)) as LocatedBlock[];
  const { availabilityZone, region, bytesPerSecond } = group;
  const copy = {
    store: group.name,
    availabilityZone,
    region,
    blocks: located.length,
    bytesPerSecond,
  };
  return { copy, located };
}

async function locateBlock(
  lookUp: Lookup,
  group: StoreGroup,
  name: BlockName,
): Promise<LocatedBlock | undefined> {
  const choices = rankStores(name, group.stores).slice(0, STORES_PER_LOOKUP);
  const answers = await Promise.all(
    choices.map(async (choice) => {
      const { store } = choice;
      const answer = await store.findBlock(name, lookUp.timeout);
      if (answer.isErr()) {
        const failure = { use: "read", reason: answer.error } as const;
        lookUp.stores.noteFailure(store.address, failure);
      }
      return { choice, answer };
    }),
  );
  for (const { choice, answer } of answers) {
    const block = answer.unwrapOr(undefined);
    if (block !== undefined) return { choice, block };
  }
  if (answers.every(({ answer }) => answer.isOk())) {
    lookUp.onMissing(group.name, name.block);
  }
  return undefined;
}
