/**
 * Leases with fencing tokens over a table row.
 */
export * from "./lease.ts";
export * from "./run.ts";
