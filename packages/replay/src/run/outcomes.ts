/**
 * The outcome file: what a replay must show, and the faults that are switched
 * at stand-ins while it runs.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { formatIssue, parseJson } from "../trace/trace.ts";

const fraction = z.number().min(0).max(1);

const schema = z.strictObject({
  /** Least number of completed requests. */
  minimumCompleted: z.number().int().positive(),
  /** Least share of requests that were answered within their patience. */
  minimumWithinPatience: fraction.optional(),
  /** Largest time to first token at the 95th percentile, in milliseconds. */
  firstTokenP95: z.number().positive().optional(),
  /** Largest share of prompt tokens that were computed again. */
  maximumRecomputed: fraction.optional(),
  /** Addresses of the stand-ins of services, when each order must run once. */
  ordersRunOnceAt: z.array(z.string()).min(1).optional(),
  faults: z.array(z.strictObject({
    /** Milliseconds since the start of the trace. */
    at: z.number().min(0),
    /** Address of the stand-in. */
    standin: z.string(),
    faults: z.record(z.string(), z.unknown()),
  })).default([]),
});

export type Outcomes = Readonly<z.infer<typeof schema>>;

export function parseOutcomes(text: string): Result<Outcomes, string> {
  const parsed = schema.safeParse(parseJson(text));
  return parsed.success ? Ok(parsed.data) : Err(formatIssue(parsed.error));
}
