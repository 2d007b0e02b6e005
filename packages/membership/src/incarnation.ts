/**
 * Incarnations tell two lives of a daemon apart and order them. The number is
 * the wall clock at the start; a daemon whose wall clock went back before its
 * restart learns the greater number from its peers and raises its own.
 */
import { randomBytes } from "node:crypto";
import type { Timestamp } from "@peridotvalve/types";

const RADIX = 36;
const RANDOM_BYTES = 2;

export const INCARNATION_PATTERN = /^[0-9a-z]{1,11}\.[0-9a-f]{4}$/;

export function createIncarnation(now: Timestamp): string {
  const random = randomBytes(RANDOM_BYTES).toString("hex");
  return `${Math.max(0, Math.floor(now)).toString(RADIX)}.${random}`;
}

/** An incarnation of the same process that is greater than a known one. */
export function raiseIncarnation(own: string, known: string): string {
  const raised = numberOf(known) + 1;
  return `${raised.toString(RADIX)}.${own.split(".")[1]}`;
}

export function compareIncarnations(left: string, right: string): number {
  const order = numberOf(left) - numberOf(right);
  if (order !== 0) return order;
  return left === right ? 0 : left < right ? -1 : 1;
}

function numberOf(incarnation: string): number {
  return parseInt(incarnation.split(".")[0] ?? "", RADIX);
}
