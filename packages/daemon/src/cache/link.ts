/**
 * A link budget that also records reservations, so that heartbeats and
 * aggregates carry the usage of the region link.
 */
import { LinkBudget } from "@peridotvalve/routing";
import type { Bytes } from "@peridotvalve/types";

export interface LinkUseOptions {
  readonly record: (customer: string, bytes: Bytes) => void;
  /** Called when a reservation was refused. */
  readonly onRefused: (customer: string, bytes: Bytes) => void;
  /** Bytes per second that all daemons send in this direction. */
  readonly used: () => number;
}

/** Smallest fraction of the rate that an estimate assumes on a full link. */
const MIN_RATE_FRACTION = 0.1;

export function recordLinkUse(
  budget: LinkBudget,
  options: LinkUseOptions,
): LinkBudget {
  return new (class extends LinkBudget {
    override available(customer: string): Bytes {
      return budget.available(customer);
    }

    override bytesPerSecond(customer: string): number {
      const fullRate = budget.bytesPerSecond(customer);
      return Math.max(fullRate * MIN_RATE_FRACTION, fullRate - options.used());
    }

    override reserve(customer: string, bytes: Bytes): boolean {
      const isGranted = budget.reserve(customer, bytes);
      if (isGranted) options.record(customer, bytes);
      else options.onRefused(customer, bytes);
      return isGranted;
    }
  })();
}
