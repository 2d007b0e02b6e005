/**
 * The table row that stores a lease. A release keeps the row, so that the time
 * and the fencing token of the last holder stay readable.
 */
import type { Json, Row, RowKey } from "@peridotvalve/tables";
import { z } from "zod";

export interface LeaseRow {
  /** Name of the holder; null when the lease is released. */
  readonly holder: string | null;
  /** Random id of the acquisition that the current term began with. */
  readonly acquisition: string;
  /** Counts all writes made through the holder's `Lease` object. */
  readonly sequence: number;
  /**
   * Fencing token. Null in the acquiring write, because the token is the row
   * version that this write produces.
   */
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

/** Parses a row; undefined when it is absent or not a lease row. */
export function parseLeaseRow(row: Row | undefined): LeaseRow | undefined {
  return LEASE_ROW.safeParse(row?.value).data;
}

export function toRowValue(row: LeaseRow): Json {
  return { ...row };
}
