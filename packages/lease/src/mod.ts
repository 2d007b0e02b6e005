/**
 * Leases with fencing tokens, each stored in one table row.
 */
export * from "./lease.ts";
export * from "./run.ts";
