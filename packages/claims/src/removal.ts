/**
 * Removes the row of an attempt whose call will never be sent.
 */
import type { RowKey } from "@peridotvalve/tables";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { retryWithBackoff } from "./backoff.ts";
import type { ClaimsContext } from "./options.ts";
import { parseClaimRow } from "./row.ts";

export interface AbandonedAttempt {
  readonly key: RowKey;
  readonly attempt: string;
  /**
   * Monotonic time at which the last insert with an unknown outcome was sent.
   * The row may still appear until `lateEffectLimit` after its timeout.
   */
  readonly undecidedSince?: Milliseconds;
}

const INITIAL_RETRY_DELAY: Milliseconds = 100;
const MAX_RETRY_DELAY: Milliseconds = 5 * SECOND;

/** Retries until the row is certainly absent; false when time ran out. */
export async function removeAttemptRow(
  abandoned: AbandonedAttempt,
  context: ClaimsContext,
): Promise<boolean> {
  const { clock, lateEffectLimit, removalLimit, timeout } = context;
  const { undecidedSince = Number.NEGATIVE_INFINITY } = abandoned;
  const decidedAt = undecidedSince + timeout + lateEffectLimit;
  const backoff = {
    first: INITIAL_RETRY_DELAY,
    longest: MAX_RETRY_DELAY,
    limit: removalLimit,
  };
  for await (const _ of retryWithBackoff(clock, backoff)) {
    const startedAt = clock.monotonic();
    const isAbsent = await tryRemove(abandoned, context);
    if (isAbsent && startedAt >= decidedAt) return true;
  }
  return false;
}

/** Returns whether the table now has no row of this attempt. */
async function tryRemove(
  { key, attempt }: AbandonedAttempt,
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
