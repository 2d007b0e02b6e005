/**
 * What the measuring scripts print, as docs/capacity_slopes.json keeps it.
 */
export interface Slope {
  readonly command: string;
  readonly sizes: string;
  readonly seed: number | null;
  readonly commit: string;
  readonly node: string;
  // The scripts' output; `derivation.ts` reads the figures that it needs.
  // deno-lint-ignore no-explicit-any
  readonly figures: Readonly<Record<string, any>>;
}

export type Slopes = Readonly<Record<string, Slope>>;
