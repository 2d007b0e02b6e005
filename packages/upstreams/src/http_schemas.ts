/**
 * Schemas of the bodies that engines and store VMs send.
 */
import { z } from "zod";

const count = z.number().int().nonnegative();
const text = z.string().max(200);

export const errorResponseSchema = z.object({
  error: z.object({
    code: text,
    message: z.string().optional(),
    weights: text.optional(),
  }),
});

export const startSchema = z.object({
  attempt: text,
  weights: text,
  cachedTokens: count,
  queuedMilliseconds: z.number().nonnegative(),
});

export const tokenSchema = z.object({
  attempt: text,
  offset: count,
  text: z.string(),
});

export const endSchema = z.object({
  attempt: text,
  count,
  finish: z.enum(["stop", "length", "cancelled"]),
});

export const loadReportSchema = z.object({
  incarnation: text,
  weights: text,
  state: z.enum(["ready", "loading", "leaving"]),
  running: count,
  waiting: count,
  queuedTokens: count,
  usedBlocks: count,
  freeBlocks: count,
  at: z.number(),
});

export const cacheEventsSchema = z.object({
  incarnation: text,
  first: count,
  events: z.array(z.object({
    sequence: count,
    kind: z.enum(["stored", "removed"]),
    block: text,
  })),
});

export const storedBlockSchema = z.object({
  generation: text.min(1),
  length: count,
  checksum: z.string().regex(/^[0-9a-f]{64}$/),
  incarnation: text.min(1),
});

export const statsSchema = z.object({
  incarnation: text,
  memoryBytes: count,
  memoryLimit: count,
  diskBytes: count,
  diskLimit: count,
  blocks: count,
});

/** Parses a JSON text; undefined when it does not match the schema. */
export function parseJson<Value>(
  content: string,
  schema: z.ZodType<Value>,
): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(content)).data;
  } catch {
    return undefined;
  }
}
