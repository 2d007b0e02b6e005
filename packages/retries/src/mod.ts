/**
 * Attempt states, retry and hedge budgets.
 */
export {};
