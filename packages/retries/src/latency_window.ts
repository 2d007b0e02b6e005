/**
 * Quantiles of recent latencies over two histograms. At each rotation the older
 * histogram is dropped and a new one is started.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { build, type Histogram } from "hdr-histogram-js";

export abstract class LatencyWindow {
  abstract record(latency: Milliseconds): void;

  /** A quantile in 0..1; undefined while too few latencies are known. */
  abstract quantile(quantile: number): Milliseconds | undefined;
}

/** With fewer values the 95th percentile would be the largest latency. */
const MINIMUM_COUNT = 20;

const DEFAULT_ROTATION_PERIOD: Milliseconds = 30_000;

/** Longer latencies are recorded as this value. */
const MAX_LATENCY: Milliseconds = 600_000;

export function createLatencyWindow(
  options: { readonly clock: Clock; readonly rotationPeriod?: Milliseconds },
): LatencyWindow {
  const { clock } = options;
  const rotationPeriod = options.rotationPeriod ?? DEFAULT_ROTATION_PERIOD;
  let newer = createHistogram();
  let older = createHistogram();
  /** Both together, as quantiles are asked for several times in a request. */
  let all = createHistogram();
  let rotatedAt = clock.monotonic();

  function rotateIfDue(): void {
    const elapsed = clock.monotonic() - rotatedAt;
    if (elapsed < rotationPeriod) return;
    older = elapsed < 2 * rotationPeriod ? newer : createHistogram();
    newer = createHistogram();
    all = createHistogram();
    all.add(older);
    rotatedAt = clock.monotonic();
  }

  return new (class extends LatencyWindow {
    override record(latency: Milliseconds): void {
      rotateIfDue();
      const value = Math.min(MAX_LATENCY, Math.max(1, Math.round(latency)));
      newer.recordValue(value);
      all.recordValue(value);
    }

    override quantile(quantile: number): Milliseconds | undefined {
      if (clock.monotonic() - rotatedAt >= 2 * rotationPeriod) return undefined;
      if (all.totalCount < MINIMUM_COUNT) return undefined;
      return all.getValueAtPercentile(quantile * 100);
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
