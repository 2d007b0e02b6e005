/**
 * Seeded choices.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface Random {
  /** A whole number from `low` to `high`, both included. */
  between(low: number, high: number): number;
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
      if (items.length === 0) throw new Error("nothing to pick from");
      return items[between(0, items.length - 1)] as Item;
    },
    chance: (percent) => between(1, 100) <= percent,
  };
}
