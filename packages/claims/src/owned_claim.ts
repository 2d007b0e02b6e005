/**
 * A claim owned by this process, until it is finished, marked as unknown or
 * released.
 */
import type { RowKey } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { SECOND } from "@peridotvalve/types";
import { retryWithBackoff } from "./backoff.ts";
import type { ClaimsContext } from "./options.ts";
import { removeAttemptRow } from "./removal.ts";
import {
  type ClaimedRow,
  type ClaimRow,
  type Outcome,
  parseClaimRow,
  toFinishedRow,
  toRowValue,
  toUnknownRow,
} from "./row.ts";

/** Result of storing the final state of a claim. */
export type StoreResult =
  | "stored"
  /** The platform did not confirm the write within `storeLimit`. */
  | "given up"
  /** The row belongs to another attempt, or the claim was released. */
  | "superseded";

/** Result of releasing a claim. */
export type ReleaseResult =
  | "released"
  /** The row was not removed within `removalLimit`; the sweeper settles it. */
  | "given up"
  /** The call may have been sent; the claim is kept. */
  | "refused";

export abstract class OwnedClaim {
  abstract readonly attempt: string;
  /**
   * False after the send deadline, after `startSending`, and once the claim has
   * ended.
   */
  abstract mayStillSend(): boolean;
  /**
   * Call this directly before the first byte is sent, and send only when it
   * returns true. Unless `markUnsent` is called, it returns true at most once,
   * and `release` is refused afterwards.
   */
  abstract startSending(): boolean;
  /**
   * Records that certainly no byte of the call has left this process since
   * `startSending`, for example because no connection was established. The call
   * may then be started again within the send deadline, or released.
   */
  abstract markUnsent(): void;
  /** Stores the outcome; retries, also in an outage, until `storeLimit`. */
  abstract complete(outcome: Outcome): Promise<StoreResult>;
  /** Stores that it is not known whether the call ran. Retries likewise. */
  abstract markUnknown(): Promise<StoreResult>;
  /** Removes the row. Refused if any byte of the call may have been sent. */
  abstract release(): Promise<ReleaseResult>;
}

export interface OwnedClaimOptions {
  readonly key: RowKey;
  readonly row: ClaimedRow;
  readonly version: number;
  /** Monotonic time until which the call may be sent. */
  readonly sendBefore: Milliseconds;
  /** Called after a release, to remove rows that may still appear. */
  readonly onRelease: () => void;
  /** Registers work that continues in the background. */
  readonly track: (work: Promise<unknown>) => void;
}

const INITIAL_RETRY_DELAY: Milliseconds = 100;
const MAX_RETRY_DELAY: Milliseconds = 5 * SECOND;

export function createOwnedClaim(
  { key, row, version: insertedVersion, sendBefore, onRelease, track }:
    OwnedClaimOptions,
  context: ClaimsContext,
): OwnedClaim {
  const { platform, clock, timeout } = context;
  let state: "unsent" | "sending" | "settled" | "released" = "unsent";
  let version = insertedVersion;
  let desired: ClaimRow = row;
  let storing: Promise<StoreResult> | undefined;

  /** Writes the desired row once, conditional on the known row version. */
  async function tryStore(): Promise<
    "stored" | "retry later" | "superseded" | "retry now"
  > {
    const target = desired;
    const settlement = await platform.transact({
      id: row.attempt,
      checks: [{ ...key, version }],
      writes: [{ ...key, value: toRowValue(target) }],
    }, timeout);
    if (settlement.kind === "done") {
      version = settlement.value.versions[0]?.version ?? version;
      return target === desired ? "stored" : "retry now";
    }
    if (settlement.kind === "unknown") return "retry later";
    if (settlement.reason.kind === "refused") return "retry later";
    const [found] = settlement.reason.rows;
    if (found === undefined) return "retry later";
    version = found.version;
    // The row was settled and removed after its retention; the outcome is still
    // valid and is inserted again.
    if (!("value" in found)) return "retry now";
    const present = parseClaimRow(found);
    if (present?.attempt !== row.attempt) return "superseded";
    // An earlier try took effect, or the sweeper settled the claim first.
    return present.state === desired.state ? "stored" : "retry now";
  }

  async function store(): Promise<StoreResult> {
    const backoff = {
      first: INITIAL_RETRY_DELAY,
      longest: MAX_RETRY_DELAY,
      limit: context.storeLimit,
    };
    for await (const _ of retryWithBackoff(clock, backoff)) {
      let answer = await tryStore();
      while (answer === "retry now") answer = await tryStore();
      if (answer !== "retry later") return answer;
    }
    return "given up";
  }

  function settle(settled: ClaimRow): Promise<StoreResult> {
    if (state === "released") return Promise.resolve("superseded");
    state = "settled";
    // "unknown" never replaces an outcome.
    if (desired.state !== "finished") desired = settled;
    if (storing === undefined) {
      storing = store().finally(() => {
        storing = undefined;
      });
      track(storing);
    }
    return storing;
  }

  function withNewStamp(): ClaimedRow {
    return { ...row, clock: context.stamps.tick() };
  }

  return new (class extends OwnedClaim {
    override readonly attempt = row.attempt;

    override mayStillSend(): boolean {
      return state === "unsent" && clock.monotonic() < sendBefore;
    }

    override startSending(): boolean {
      if (!this.mayStillSend()) return false;
      state = "sending";
      return true;
    }

    override markUnsent(): void {
      if (state === "sending") state = "unsent";
    }

    override complete(outcome: Outcome): Promise<StoreResult> {
      const { maxBodyBytes } = context;
      const settledAt = clock.now();
      const limits = { settledAt, maxBodyBytes };
      return settle(toFinishedRow(withNewStamp(), outcome, limits));
    }

    override markUnknown(): Promise<StoreResult> {
      return settle(toUnknownRow(withNewStamp(), clock.now()));
    }

    override async release(): Promise<ReleaseResult> {
      if (state !== "unsent") return "refused";
      state = "released";
      const removal = removeAttemptRow({ key, attempt: row.attempt }, context);
      track(removal);
      const isRemoved = await removal;
      onRelease();
      return isRemoved ? "released" : "given up";
    }
  })();
}
