/**
 * Identity of a non-idempotent call: whose it is, its idempotency key, and a
 * fingerprint that tells a repeat from another call under the same key.
 */
import { createHash } from "node:crypto";
import type { RowKey } from "@peridotvalve/tables";

export interface ClaimedCall {
  readonly customer: string;
  readonly idempotencyKey: string;
  /** See `fingerprintOf`. */
  readonly fingerprint: string;
}

export interface CallContent {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly body: Uint8Array;
}

export const CLAIMS_TABLE = "claims";

/** The row of a call. Keys of different customers never meet. */
export function claimKey(
  { customer, idempotencyKey }: ClaimedCall,
): RowKey {
  const hash = createHash("sha256").update(idempotencyKey).digest("hex");
  const key = `${encodeURIComponent(customer)}/${hash}`;
  return { table: CLAIMS_TABLE, key };
}

/** SHA-256 over method, path and body, in hex. */
export function fingerprintOf({ method, path, body }: CallContent): string {
  return createHash("sha256")
    .update(JSON.stringify([method, path]))
    .update(body)
    .digest("hex");
}
