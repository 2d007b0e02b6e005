/**
 * The random source that decisions take as a parameter, so that a run can be
 * repeated from its seed.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";

/** Returns the next number, uniform in [0, 1). */
export type RandomSource = () => number;

/**
 * The generator copies the seed into its state, so the first numbers of near
 * seeds are nearly equal. Daemons with such seeds would make the same choices.
 */
const SKIPPED_NUMBERS = 64;

/** A source whose sequence depends on the seed only. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  skipN(generator, SKIPPED_NUMBERS);
  return () => uniformFloat64(generator);
}
