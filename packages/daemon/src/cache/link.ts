/**
 * A link budget that also reports what was taken from it, so that heartbeats
 * and aggregates carry the use of the link.
 */
import { LinkBudget } from "@peridotvalve/routing";
import type { Bytes } from "@peridotvalve/types";

export interface LinkUseOptions {
  readonly record: (customer: string, bytes: Bytes) => void;
  /** Called when a reservation was refused. */
  readonly onSpent: (customer: string, bytes: Bytes) => void;
  /** Bytes per second that all daemons send in the same direction. */
  readonly used: () => number;
}

/** Part of the rate that an estimate assumes at least on a full link. */
const MINIMUM_PART = 0.1;

export function recordLinkUse(
  budget: LinkBudget,
  options: LinkUseOptions,
): LinkBudget {
  return new (class extends LinkBudget {
    override available(customer: string): Bytes {
      return budget.available(customer);
    }

    override bytesPerSecond(customer: string): number {
      const all = budget.bytesPerSecond(customer);
      return Math.max(all * MINIMUM_PART, all - options.used());
    }

    override reserve(customer: string, bytes: Bytes): boolean {
      const isTaken = budget.reserve(customer, bytes);
      if (isTaken) options.record(customer, bytes);
      else options.onSpent(customer, bytes);
      return isTaken;
    }
  })();
}
