/**
 * Incarnations identify and order the runs of a daemon. The number in an
 * incarnation is the wall-clock time of the start. A daemon whose wall clock
 * was set back before its restart learns its previous, greater number from its
 * peers and raises its own above it.
 */
import { randomBytes } from "node:crypto";
import type { Timestamp } from "@peridotvalve/types";

const RADIX = 36;
const RANDOM_BYTES = 2;

export const INCARNATION_PATTERN = /^[0-9a-z]{1,11}\.[0-9a-f]{4}$/;

/** Wall-clock milliseconds in base 36, a dot and four random hex digits. */
export function createIncarnation(now: Timestamp): string {
  const random = randomBytes(RANDOM_BYTES).toString("hex");
  return `${Math.max(0, Math.floor(now)).toString(RADIX)}.${random}`;
}

/** An incarnation of the same process that is greater than `known`. */
export function raiseIncarnation(own: string, known: string): string {
  const raised = parseNumber(known) + 1;
  return `${raised.toString(RADIX)}.${own.split(".")[1]}`;
}

/** Below 0 when `left` is the older incarnation, 0 when they are equal. */
export function compareIncarnations(left: string, right: string): number {
  const order = parseNumber(left) - parseNumber(right);
  if (order !== 0) return order;
  return left === right ? 0 : left < right ? -1 : 1;
}

function parseNumber(incarnation: string): number {
  return parseInt(incarnation.split(".")[0] ?? "", RADIX);
}
