/**
 * Leases with fencing numbers over a table row.
 */
export {};
