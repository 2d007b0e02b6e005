/**
 * A registry of named metrics with bounded label cardinality.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import {
  createWindowedHistogram,
  type WindowedHistogram,
} from "./histogram.ts";
import { type MetricFamily, renderFamilies } from "./exposition.ts";
import { createSeriesMap, type Labels } from "./series.ts";

/** The two-year target is 300 customers; leaves room for a second label. */
const DEFAULT_MAX_SERIES = 1_000;
const DEFAULT_WINDOW: Milliseconds = 60_000;

const NAME = /^[a-zA-Z_][a-zA-Z0-9_]*$/;

export interface MetricOptions {
  readonly help: string;
  readonly labels?: readonly string[];
}

export interface HistogramOptions extends MetricOptions {
  /**
   * Number of recorded units in one unit of the page: 1,000 for values that are
   * recorded in milliseconds and shown in seconds. Values far below one recorded
   * unit lose precision, so seconds are not recorded as such.
   */
  readonly unit?: number;
}

export abstract class Counter {
  /** Adds an amount. Ignores negative amounts and NaN. */
  abstract add(amount?: number, labels?: Labels): void;
  abstract value(labels?: Labels): number;
}

export abstract class Gauge {
  abstract set(value: number, labels?: Labels): void;
  abstract add(amount: number, labels?: Labels): void;
  abstract value(labels?: Labels): number;
  /** Removes all series, so that series no longer set are not exported. */
  abstract clear(): void;
}

export abstract class HistogramMetric {
  abstract record(value: number, labels?: Labels): void;
  abstract summarize(
    labels?: Labels,
  ): ReturnType<WindowedHistogram["summarize"]>;
}

export abstract class Registry {
  abstract counter(name: string, options: MetricOptions): Counter;
  abstract gauge(name: string, options: MetricOptions): Gauge;
  abstract histogram(name: string, options: HistogramOptions): HistogramMetric;
  /** Returns all metrics in the Prometheus text format. */
  abstract render(): string;
}

export interface RegistryOptions {
  /** Maximum series per metric; the rest share the series labelled "other". */
  readonly maxSeries?: number;
  /** Period that the quantiles of histograms cover. */
  readonly window?: Milliseconds;
}

/**
 * Creates an empty registry. Its methods throw when a metric or label name is
 * invalid or a metric name is already registered, which is a programming error.
 */
export function createRegistry(
  clock: Clock,
  options: RegistryOptions = {},
): Registry {
  const { maxSeries = DEFAULT_MAX_SERIES, window = DEFAULT_WINDOW } = options;
  const families = new Map<string, MetricFamily>();

  function register(name: string, family: MetricFamily): void {
    if (!NAME.test(name)) throw new Error(`invalid metric name: ${name}`);
    if (families.has(name)) throw new Error(`duplicate metric: ${name}`);
    families.set(name, family);
  }

  function createSeries<Value>(
    labelNames: readonly string[],
    create: () => Value,
  ) {
    for (const label of labelNames) {
      if (!NAME.test(label)) throw new Error(`invalid label name: ${label}`);
    }
    return createSeriesMap(labelNames, { maxSeries, create });
  }

  return new (class extends Registry {
    override counter(name: string, options: MetricOptions): Counter {
      const series = createSeries(options.labels ?? [], () => ({ value: 0 }));
      register(name, { kind: "counter", help: options.help, name, series });
      return new (class extends Counter {
        override add(amount = 1, labels: Labels = {}): void {
          if (amount >= 0) series.getOrCreate(labels).value += amount;
        }
        override value(labels: Labels = {}): number {
          return series.get(labels)?.value ?? 0;
        }
      })();
    }

    override gauge(name: string, options: MetricOptions): Gauge {
      const series = createSeries(options.labels ?? [], () => ({ value: 0 }));
      register(name, { kind: "gauge", help: options.help, name, series });
      return new (class extends Gauge {
        override set(value: number, labels: Labels = {}): void {
          series.getOrCreate(labels).value = value;
        }
        override add(amount: number, labels: Labels = {}): void {
          series.getOrCreate(labels).value += amount;
        }
        override value(labels: Labels = {}): number {
          return series.get(labels)?.value ?? 0;
        }
        override clear(): void {
          series.clear();
        }
      })();
    }

    override histogram(
      name: string,
      options: HistogramOptions,
    ): HistogramMetric {
      const { help, unit = 1 } = options;
      const create = () => createWindowedHistogram(clock, window);
      const series = createSeries(options.labels ?? [], create);
      register(name, { kind: "summary", help, name, series, unit });
      return new (class extends HistogramMetric {
        override record(value: number, labels: Labels = {}): void {
          series.getOrCreate(labels).record(value);
        }
        override summarize(labels: Labels = {}) {
          return (series.get(labels) ?? create()).summarize();
        }
      })();
    }

    override render(): string {
      return renderFamilies([...families.values()]);
    }
  })();
}
