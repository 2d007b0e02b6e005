/**
 * Numbers that all daemons derive from the same text.
 */
import { createHash } from "node:crypto";

/** Returns a number in [0, 1), evenly distributed over all texts. */
export function hashToUnit(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE() / 2 ** 32;
}
