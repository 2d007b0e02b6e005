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
  /** The leading blocks, in order and without a hole. */
  readonly located: readonly LocatedBlock[];
}

export interface LookUp {
  readonly names: readonly BlockName[];
  readonly groups: readonly StoreGroup[];
  readonly timeout: Milliseconds;
  readonly stores: Stores;
  /** Called for a block that no store VM of a group holds. */
  readonly onMissing: (group: string, block: string) => void;
}

/** Blocks are published to the first store VM of their order or the next. */
const STORES_ASKED = 2;

/** More blocks than this are asked for only in later turns. */
const MAXIMUM_BLOCKS = 32;

/** One entry for each cache group that holds the prompt's first block. */
export async function findCopies(lookUp: LookUp): Promise<readonly Copy[]> {
  const copies = await Promise.all(
    lookUp.groups.map((group) => findCopy(lookUp, group)),
  );
  return copies.filter((copy) => copy.located.length > 0);
}

/** Length of the longest block that was found. */
export function measureBlocks(copies: readonly Copy[]): Bytes {
  const lengths = copies.flatMap(({ located }) =>
    located.map(({ block }) => block.length)
  );
  return Math.max(0, ...lengths);
}

async function findCopy(lookUp: LookUp, group: StoreGroup): Promise<Copy> {
  const names = lookUp.names.slice(0, MAXIMUM_BLOCKS);
  const found = await Promise.all(
    names.map((name) => locate(lookUp, group, name)),
  );
  const hole = found.indexOf(undefined);
  const located = (hole < 0 ? found : found.slice(0, hole)) as LocatedBlock[];
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

async function locate(
  lookUp: LookUp,
  group: StoreGroup,
  name: BlockName,
): Promise<LocatedBlock | undefined> {
  const asked = rankStores(name, group.stores).slice(0, STORES_ASKED);
  const answers = await Promise.all(
    asked.map(async (choice) => {
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
