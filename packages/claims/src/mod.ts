/**
 * At-most-once claims over table rows.
 */
export * from "./call.ts";
export * from "./claims.ts";
export type { ClaimsOptions } from "./options.ts";
export * from "./owned_claim.ts";
export { type ClaimRow, type Outcome, parseClaimRow } from "./row.ts";
export * from "./sweeper.ts";
