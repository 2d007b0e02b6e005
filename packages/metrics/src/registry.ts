/**
 * Registry of named metrics with labels of bounded cardinality.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import {
  createWindowedHistogram,
  type WindowedHistogram,
} from "./histogram.ts";
import { type MetricFamily, renderFamilies } from "./exposition.ts";
import { createSeriesMap, type Labels } from "./series.ts";

/** 300 customers in the two-year target, with room for a second label. */
const DEFAULT_MAX_SERIES = 1_000;
const DEFAULT_WINDOW: Milliseconds = 60_000;

const NAME_PATTERN = /^[a-zA-Z_][a-zA-Z0-9_]*$/;

export interface MetricOptions {
  readonly help: string;
  readonly labels?: readonly string[];
}

export abstract class Counter {
  /** Adds an amount of at least 0. */
  abstract add(amount?: number, labels?: Labels): void;
  abstract value(labels?: Labels): number;
}

export abstract class Gauge {
  abstract set(value: number, labels?: Labels): void;
  abstract add(amount: number, labels?: Labels): void;
  abstract value(labels?: Labels): number;
  /** Drops all series, so that those no longer set are not shown. */
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
  abstract histogram(name: string, options: MetricOptions): HistogramMetric;
  /** All metrics in the text format of Prometheus. */
  abstract render(): string;
}

export interface RegistryOptions {
  /** Series of one metric; more go to the series labelled "other". */
  readonly maxSeries?: number;
  /** Age at which values leave the quantiles. */
  readonly window?: Milliseconds;
}

/** Throws when a name is malformed or taken: a fault of the program. */
export function createRegistry(
  clock: Clock,
  options: RegistryOptions = {},
): Registry {
  const { maxSeries = DEFAULT_MAX_SERIES, window = DEFAULT_WINDOW } = options;
  const families = new Map<string, MetricFamily>();

  function register(name: string, family: MetricFamily): void {
    if (!NAME_PATTERN.test(name)) throw new Error(`bad metric name ${name}`);
    if (families.has(name)) throw new Error(`metric ${name} exists`);
    families.set(name, family);
  }

  function createSeries<Value>(
    labelNames: readonly string[],
    create: () => Value,
  ) {
    for (const label of labelNames) {
      if (!NAME_PATTERN.test(label)) throw new Error(`bad label ${label}`);
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

    override histogram(name: string, options: MetricOptions): HistogramMetric {
      const create = () => createWindowedHistogram(clock, window);
      const series = createSeries(options.labels ?? [], create);
      register(name, { kind: "summary", help: options.help, name, series });
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
