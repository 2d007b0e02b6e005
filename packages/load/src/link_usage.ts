/**
 * Bytes that this daemon sent over the region link, by customer, averaged over
 * a sliding window.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes } from "@peridotvalve/types";

const SLICE_MS = 1_000;
const WINDOW_SLICES = 10;

interface Slice {
  readonly second: number;
  readonly bytes: Bytes;
}

export interface LinkUsage {
  record(customer: string, bytes: Bytes): void;
  /** Bytes per second by customer; customers that sent nothing are left out. */
  rates(): ReadonlyMap<string, Bytes>;
}

export function createLinkUsage(clock: Clock): LinkUsage {
  const slices = new Map<string, readonly Slice[]>();

  function currentSecond(): number {
    return Math.floor(clock.monotonic() / SLICE_MS);
  }

  function listRecentSlices(customer: string): readonly Slice[] {
    const oldest = currentSecond() - WINDOW_SLICES;
    const all = slices.get(customer) ?? [];
    return all.filter((slice) => slice.second > oldest);
  }

  return {
    record(customer, bytes) {
      const second = currentSecond();
      const recentSlices = listRecentSlices(customer);
      const newest = recentSlices.at(-1);
      const next = newest?.second === second
        ? [...recentSlices.slice(0, -1), {
          second,
          bytes: newest.bytes + bytes,
        }]
        : [...recentSlices, { second, bytes }];
      slices.set(customer, next);
    },
    rates() {
      const rates = new Map<string, Bytes>();
      for (const customer of slices.keys()) {
        const total = listRecentSlices(customer)
          .reduce((sum, slice) => sum + slice.bytes, 0);
        if (total > 0) rates.set(customer, Math.ceil(total / WINDOW_SLICES));
      }
      return rates;
    },
  };
}
