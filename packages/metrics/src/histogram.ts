/**
 * A histogram over a sliding time window. Values are recorded in the newest of
 * `SLICE_COUNT` slices, and a slice is dropped when it leaves the window.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { build, type Histogram } from "hdr-histogram-js";

const SLICE_COUNT = 6;
const SIGNIFICANT_DIGITS = 2;

/** Histogram steps per unit; keeps the precision of values below one unit. */
const STEPS_PER_UNIT = 1_000;

/** The library fails above about 4e12 units with `STEPS_PER_UNIT` steps. */
const MAX_VALUE = 1e12;

export interface HistogramSummary {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
  /** Cumulative since the start, like `sum`; not limited to the window. */
  readonly count: number;
  readonly sum: number;
}

export abstract class WindowedHistogram {
  /** Records a value. Ignores values that are negative or not finite. */
  abstract record(value: number): void;
  abstract summarize(): HistogramSummary;
}

interface Slice {
  /** Index of the slice's time interval, counted from the clock's origin. */
  readonly interval: number;
  readonly values: Histogram;
}

function createHistogram(): Histogram {
  return build({
    // Packed buckets save at most 24 KB per slice, but computing quantiles takes
    // about 100 times as long and blocks the event loop during a scrape.
    bitBucketSize: 32,
    autoResize: true,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

export function createWindowedHistogram(
  clock: Clock,
  window: Milliseconds,
): WindowedHistogram {
  const sliceDuration = window / SLICE_COUNT;
  let slices: readonly Slice[] = [];
  let count = 0;
  let sum = 0;

  function currentInterval(): number {
    return Math.floor(clock.monotonic() / sliceDuration);
  }

  function activeSlices(): readonly Slice[] {
    const oldest = currentInterval() - SLICE_COUNT + 1;
    return slices.filter((slice) => slice.interval >= oldest);
  }

  function currentSlice(): Slice {
    const interval = currentInterval();
    const newest = slices.at(-1);
    if (newest?.interval === interval) return newest;
    const slice = { interval, values: createHistogram() };
    slices = [...activeSlices(), slice];
    return slice;
  }

  return new (class extends WindowedHistogram {
    override record(value: number): void {
      if (!Number.isFinite(value) || value < 0) return;
      currentSlice().values.recordValue(
        Math.round(Math.min(value, MAX_VALUE) * STEPS_PER_UNIT),
      );
      count += 1;
      sum += value;
    }

    override summarize(): HistogramSummary {
      const merged = createHistogram();
      for (const slice of activeSlices()) merged.add(slice.values);
      const max = merged.totalCount === 0
        ? 0
        : merged.maxValue / STEPS_PER_UNIT;
      // The library rounds a quantile up to its bucket, possibly above the maximum.
      const quantileAt = (percentile: number) =>
        merged.totalCount === 0 ? 0 : Math.min(
          max,
          merged.getValueAtPercentile(percentile) / STEPS_PER_UNIT,
        );
      return {
        p50: quantileAt(50),
        p95: quantileAt(95),
        p99: quantileAt(99),
        max,
        count,
        sum,
      };
    }
  })();
}
