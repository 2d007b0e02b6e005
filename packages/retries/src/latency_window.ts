/**
 * Quantiles of recent latencies, from two histograms of which the older is
 * dropped at each turn.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { build, type Histogram } from "hdr-histogram-js";

export abstract class LatencyWindow {
  abstract record(latency: Milliseconds): void;

  /** The quantile in 0..1; undefined while too few latencies are known. */
  abstract quantile(quantile: number): Milliseconds | undefined;
}

/** Enough values for a 95th percentile that is not one single latency. */
const MINIMUM_COUNT = 20;

const DEFAULT_TURN: Milliseconds = 30_000;

/** Longer latencies are recorded as this one. */
const HIGHEST: Milliseconds = 600_000;

export function createLatencyWindow(
  options: { readonly clock: Clock; readonly turn?: Milliseconds },
): LatencyWindow {
  const { clock } = options;
  const turn = options.turn ?? DEFAULT_TURN;
  let newer = createHistogram();
  let older = createHistogram();
  let turnedAt = clock.monotonic();

  function turnIfDue(): void {
    const elapsed = clock.monotonic() - turnedAt;
    if (elapsed < turn) return;
    older = elapsed < 2 * turn ? newer : createHistogram();
    newer = createHistogram();
    turnedAt = clock.monotonic();
  }

  return new (class extends LatencyWindow {
    override record(latency: Milliseconds): void {
      turnIfDue();
      const value = Math.min(HIGHEST, Math.max(1, Math.round(latency)));
      newer.recordValue(value);
    }

    override quantile(quantile: number): Milliseconds | undefined {
      if (clock.monotonic() - turnedAt >= 2 * turn) return undefined;
      const both = createHistogram();
      both.add(newer);
      both.add(older);
      if (both.totalCount < MINIMUM_COUNT) return undefined;
      return both.getValueAtPercentile(quantile * 100);
    }
  })();
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 2,
  });
}
