/**
 * A seeded random source for placement decisions, which makes runs
 * reproducible.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";

/** Returns the next number, uniform in [0, 1). */
export type RandomSource = () => number;

/**
 * The generator copies the seed into its state, so that similar seeds produce
 * similar first numbers. Daemons with such seeds would make the same choices.
 */
const SKIPPED_NUMBERS = 64;

/** Creates a source whose sequence depends only on the seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  skipN(generator, SKIPPED_NUMBERS);
  return () => uniformFloat64(generator);
}
