/**
 * Identity of a non-idempotent call: its customer, its idempotency key, and a
 * fingerprint that distinguishes a repeat from a different call with the same
 * key.
 */
import { createHash } from "node:crypto";
import type { RowKey } from "@peridotvalve/tables";

export interface ClaimedCall {
  readonly customer: string;
  readonly idempotencyKey: string;
  /** Result of `fingerprintOf`. */
  readonly fingerprint: string;
}

export interface CallContent {
  readonly method: string;
  /** Path including the query. */
  readonly path: string;
  readonly body: Uint8Array;
}

export const CLAIMS_TABLE = "claims";

/** Row key of a call. Customers have separate key spaces. */
export function claimKey(
  { customer, idempotencyKey }: ClaimedCall,
): RowKey {
  const hash = createHash("sha256").update(idempotencyKey).digest("hex");
  const key = `${encodeURIComponent(customer)}/${hash}`;
  return { table: CLAIMS_TABLE, key };
}

/** SHA-256 of method, path and body, in hexadecimal. */
export function fingerprintOf({ method, path, body }: CallContent): string {
  return createHash("sha256")
    .update(JSON.stringify([method, path]))
    .update(body)
    .digest("hex");
}
