/**
 * Configuration head, compare-and-set apply and watch.
 */
export {};
