/**
 * What a measurement of placement policies gives.
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

export interface Run {
  readonly deployment: string;
  readonly scenario: string;
  readonly policy: Policy;
  readonly seed: number;
  readonly measures: Measures;
  /** Orders that ran more than once. */
  readonly repeatedOrders: number;
}
