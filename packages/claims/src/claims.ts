/**
 * At-most-once claims. A claim row is inserted before a call is sent and is
 * never taken over, so at most one attempt of a call is ever sent.
 */
import { randomUUID } from "node:crypto";
import type { Row, RowCheck } from "@peridotvalve/tables";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { tries } from "./backoff.ts";
import { type ClaimedCall, claimKey } from "./call.ts";
import { type ClaimsOptions, withDefaults } from "./options.ts";
import { createOwnedClaim, type OwnedClaim } from "./owned_claim.ts";
import { removeOwnRow } from "./removal.ts";
import {
  type ClaimedRow,
  type ClaimRow,
  claimValue,
  type Outcome,
  outcomeOf,
  parseClaimRow,
} from "./row.ts";

export type ClaimAnswer =
  /** Only this claim may send the call, while `mayStillSend()` holds. */
  | { readonly kind: "owned"; readonly claim: OwnedClaim }
  | { readonly kind: "finished"; readonly outcome: Outcome }
  /** Another attempt holds the claim; its owner may be alive. */
  | { readonly kind: "in progress"; readonly owner: string }
  /** Nobody knows whether the call ran. It stays so. */
  | { readonly kind: "unknown outcome" }
  /** The key was used for a call with another fingerprint. */
  | { readonly kind: "different call" }
  /** Nothing was sent for this attempt, and nothing will be. */
  | { readonly kind: "not claimed"; readonly reason: string };

export interface WaitOptions {
  /** Time to wait for the outcome of another attempt. */
  readonly patience: Milliseconds;
  readonly signal?: AbortSignal;
}

export abstract class Claims {
  abstract claim(call: ClaimedCall): Promise<ClaimAnswer>;
  /** Like `claim`, but waits while another attempt is in progress. */
  abstract claimOrWait(
    call: ClaimedCall,
    options: WaitOptions,
  ): Promise<ClaimAnswer>;
  /** Resolves when nothing is stored or removed in the background. */
  abstract idle(): Promise<void>;
  /** Rows that are being stored or removed in the background. */
  abstract pending(): number;
}

const CLAIM_PAUSE: Milliseconds = 50;
const LONGEST_CLAIM_PAUSE: Milliseconds = 400;
const POLL_PAUSE: Milliseconds = 100;
const LONGEST_POLL_PAUSE: Milliseconds = 2 * SECOND;
// A refusal in an outage should reach the caller soon; a few repeats bridge a
// rate limit.
const REFUSED_TRIES = 4;

export function createClaims(options: ClaimsOptions): Claims {
  const context = withDefaults(options);
  const { platform, clock, owner, timeout } = context;
  const background = new Set<Promise<unknown>>();
  // Attempts of this process whose row may remain and that are never sent.
  const abandoned = new Set<string>();

  function abandon(
    call: ClaimedCall,
    attempt: string,
    undecidedSince: Milliseconds,
  ): void {
    abandoned.add(attempt);
    const own = { key: claimKey(call), attempt, undecidedSince };
    const removal = removeOwnRow(own, context);
    track(removal);
    removal.then(() => abandoned.delete(attempt));
  }

  function track(work: Promise<unknown>): void {
    background.add(work);
    work.then(() => background.delete(work));
  }

  async function claim(call: ClaimedCall): Promise<ClaimAnswer> {
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
    // Counts from before the insert, so that the sweeper counts from later.
    const sendEnd = clock.monotonic() + context.sendDeadline;
    let undecidedSince: Milliseconds | undefined;
    let reason = "";
    // Row version that the insert replaces; 0 when absent.
    let replaced = 0;

    function own(version: number): ClaimAnswer {
      const owned = createOwnedClaim({
        key,
        row,
        version,
        sendEnd,
        onRelease: abandonUndecided,
        track,
      }, context);
      if (owned.mayStillSend()) return { kind: "owned", claim: owned };
      abandon(call, attempt, clock.monotonic());
      return { kind: "not claimed", reason: "send deadline passed" };
    }

    /** An undecided insert may still take effect after this claim's end. */
    function abandonUndecided(): void {
      if (undecidedSince !== undefined) abandon(call, attempt, undecidedSince);
    }

    const backoff = {
      first: CLAIM_PAUSE,
      longest: LONGEST_CLAIM_PAUSE,
      limit: context.claimDeadline,
    };
    for await (const count of tries(clock, backoff)) {
      const sent = clock.monotonic();
      const settlement = await platform.transact({
        id: attempt,
        checks: [{ ...key, version: replaced }],
        writes: [{ ...key, value: claimValue(row) }],
      }, timeout);
      if (settlement.kind === "done") {
        return own(settlement.value.versions[0]?.version ?? 0);
      }
      let found: Row | RowCheck | undefined;
      if (settlement.kind === "unknown") {
        undecidedSince = sent;
        reason = settlement.reason;
        const read = await platform.readRow(key, timeout);
        found = read.unwrapOr(undefined);
      } else if (settlement.reason.kind === "conflict") {
        found = settlement.reason.rows[0];
      } else {
        reason = settlement.reason.reason;
        if (undecidedSince === undefined && count >= REFUSED_TRIES) break;
      }
      replaced = found?.version ?? 0;
      if (found === undefined || !("value" in found)) continue;
      const present = parseClaimRow(found);
      if (present?.attempt === attempt) return own(found.version);
      if (abandoned.has(present?.attempt ?? "")) continue;
      abandonUndecided();
      return readOther(found, call);
    }
    abandonUndecided();
    return { kind: "not claimed", reason };
  }

  function readOther(found: Row, call: ClaimedCall): ClaimAnswer {
    const row = parseClaimRow(found);
    if (row?.clock !== undefined) context.stamps.observe(row.clock, row.owner);
    return classify(row, call);
  }

  /** Polls until the row of another attempt changes or patience ends. */
  async function waitForChange(
    call: ClaimedCall,
    { patience, signal }: WaitOptions,
  ): Promise<Row | "absent" | "patience ended"> {
    const backoff = {
      first: POLL_PAUSE,
      longest: LONGEST_POLL_PAUSE,
      limit: patience,
      ...(signal === undefined ? {} : { signal }),
    };
    for await (const _ of tries(clock, backoff)) {
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
  ): Promise<ClaimAnswer> {
    const end = clock.monotonic() + patience;
    for (;;) {
      const answer = await claim(call);
      const remaining = end - clock.monotonic();
      if (answer.kind !== "in progress" || remaining <= 0) return answer;
      const waiting = { patience: remaining, ...(signal ? { signal } : {}) };
      const change = await waitForChange(call, waiting);
      if (change === "patience ended") return answer;
      if (change !== "absent") return readOther(change, call);
    }
  }

  return new (class extends Claims {
    override claim(call: ClaimedCall): Promise<ClaimAnswer> {
      return claim(call);
    }

    override claimOrWait(
      call: ClaimedCall,
      waitOptions: WaitOptions,
    ): Promise<ClaimAnswer> {
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

/** What the row of another attempt says about a call. */
function classify(
  row: ClaimRow | undefined,
  { fingerprint }: ClaimedCall,
): ClaimAnswer {
  // A row that this version cannot read must not be taken for no claim.
  if (row === undefined) return { kind: "unknown outcome" };
  if (row.fingerprint !== fingerprint) return { kind: "different call" };
  switch (row.state) {
    case "claimed":
      return { kind: "in progress", owner: row.owner };
    case "unknown":
      return { kind: "unknown outcome" };
    case "finished":
      return { kind: "finished", outcome: outcomeOf(row) };
  }
}
