/**
 * A claim held by this process, up to its end as finished, unknown or
 * released.
 */
import type { RowKey } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { SECOND } from "@peridotvalve/types";
import { tries } from "./backoff.ts";
import type { ClaimsContext } from "./options.ts";
import { removeOwnRow } from "./removal.ts";
import {
  type ClaimedRow,
  type ClaimRow,
  claimValue,
  finishRow,
  type Outcome,
  parseClaimRow,
  unknownRow,
} from "./row.ts";

/** How storing the end of a claim went. */
export type Storage =
  | "stored"
  /** The platform did not confirm within the limit. */
  | "given up"
  /** The row belongs to another attempt or the claim was released. */
  | "superseded";

export type Release =
  | "released"
  /** The row could not be removed in time; the sweeper settles it. */
  | "given up"
  /** The call may have been sent; the claim stays. */
  | "refused";

export abstract class OwnedClaim {
  abstract readonly attempt: string;
  /** False once the send deadline has passed or the claim has ended. */
  abstract mayStillSend(): boolean;
  /**
   * Call directly before the first byte is sent, and send only when it returns
   * true. It does so at most once; afterwards `release` is refused.
   */
  abstract startSending(): boolean;
  /**
   * Notes that surely no byte of the call left this process since
   * `startSending`, for example because no connection was made. The call may
   * then be started again within the send deadline, or released.
   */
  abstract noteUnsent(): void;
  /** Stores the outcome; repeats through outages until the store limit. */
  abstract complete(outcome: Outcome): Promise<Storage>;
  /** Stores that nobody knows whether the call ran. */
  abstract markUnknown(): Promise<Storage>;
  /** Removes the row. Only for a call of which surely no byte was sent. */
  abstract release(): Promise<Release>;
}

export interface OwnedRow {
  readonly key: RowKey;
  readonly row: ClaimedRow;
  readonly version: number;
  /** End of the time in which the call may be sent, on the monotonic clock. */
  readonly sendEnd: Milliseconds;
  /** Takes over what remains to be done after a release. */
  readonly onRelease: () => void;
  /** Takes note of work that continues in the background. */
  readonly track: (work: Promise<unknown>) => void;
}

const FIRST_PAUSE: Milliseconds = 100;
const LONGEST_PAUSE: Milliseconds = 5 * SECOND;

export function createOwnedClaim(
  { key, row, version: firstVersion, sendEnd, onRelease, track }: OwnedRow,
  context: ClaimsContext,
): OwnedClaim {
  const { platform, clock, timeout } = context;
  let state: "unsent" | "sending" | "settled" | "released" = "unsent";
  let version = firstVersion;
  let desired: ClaimRow = row;
  let storing: Promise<Storage> | undefined;

  /** Writes the desired row once. */
  async function write(): Promise<"stored" | "again" | "superseded" | "now"> {
    const target = desired;
    const settlement = await platform.transact({
      id: row.attempt,
      checks: [{ ...key, version }],
      writes: [{ ...key, value: claimValue(target) }],
    }, timeout);
    if (settlement.kind === "done") {
      version = settlement.value.versions[0]?.version ?? version;
      return target === desired ? "stored" : "now";
    }
    if (settlement.kind === "unknown") return "again";
    if (settlement.reason.kind === "refused") return "again";
    const [found] = settlement.reason.rows;
    if (found === undefined) return "again";
    version = found.version;
    // The row was settled and its retention has passed; the outcome is true
    // all the same.
    if (!("value" in found)) return "now";
    const present = parseClaimRow(found);
    if (present?.attempt !== row.attempt) return "superseded";
    // An earlier try had its effect, or the sweeper settled the claim first.
    return present.state === desired.state ? "stored" : "now";
  }

  async function store(): Promise<Storage> {
    const backoff = {
      first: FIRST_PAUSE,
      longest: LONGEST_PAUSE,
      limit: context.storeLimit,
    };
    for await (const _ of tries(clock, backoff)) {
      let answer = await write();
      while (answer === "now") answer = await write();
      if (answer !== "again") return answer;
    }
    return "given up";
  }

  function settle(settled: ClaimRow): Promise<Storage> {
    if (state === "released") return Promise.resolve("superseded");
    state = "settled";
    // An outcome is never replaced by "unknown".
    if (desired.state !== "finished") desired = settled;
    if (storing === undefined) {
      storing = store().finally(() => {
        storing = undefined;
      });
      track(storing);
    }
    return storing;
  }

  function stamped(): ClaimedRow {
    return { ...row, clock: context.stamps.tick() };
  }

  return new (class extends OwnedClaim {
    override readonly attempt = row.attempt;

    override mayStillSend(): boolean {
      return state === "unsent" && clock.monotonic() < sendEnd;
    }

    override startSending(): boolean {
      if (!this.mayStillSend()) return false;
      state = "sending";
      return true;
    }

    override noteUnsent(): void {
      if (state === "sending") state = "unsent";
    }

    override complete(outcome: Outcome): Promise<Storage> {
      const { maxBodyBytes } = context;
      const settledAt = clock.now();
      const limits = { settledAt, maxBodyBytes };
      return settle(finishRow(stamped(), outcome, limits));
    }

    override markUnknown(): Promise<Storage> {
      return settle(unknownRow(stamped(), clock.now()));
    }

    override async release(): Promise<Release> {
      if (state !== "unsent") return "refused";
      state = "released";
      const removal = removeOwnRow({ key, attempt: row.attempt }, context);
      track(removal);
      const isRemoved = await removal;
      onRelease();
      return isRemoved ? "released" : "given up";
    }
  })();
}
