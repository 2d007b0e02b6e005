/**
 * The digest as a heartbeat carries it. Load reports travel in a long form or,
 * while incarnation, weights and state are unchanged, in a short form.
 */
import type { LoadReport, Milliseconds, Timestamp } from "@peridotvalve/types";
import { z } from "zod";

const amount = z.number().nonnegative();
const key = z.string().max(200);

const shortReport = z.tuple([key, amount, amount, amount, amount]);
const longReport = z.tuple([
  key,
  key,
  z.enum(["ready", "loading", "leaving"]),
  amount,
  amount,
  amount,
  amount,
  amount,
  amount,
]);

export const digestSchema = z.object({
  c: z.string().max(1_200).optional(),
  s: z.tuple([key, key.nullable()]).optional(),
  r: z.record(key, z.union([shortReport, longReport])).optional(),
});

export type Digest = z.infer<typeof digestSchema>;
export type WireReport = NonNullable<Digest["r"]>[string];

/** Characters of an incarnation that tie a short report to the long one. */
const TAG_LENGTH = 4;

export function toLong(report: LoadReport, age: Milliseconds): WireReport {
  const { incarnation, weights, state, running, waiting } = report;
  const { queuedTokens, usedBlocks, freeBlocks } = report;
  return [
    ...[incarnation, weights, state] as const,
    ...[running, waiting, queuedTokens, usedBlocks, freeBlocks] as const,
    Math.round(age),
  ];
}

export function toShort(report: LoadReport, age: Milliseconds): WireReport {
  const tag = report.incarnation.slice(0, TAG_LENGTH);
  const { running, waiting, queuedTokens } = report;
  return [tag, running, waiting, queuedTokens, Math.round(age)];
}

export interface ReceivedReport {
  readonly report: LoadReport;
  readonly age: Milliseconds;
}

/** Undefined for a short form whose long form is not held. */
export function fromWire(
  wire: WireReport,
  held: LoadReport | undefined,
  now: Timestamp,
): ReceivedReport | undefined {
  if (wire.length === 5) {
    const [tag, running, waiting, queuedTokens, age] = wire;
    if (held?.incarnation.slice(0, TAG_LENGTH) !== tag) return undefined;
    const at = now - age;
    return { report: { ...held, running, waiting, queuedTokens, at }, age };
  }
  const [incarnation, weights, state, running, waiting, ...rest] = wire;
  const [queuedTokens, usedBlocks, freeBlocks, age] = rest;
  const report = {
    ...{ incarnation, weights, state, running, waiting, queuedTokens },
    ...{ usedBlocks, freeBlocks, at: now - age },
  };
  return { report, age };
}
