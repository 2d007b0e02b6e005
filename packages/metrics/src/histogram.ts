/**
 * A histogram whose old values fade: values go into the newest of a few
 * slices, and a slice is dropped when it is as old as the window.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { build, type Histogram } from "hdr-histogram-js";

const SLICES = 6;
const SIGNIFICANT_DIGITS = 2;

/** Steps for each unit, so that values under one unit keep their precision. */
const STEPS = 1_000;

/** The library fails above about 4e12 units at this number of steps. */
const MAX_VALUE = 1e12;

export interface HistogramSummary {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
  /** Count and sum since the start; they do not fade. */
  readonly count: number;
  readonly sum: number;
}

export abstract class WindowedHistogram {
  /** Records a value of at least 0; other values are left out. */
  abstract record(value: number): void;
  abstract summarize(): HistogramSummary;
}

interface Slice {
  /** Number of the time span that the slice holds. */
  readonly span: number;
  readonly values: Histogram;
}

function createValues(): Histogram {
  return build({
    // Packed buckets save at most 24 KB for a slice, but their quantiles take
    // about 100 times as long and block the process during a scrape.
    bitBucketSize: 32,
    autoResize: true,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

export function createWindowedHistogram(
  clock: Clock,
  window: Milliseconds,
): WindowedHistogram {
  const length = window / SLICES;
  let slices: readonly Slice[] = [];
  let count = 0;
  let sum = 0;

  function currentSpan(): number {
    return Math.floor(clock.monotonic() / length);
  }

  function liveSlices(): readonly Slice[] {
    const oldest = currentSpan() - SLICES + 1;
    return slices.filter((slice) => slice.span >= oldest);
  }

  function openSlice(): Slice {
    const span = currentSpan();
    const newest = slices.at(-1);
    if (newest?.span === span) return newest;
    const slice = { span, values: createValues() };
    slices = [...liveSlices(), slice];
    return slice;
  }

  return new (class extends WindowedHistogram {
    override record(value: number): void {
      if (!Number.isFinite(value) || value < 0) return;
      openSlice().values.recordValue(
        Math.round(Math.min(value, MAX_VALUE) * STEPS),
      );
      count += 1;
      sum += value;
    }

    override summarize(): HistogramSummary {
      const merged = createValues();
      for (const slice of liveSlices()) merged.add(slice.values);
      const max = merged.totalCount === 0 ? 0 : merged.maxValue / STEPS;
      // A quantile is rounded up to its bucket, which can lie above the maximum.
      const at = (percentile: number) =>
        merged.totalCount === 0
          ? 0
          : Math.min(max, merged.getValueAtPercentile(percentile) / STEPS);
      return { p50: at(50), p95: at(95), p99: at(99), max, count, sum };
    }
  })();
}
