/**
 * At-most-once claims. A claim row is inserted before a call is sent, and no
 * other attempt ever takes it over, so at most one attempt of a call is sent.
 */
import { randomUUID } from "node:crypto";
import type { Row, RowCheck } from "@peridotvalve/tables";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { retryWithBackoff } from "./backoff.ts";
import { type ClaimedCall, claimKey } from "./call.ts";
import { type ClaimsOptions, withDefaults } from "./options.ts";
import { createOwnedClaim, type OwnedClaim } from "./owned_claim.ts";
import { removeAttemptRow } from "./removal.ts";
import {
  type ClaimedRow,
  type ClaimRow,
  decodeOutcome,
  type Outcome,
  parseClaimRow,
  toRowValue,
} from "./row.ts";

export type ClaimResult =
  /** Only this claim may send the call, and only while `mayStillSend()`. */
  | { readonly kind: "owned"; readonly claim: OwnedClaim }
  | { readonly kind: "finished"; readonly outcome: Outcome }
  /** Another attempt holds the claim, and its owner may be alive. */
  | { readonly kind: "in progress"; readonly owner: string }
  /** It is not known whether the call ran, and it remains unknown. */
  | { readonly kind: "unknown outcome" }
  /** The idempotency key was used for a call with another fingerprint. */
  | { readonly kind: "different call" }
  /** This attempt has sent nothing and never will. */
  | { readonly kind: "not claimed"; readonly reason: string };

export interface WaitOptions {
  /** Longest time to wait for the outcome of another attempt. */
  readonly patience: Milliseconds;
  readonly signal?: AbortSignal;
}

export abstract class Claims {
  /** Tries to claim the call for up to `claimDeadline`. */
  abstract claim(call: ClaimedCall): Promise<ClaimResult>;
  /** Like `claim`, but waits up to `patience` for an attempt in progress. */
  abstract claimOrWait(
    call: ClaimedCall,
    options: WaitOptions,
  ): Promise<ClaimResult>;
  /** Resolves when no row is being stored or removed in the background. */
  abstract idle(): Promise<void>;
  /** Number of rows being stored or removed in the background. */
  abstract pending(): number;
}

const INITIAL_CLAIM_DELAY: Milliseconds = 50;
const MAX_CLAIM_DELAY: Milliseconds = 400;
const INITIAL_POLL_DELAY: Milliseconds = 100;
const MAX_POLL_DELAY: Milliseconds = 2 * SECOND;
// Low, so that a refusal in an outage reaches the caller soon; more than 1, so
// that a rate limit of the platform is bridged.
const MAX_REFUSALS = 4;

export function createClaims(options: ClaimsOptions): Claims {
  const context = withDefaults(options);
  const { platform, clock, owner, timeout } = context;
  const background = new Set<Promise<unknown>>();
  // Attempts of this process that are never sent and whose row may remain.
  const abandonedAttempts = new Set<string>();

  /** Removes the row of an attempt in the background. */
  function abandon(
    call: ClaimedCall,
    attempt: string,
    undecidedSince: Milliseconds,
  ): void {
    abandonedAttempts.add(attempt);
    const abandoned = { key: claimKey(call), attempt, undecidedSince };
    const removal = removeAttemptRow(abandoned, context);
    trackBackground(removal);
    removal.then(() => abandonedAttempts.delete(attempt));
  }

  function trackBackground(work: Promise<unknown>): void {
    background.add(work);
    work.then(() => background.delete(work));
  }

  async function claim(call: ClaimedCall): Promise<ClaimResult> {
    const key = claimKey(call);
    const attempt = randomUUID();
    const { fingerprint } = call;
    const row: ClaimedRow = {
      state: "claimed",
      owner,
      attempt,
      fingerprint,
      claimedAt: clock.now(),
      clock: context.stamps.tick(),
    };
    // Counting from before the insert makes the send deadline start before the
    // sweeper's `claimTimeout`.
    const sendBefore = clock.monotonic() + context.sendDeadline;
    let undecidedSince: Milliseconds | undefined;
    let reason = "";
    // Row version that the insert replaces; 0 when there is no row.
    let replaced = 0;

    function createOwnedResult(version: number): ClaimResult {
      const owned = createOwnedClaim({
        key,
        row,
        version,
        sendBefore,
        onRelease: removeUndecidedRow,
        track: trackBackground,
      }, context);
      if (owned.mayStillSend()) return { kind: "owned", claim: owned };
      abandon(call, attempt, clock.monotonic());
      return { kind: "not claimed", reason: "send deadline passed" };
    }

    /** An undecided insert may still take effect after the claim has ended. */
    function removeUndecidedRow(): void {
      if (undecidedSince !== undefined) abandon(call, attempt, undecidedSince);
    }

    const backoff = {
      first: INITIAL_CLAIM_DELAY,
      longest: MAX_CLAIM_DELAY,
      limit: context.claimDeadline,
    };
    for await (const count of retryWithBackoff(clock, backoff)) {
      const sentAt = clock.monotonic();
      const settlement = await platform.transact({
        id: attempt,
        checks: [{ ...key, version: replaced }],
        writes: [{ ...key, value: toRowValue(row) }],
      }, timeout);
      if (settlement.kind === "done") {
        return createOwnedResult(settlement.value.versions[0]?.version ?? 0);
      }
      let found: Row | RowCheck | undefined;
      if (settlement.kind === "unknown") {
        undecidedSince = sentAt;
        reason = settlement.reason;
        const read = await platform.readRow(key, timeout);
        found = read.unwrapOr(undefined);
      } else if (settlement.reason.kind === "conflict") {
        found = settlement.reason.rows[0];
      } else {
        reason = settlement.reason.reason;
        if (undecidedSince === undefined && count >= MAX_REFUSALS) break;
      }
      replaced = found?.version ?? 0;
      if (found === undefined || !("value" in found)) continue;
      const present = parseClaimRow(found);
      if (present?.attempt === attempt) return createOwnedResult(found.version);
      if (abandonedAttempts.has(present?.attempt ?? "")) continue;
      removeUndecidedRow();
      return interpretOtherAttempt(found, call);
    }
    removeUndecidedRow();
    return { kind: "not claimed", reason };
  }

  function interpretOtherAttempt(found: Row, call: ClaimedCall): ClaimResult {
    const row = parseClaimRow(found);
    if (row?.clock !== undefined) context.stamps.observe(row.clock, row.owner);
    return interpretRow(row, call);
  }

  /** Polls until the row of another attempt is settled or removed. */
  async function waitForChange(
    call: ClaimedCall,
    { patience, signal }: WaitOptions,
  ): Promise<Row | "absent" | "patience ended"> {
    const backoff = {
      first: INITIAL_POLL_DELAY,
      longest: MAX_POLL_DELAY,
      limit: patience,
      ...(signal === undefined ? {} : { signal }),
    };
    for await (const _ of retryWithBackoff(clock, backoff)) {
      const read = await platform.readRow(claimKey(call), timeout);
      if (read.isErr()) continue;
      if (read.value === undefined) return "absent";
      if (parseClaimRow(read.value)?.state !== "claimed") return read.value;
    }
    return "patience ended";
  }

  async function claimOrWait(
    call: ClaimedCall,
    { patience, signal }: WaitOptions,
  ): Promise<ClaimResult> {
    const end = clock.monotonic() + patience;
    for (;;) {
      const answer = await claim(call);
      const remaining = end - clock.monotonic();
      if (answer.kind !== "in progress" || remaining <= 0) return answer;
      const waiting = { patience: remaining, ...(signal ? { signal } : {}) };
      const change = await waitForChange(call, waiting);
      if (change === "patience ended") return answer;
      if (change !== "absent") return interpretOtherAttempt(change, call);
    }
  }

  return new (class extends Claims {
    override claim(call: ClaimedCall): Promise<ClaimResult> {
      return claim(call);
    }

    override claimOrWait(
      call: ClaimedCall,
      waitOptions: WaitOptions,
    ): Promise<ClaimResult> {
      return claimOrWait(call, waitOptions);
    }

    override async idle(): Promise<void> {
      while (background.size > 0) await Promise.all(background);
    }

    override pending(): number {
      return background.size;
    }
  })();
}

/** Derives the answer to a call from the row of another attempt. */
function interpretRow(
  row: ClaimRow | undefined,
  { fingerprint }: ClaimedCall,
): ClaimResult {
  // A row that this version cannot parse must not be treated as absent.
  if (row === undefined) return { kind: "unknown outcome" };
  if (row.fingerprint !== fingerprint) return { kind: "different call" };
  switch (row.state) {
    case "claimed":
      return { kind: "in progress", owner: row.owner };
    case "unknown":
      return { kind: "unknown outcome" };
    case "finished":
      return { kind: "finished", outcome: decodeOutcome(row) };
  }
}
