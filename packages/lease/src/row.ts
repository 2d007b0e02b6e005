/**
 * The row of a lease. It stays when the lease is released, so that the time
 * and the token of the last holder remain readable.
 */
import type { Json, Row, RowKey } from "@peridotvalve/tables";
import { z } from "zod";

export interface LeaseRow {
  /** Name of the holder; null after a release. */
  readonly holder: string | null;
  /** Random id of one acquisition. */
  readonly acquisition: string;
  /** Number of the write among all writes of the holder's `Lease`. */
  readonly sequence: number;
  /** Fencing token; null in the acquiring write, whose version it is. */
  readonly token: number | null;
}

const LEASE_ROW = z.object({
  holder: z.string().nullable(),
  acquisition: z.string(),
  sequence: z.number().int().nonnegative(),
  token: z.number().int().nullable(),
});

const LEASE_TABLE = "leases";

export function leaseKey(name: string): RowKey {
  return { table: LEASE_TABLE, key: name };
}

/** What a row says; undefined when there is none or it holds something else. */
export function parseLeaseRow(row: Row | undefined): LeaseRow | undefined {
  return LEASE_ROW.safeParse(row?.value).data;
}

export function leaseValue(row: LeaseRow): Json {
  return { ...row };
}
