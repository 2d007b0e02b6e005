/**
 * Pseudo-random choices that are reproducible from a seed.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface Random {
  /** Returns an integer from `low` to `high`, both inclusive. */
  between(low: number, high: number): number;
  /** Throws when there are no items. */
  pick<Item>(items: readonly Item[]): Item;
  chance(percent: number): boolean;
}

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const between = (low: number, high: number) =>
    uniformInt(generator, low, high);
  return {
    between,
    pick<Item>(items: readonly Item[]): Item {
      if (items.length === 0) throw new Error("cannot pick from an empty list");
      return items[between(0, items.length - 1)] as Item;
    },
    chance: (percent) => between(1, 100) <= percent,
  };
}
