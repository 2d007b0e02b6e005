/**
 * The random source that decisions take as a parameter, so that a run can be
 * repeated from its seed.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns the next number, uniform in [0, 1). */
export type RandomSource = () => number;

/** A source whose sequence depends on the seed only. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
