/**
 * Helpers of the measuring scripts: quantiles, CPU time and heap growth.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Nearest-rank median; NaN without values. */
export function medianOf(values: readonly number[]): number {
  return quantileOf(values, 0.5);
}

/** Nearest-rank quantile at a fraction from 0 to 1; NaN without values. */
export function quantileOf(
  values: readonly number[],
  fraction: number,
): number {
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.max(1, Math.ceil(fraction * sorted.length));
  return sorted[rank - 1] ?? NaN;
}

/** Rounds to three decimal places. */
export function roundToThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** CPU time of this process in milliseconds since the usage was read. */
export function cpuMillisecondsSince(usage: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(usage);
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/**
 * Returns a function that runs a full garbage collection. The process needs no
 * `--expose-gc` flag for it.
 */
export function createGarbageCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}

/** Measures the bytes of heap and buffers that the result of `work` retains. */
export function measureHeap<Value>(
  collect: () => void,
  work: () => Value,
): { readonly value: Value; readonly bytes: number } {
  collect();
  const before = process.memoryUsage();
  const value = work();
  collect();
  const after = process.memoryUsage();
  const bytes = after.heapUsed - before.heapUsed +
    after.arrayBuffers - before.arrayBuffers;
  return { value, bytes };
}
