/**
 * The structure of the capacity page and the formats of its figures.
 */
/** A table row: cell texts by column title. */
export type Line = Readonly<Record<string, string>>;

export interface Section {
  readonly title: string;
  readonly text: string;
  readonly lines: readonly Line[];
}

/** A section of the page and its items for the list of open points. */
export interface Derivation {
  readonly section: Section;
  readonly notes: readonly string[];
}

/** The figure at the largest measured size; NaN when it is missing. */
export function figureAtLargestSize(
  figures: readonly Record<string, number>[],
  key: string,
) {
  return figures.at(-1)?.[key] ?? NaN;
}

/** Appends "does not fit" to the text of a value above its bound. */
export function markIfExceeded(
  text: string,
  { value, bound }: { readonly value: number; readonly bound: number },
): string {
  return value <= bound ? text : `${text}, does not fit`;
}

export function describeFit(value: number, bound: number): string {
  return value <= bound ? "fits" : "does not fit";
}

export function formatMegabytes(bytes: number): string {
  return (Math.max(0, bytes) / 1e6).toFixed(1);
}

export function formatKilobytes(bytes: number): string {
  return (bytes / 1e3).toFixed(1);
}
