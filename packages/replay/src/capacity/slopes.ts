/**
 * The output of the measuring scripts, as stored in docs/capacity_slopes.json.
 */
export interface Slope {
  readonly command: string;
  readonly sizes: string;
  readonly seed: number | null;
  readonly commit: string;
  readonly node: string;
  // Each script has its own figures; the derivations read those they need.
  // deno-lint-ignore no-explicit-any
  readonly figures: Readonly<Record<string, any>>;
}

export type Slopes = Readonly<Record<string, Slope>>;
