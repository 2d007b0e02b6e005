/**
 * The series of one metric: one value per set of labels, limited in number.
 */
export type Labels = Readonly<Record<string, string>>;

/** Value of all labels of the series that collects label sets over the limit. */
export const OVERFLOW_LABEL = "other";

export interface SeriesMap<Value> {
  getOrCreate(labels: Labels): Value;
  get(labels: Labels): Value | undefined;
  entries(): Iterable<readonly [Labels, Value]>;
  clear(): void;
}

export function createSeriesMap<Value>(labelNames: readonly string[], options: {
  readonly maxSeries: number;
  readonly create: () => Value;
}): SeriesMap<Value> {
  const series = new Map<string, readonly [Labels, Value]>();
  const overflowLabels = Object.fromEntries(
    labelNames.map((name) => [name, OVERFLOW_LABEL]),
  );

  function keyOf(labels: Labels): string {
    return JSON.stringify(labelNames.map((name) => labels[name] ?? ""));
  }

  function insert(labels: Labels): Value {
    const value = options.create();
    const entries = labelNames.map((name) => [name, labels[name] ?? ""]);
    series.set(keyOf(labels), [Object.fromEntries(entries), value]);
    return value;
  }

  function getOrCreate(labels: Labels): Value {
    const existing = series.get(keyOf(labels));
    if (existing !== undefined) return existing[1];
    const isFull = series.size >= options.maxSeries - 1;
    if (!isFull || labelNames.length === 0) return insert(labels);
    return series.get(keyOf(overflowLabels))?.[1] ?? insert(overflowLabels);
  }

  return {
    getOrCreate,
    get: (labels) => series.get(keyOf(labels))?.[1],
    entries: () => series.values(),
    clear: () => series.clear(),
  };
}
