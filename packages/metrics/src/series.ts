/**
 * The series of one metric: a value for each set of labels, with a bound.
 */
export type Labels = Readonly<Record<string, string>>;

/** Value of every label of the series that takes what is over the bound. */
export const OVERFLOW_LABEL = "other";

export interface SeriesMap<Value> {
  open(labels: Labels): Value;
  find(labels: Labels): Value | undefined;
  entries(): Iterable<readonly [Labels, Value]>;
  clear(): void;
}

export function createSeriesMap<Value>(names: readonly string[], options: {
  readonly maxSeries: number;
  readonly create: () => Value;
}): SeriesMap<Value> {
  const series = new Map<string, readonly [Labels, Value]>();
  const overflow = Object.fromEntries(
    names.map((name) => [name, OVERFLOW_LABEL]),
  );

  function keyOf(labels: Labels): string {
    return JSON.stringify(names.map((name) => labels[name] ?? ""));
  }

  function insert(labels: Labels): Value {
    const value = options.create();
    const known = names.map((name) => [name, labels[name] ?? ""]);
    series.set(keyOf(labels), [Object.fromEntries(known), value]);
    return value;
  }

  function open(labels: Labels): Value {
    const present = series.get(keyOf(labels));
    if (present !== undefined) return present[1];
    const isFull = series.size >= options.maxSeries - 1;
    if (!isFull || names.length === 0) return insert(labels);
    return series.get(keyOf(overflow))?.[1] ?? insert(overflow);
  }

  return {
    open,
    find: (labels) => series.get(keyOf(labels))?.[1],
    entries: () => series.values(),
    clear: () => series.clear(),
  };
}
