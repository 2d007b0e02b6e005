/**
 * Parses the outcome file, which states the expected results of a replay and
 * the faults to inject into stand-ins while it runs.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { formatIssue, parseJson } from "../trace/trace.ts";

const fraction = z.number().min(0).max(1);

const schema = z.strictObject({
  /** Minimum number of completed requests. */
  minimumCompleted: z.number().int().positive(),
  /** Minimum share of requests completed within their patience. */
  minimumWithinPatience: fraction.optional(),
  /** Maximum 95th percentile of the time to first token, in milliseconds. */
  firstTokenP95: z.number().positive().optional(),
  /** Maximum share of prompt tokens that were not cached. */
  maximumRecomputed: fraction.optional(),
  /** Stand-ins (`host:port`) at which each completed order must run once. */
  ordersRunOnceAt: z.array(z.string()).min(1).optional(),
  faults: z.array(z.strictObject({
    /** Injection time in milliseconds since the start of the trace. */
    at: z.number().min(0),
    /** Address of the stand-in as `host:port`. */
    standin: z.string(),
    /** Settings that are sent to the stand-in, such as `slowFactor`. */
    faults: z.record(z.string(), z.unknown()),
  })).default([]),
});

/** Expected results of a replay and the faults to inject. */
export type Outcomes = Readonly<z.infer<typeof schema>>;

/** Parses an outcome file; the error names the first invalid field. */
export function parseOutcomes(text: string): Result<Outcomes, string> {
  const parsed = schema.safeParse(parseJson(text));
  return parsed.success ? Ok(parsed.data) : Err(formatIssue(parsed.error));
}
