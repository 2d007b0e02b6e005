/**
 * At-most-once execution of calls, by claims stored in table rows.
 */
export * from "./call.ts";
export * from "./claims.ts";
export type { ClaimsOptions } from "./options.ts";
export * from "./owned_claim.ts";
export { type ClaimRow, type Outcome, parseClaimRow } from "./row.ts";
export * from "./sweeper.ts";
