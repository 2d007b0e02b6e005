/**
 * Trace replay, measurements and history checks.
 */
export {};
