/**
 * Blocks known to be in a cache group, as hints of bounded number: a missing
 * hint costs one question to a store VM, a wrong one costs a recomputation.
 */
export interface Published {
  has(group: string, block: string): boolean;
  add(group: string, block: string): void;
  remove(group: string, block: string): void;
}

/** About 3 MB; a daemon of 360 serves about 700 of 250,000 conversations. */
const CAPACITY = 16_384;

/** Characters of the hash that are kept. */
const PREFIX = 20;

export function createPublished(capacity: number = CAPACITY): Published {
  // Sets keep insertion order: the first entry is the oldest.
  const known = new Set<string>();
  const keyOf = (group: string, block: string) =>
    `${group}/${block.slice(0, PREFIX)}`;

  return {
    has: (group, block) => known.has(keyOf(group, block)),
    add(group, block) {
      const key = keyOf(group, block);
      known.delete(key);
      known.add(key);
      if (known.size <= capacity) return;
      const [oldest] = known;
      known.delete(oldest!);
    },
    remove(group, block) {
      known.delete(keyOf(group, block));
    },
  };
}
