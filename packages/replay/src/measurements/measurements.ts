/**
 * The results of `npm run measure`, as stored in docs/measurements.json.
 */
import type { Measures } from "../run/measures.ts";
import type { Policy } from "./scenarios.ts";

export interface Measurements {
  readonly command: string;
  readonly commit: string;
  readonly node: string;
  readonly seeds: readonly number[];
  readonly runs: readonly Run[];
}

/** One trace replayed with one placement policy. */
export interface Run {
  readonly deployment: string;
  readonly scenario: string;
  readonly policy: Policy;
  readonly seed: number;
  readonly measures: Measures;
  /** Number of orders that ran more than once. */
  readonly repeatedOrders: number;
}
