/**
 * Schemas of the platform's responses (docs/design.md, section 7.4).
 */
import { z } from "zod";
import type { Json } from "./platform.ts";

// Bodies come from JSON.parse, so every value in them is valid JSON.
const JSON_VALUE = z.custom<Json>((value) => value !== undefined);
const VERSION = z.number().int().nonnegative();

const ROW_CHECK = z.object({
  table: z.string(),
  key: z.string(),
  version: VERSION,
});

export const COMMIT_RESPONSE = z.object({ versions: z.array(ROW_CHECK) });

export const CONFLICT_RESPONSE = z.object({
  conflicts: z.array(ROW_CHECK.extend({ value: JSON_VALUE })),
});

export const ROW_RESPONSE = z.object({ value: JSON_VALUE, version: VERSION });

export const PAGE_RESPONSE = z.object({
  rows: z.array(ROW_RESPONSE.extend({ key: z.string() })),
  more: z.boolean(),
});

export const LISTED_VM = z.object({
  name: z.string(),
  address: z.string(),
  zone: z.string(),
  state: z.enum(["live", "leaving"]),
  incarnation: z.string(),
});

/** Entries are checked one by one, so that an odd one costs no other. */
export const VMS_RESPONSE = z.object({
  at: z.number(),
  vms: z.array(z.unknown()),
});
