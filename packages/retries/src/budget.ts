/**
 * Budgets of extra attempts (retries or hedges) as a ratio of first attempts. A
 * burst of failures is then answered with a bounded number of extra attempts
 * instead of a multiple of the load.
 */

export abstract class AttemptBudget {
  /** Credits a first attempt of the customer. */
  abstract recordFirst(customer: string): void;

  /** True when an extra attempt of the customer has room. */
  abstract hasRoom(customer: string): boolean;

  /** Takes one extra attempt and says true, or takes nothing. */
  abstract take(customer: string): boolean;
}

export interface AttemptBudgetOptions {
  /** Extra attempts for each first attempt, in 0..1; read at each use. */
  readonly ratio: () => number;
  /** Extra attempts that the daemon can save up, and has at the start. */
  readonly reserve?: number;
  /** The same for one customer. */
  readonly customerReserve?: number;
  /** Customers remembered; the one longest unused is forgotten first. */
  readonly customers?: number;
}

/** Lets a daemon with little traffic repeat the requests of one dead replica. */
const DEFAULT_RESERVE = 20;

/** Below the daemon's reserve, so that one customer cannot use all of it. */
const DEFAULT_CUSTOMER_RESERVE = 5;

/** Above the 300 customers of the two-year target. */
const DEFAULT_CUSTOMERS = 1_000;

/** Sums of ratios such as 0.1 are not exact in binary. */
const ROUNDING_TOLERANCE = 1e-9;

/** A budget shared by the daemon, with a part for each customer. */
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

  /** Writes the customer's room and makes it the most recent entry. */
  function setRemaining(customer: string, value: number): void {
    customerRemaining.delete(customer);
    customerRemaining.set(customer, value);
    if (customerRemaining.size <= maxCustomers) return;
    const oldest = customerRemaining.keys().next();
    if (!oldest.done) customerRemaining.delete(oldest.value);
  }

  return new (class extends AttemptBudget {
    override recordFirst(customer: string): void {
      remaining = Math.min(reserve, remaining + ratio());
      const next = remainingFor(customer) + ratio();
      setRemaining(customer, Math.min(customerReserve, next));
    }

    override hasRoom(customer: string): boolean {
      const available = Math.min(remaining, remainingFor(customer));
      return available >= 1 - ROUNDING_TOLERANCE;
    }

    override take(customer: string): boolean {
      if (!this.hasRoom(customer)) return false;
      remaining -= 1;
      setRemaining(customer, remainingFor(customer) - 1);
      return true;
    }
  })();
}
