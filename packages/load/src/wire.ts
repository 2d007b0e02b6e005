/**
 * The format of a digest in a heartbeat. Load reports are sent in a long form
 * or, while incarnation, weights and state are unchanged, in a short form.
 */
import { hash } from "node:crypto";
import type { LoadReport, Milliseconds, Timestamp } from "@peridotvalve/types";
import { z } from "zod";
import type { Values } from "./packed.ts";

const amount = z.number().nonnegative();
const key = z.string().max(200);

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
  /** Reports in the long form, by replica. */
  r: z.record(key, longReport).optional(),
  /** Reports in the short form, packed. */
  p: z.string().max(1_200).optional(),
});

export type Digest = z.infer<typeof digestSchema>;
export type LongReport = z.infer<typeof longReport>;

const TAG_BYTES = 2;

export interface ReceivedReport {
  readonly report: LoadReport;
  readonly age: Milliseconds;
}

export function encodeLongReport(
  report: LoadReport,
  age: Milliseconds,
): LongReport {
  const { incarnation, weights, state, running, waiting } = report;
  const { queuedTokens, usedBlocks, freeBlocks } = report;
  return [
    ...[incarnation, weights, state] as const,
    ...[running, waiting, queuedTokens, usedBlocks, freeBlocks] as const,
    Math.round(age),
  ];
}

export function decodeLongReport(
  wire: LongReport,
  now: Timestamp,
): ReceivedReport {
  const [incarnation, weights, state, running, waiting, ...rest] = wire;
  const [queuedTokens, usedBlocks, freeBlocks, age] = rest;
  const report = {
    ...{ incarnation, weights, state, running, waiting, queuedTokens },
    ...{ usedBlocks, freeBlocks, at: now - age },
  };
  return { report, age };
}

/** Hash by which a short report refers to the long form of its incarnation. */
function incarnationTag(report: LoadReport): number {
  const digest = hash("sha256", report.incarnation, "buffer");
  return digest.readUIntBE(0, TAG_BYTES);
}

export function encodeShortReport(
  report: LoadReport,
  age: Milliseconds,
): Values {
  const { running, waiting, queuedTokens } = report;
  return [incarnationTag(report), running, waiting, queuedTokens, age];
}

/** Undefined if the long form belongs to another incarnation. */
export function decodeShortReport(
  values: Values,
  longForm: LoadReport,
  now: Timestamp,
): ReceivedReport | undefined {
  const [tag, running = 0, waiting = 0, queuedTokens = 0, age = 0] = values;
  if (tag !== incarnationTag(longForm)) return undefined;
  const at = now - age;
  return { report: { ...longForm, running, waiting, queuedTokens, at }, age };
}
