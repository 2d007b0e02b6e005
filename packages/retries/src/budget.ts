/**
 * Budgets that limit extra attempts (retries or hedges) to a ratio of first
 * attempts. A burst of failures then causes a bounded number of extra attempts
 * instead of multiplying the load.
 */

export abstract class AttemptBudget {
  /** Adds the credit of one first attempt of the key, such as a customer. */
  abstract recordFirstAttempt(key: string): void;

  /** Whether the budget allows an extra attempt of the key. */
  abstract canTake(key: string): boolean;

  /** Consumes one extra attempt if the budget allows it; false otherwise. */
  abstract tryTake(key: string): boolean;
}

export interface AttemptBudgetOptions {
  /** Extra attempts per first attempt, in 0..1; called at each use. */
  readonly ratio: () => number;
  /** Maximum and initial balance of the daemon, in extra attempts. */
  readonly reserve?: number;
  /** Maximum and initial balance of one customer, in extra attempts. */
  readonly customerReserve?: number;
  /** Maximum customers tracked; the least recently used is evicted. */
  readonly customers?: number;
}

/**
 * Allows a daemon with little traffic to retry the requests of a dead replica.
 */
const DEFAULT_RESERVE = 20;

/** Smaller than the daemon's reserve, so that no customer can exhaust it. */
const DEFAULT_CUSTOMER_RESERVE = 5;

/** Greater than the 300 customers of the two-year capacity target. */
const DEFAULT_CUSTOMERS = 1_000;

/** Sums of ratios such as 0.1 are inexact in binary floating point. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Creates a budget for the whole daemon with a sub-budget for each customer.
 */
export function createAttemptBudget(
  options: AttemptBudgetOptions,
): AttemptBudget {
  const { ratio } = options;
  const reserve = options.reserve ?? DEFAULT_RESERVE;
  const customerReserve = options.customerReserve ?? DEFAULT_CUSTOMER_RESERVE;
  const maxCustomers = options.customers ?? DEFAULT_CUSTOMERS;
  const customerRemaining = new Map<string, number>();
  let remaining = reserve;

  function remainingFor(customer: string): number {
    return customerRemaining.get(customer) ?? customerReserve;
  }

  /** Sets the customer's balance and makes it the most recently used entry. */
  function setRemaining(customer: string, value: number): void {
    customerRemaining.delete(customer);
    customerRemaining.set(customer, value);
    if (customerRemaining.size <= maxCustomers) return;
    const oldest = customerRemaining.keys().next();
    if (!oldest.done) customerRemaining.delete(oldest.value);
  }

  return new (class extends AttemptBudget {
    override recordFirstAttempt(customer: string): void {
      remaining = Math.min(reserve, remaining + ratio());
      const next = remainingFor(customer) + ratio();
      setRemaining(customer, Math.min(customerReserve, next));
    }

    override canTake(customer: string): boolean {
      const available = Math.min(remaining, remainingFor(customer));
      return available >= 1 - ROUNDING_TOLERANCE;
    }

    override tryTake(customer: string): boolean {
      if (!this.canTake(customer)) return false;
      remaining -= 1;
      setRemaining(customer, remainingFor(customer) - 1);
      return true;
    }
  })();
}
