/**
 * Removes the row of an attempt that will never be sent.
 */
import type { RowKey } from "@peridotvalve/tables";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { tries } from "./backoff.ts";
import type { ClaimsContext } from "./options.ts";
import { parseClaimRow } from "./row.ts";

export interface OwnAttempt {
  readonly key: RowKey;
  readonly attempt: string;
  /**
   * When the last insert with an undecided outcome was sent, on the monotonic
   * clock. The row may still appear for `lateEffectLimit` after it.
   */
  readonly undecidedSince?: Milliseconds;
}

const FIRST_PAUSE: Milliseconds = 100;
const LONGEST_PAUSE: Milliseconds = 5 * SECOND;

/** Returns whether the row is surely gone. */
export async function removeOwnRow(
  own: OwnAttempt,
  context: ClaimsContext,
): Promise<boolean> {
  const { clock, lateEffectLimit, removalLimit, timeout } = context;
  const { undecidedSince = Number.NEGATIVE_INFINITY } = own;
  const settledAfter = undecidedSince + timeout + lateEffectLimit;
  const backoff = {
    first: FIRST_PAUSE,
    longest: LONGEST_PAUSE,
    limit: removalLimit,
  };
  for await (const _ of tries(clock, backoff)) {
    const startedAt = clock.monotonic();
    const isAbsent = await removeOnce(own, context);
    if (isAbsent && startedAt >= settledAfter) return true;
  }
  return false;
}

/** Returns whether the table has no row of this attempt. */
async function removeOnce(
  { key, attempt }: OwnAttempt,
  { platform, timeout }: ClaimsContext,
): Promise<boolean> {
  const read = await platform.readRow(key, timeout);
  if (read.isErr()) return false;
  const row = read.value;
  if (row === undefined) return true;
  if (parseClaimRow(row)?.attempt !== attempt) return true;
  const settlement = await platform.transact({
    id: attempt,
    checks: [{ ...key, version: row.version }],
    writes: [{ ...key, value: null }],
  }, timeout);
  return settlement.kind === "done";
}
