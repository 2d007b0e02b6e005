/**
 * Schemas of the requests that the platform stand-in accepts
 * (docs/design.md, section 7.4).
 */
import type { Json } from "@peridotvalve/tables";
import { z } from "zod";

const ROW_KEY = z.object({ table: z.string().min(1), key: z.string().min(1) });

export const TRANSACTION = z.object({
  id: z.string().min(1),
  checks: z.array(
    ROW_KEY.extend({ version: z.number().int().nonnegative() }),
  ),
  writes: z.array(
    ROW_KEY.extend({
      value: z.custom<Json>((value) => value !== undefined),
    }),
  ),
});

export const VM_LIST = z.array(z.object({
  name: z.string(),
  address: z.string(),
  zone: z.string(),
  state: z.enum(["live", "leaving"]),
  incarnation: z.string(),
}));

const MAX_PAGE_ROWS = 1_000;

export const ROW_RANGE = z.object({
  prefix: z.string().default(""),
  after: z.string().optional(),
  limit: z.coerce.number().int().positive().max(MAX_PAGE_ROWS).default(
    MAX_PAGE_ROWS,
  ),
});
