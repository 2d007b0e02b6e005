/**
 * Applies a configuration change by compare-and-set on the head row.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Json, Platform, Row, RowKey } from "@peridotvalve/tables";
import {
  type Milliseconds,
  SECOND,
  type Settlement,
} from "@peridotvalve/types";
import {
  type Change,
  changeKey,
  contentObjectName,
  HEAD_KEY,
  historyKey,
  MALFORMED_HEAD,
  parseChange,
  toRowValue,
} from "./rows.ts";

export interface ConfigurationChange {
  /** Id chosen by the caller, which makes repeats of the change idempotent. */
  readonly change: string;
  readonly content: Json;
  readonly author: string;
  /**
   * The version that the change was based on. Defaults to the version that is
   * current when the call starts.
   */
  readonly base?: number;
}

export interface ApplyOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /** Time limit of the whole call, including retries and reading back. */
  readonly deadline?: Milliseconds;
  /** Timeout of each platform call. */
  readonly timeout?: Milliseconds;
}

export type ChangeRejection =
  /** Another change was accepted first; `version` and `change` identify it. */
  | {
    readonly kind: "conflict";
    readonly version: number;
    readonly change: string;
  }
  | { readonly kind: "invalid"; readonly reason: string }
  /** The platform refused the change or was not reachable in time. */
  | { readonly kind: "unavailable"; readonly reason: string };

export type ChangeSettlement = Settlement<Change, ChangeRejection>;

const DEADLINE: Milliseconds = 15 * SECOND;
const TIMEOUT: Milliseconds = 2 * SECOND;
const RETRY_DELAY: Milliseconds = 100;
const CHANGE_ID = /^[\w.-]{1,64}$/;

/**
 * Settles as done with the accepted change, even if a later change has already
 * superseded it. "not done" is certain. The result is "unknown" only when a
 * response was lost and the platform could not be read until the deadline.
 */
export async function applyConfiguration(
  { change, content, author, base }: ConfigurationChange,
  options: ApplyOptions,
): Promise<ChangeSettlement> {
  if (!CHANGE_ID.test(change)) {
    return rejected({
      kind: "invalid",
      reason: `change id ${JSON.stringify(change)} does not match ${CHANGE_ID}`,
    });
  }
  const session = createSession(options);
  const earlier = await session.read(changeKey(change));
  if (earlier.kind === "failed") return unavailable(earlier.reason);
  const head = await session.read(HEAD_KEY);
  if (head.kind === "failed") return unavailable(head.reason);

  const object = {
    name: contentObjectName(change),
    content: JSON.stringify(content),
  };
  const stored = await session.storeObject(object);
  if (stored !== undefined) return rejected(stored);
  // A repeat with the same id and content returns the accepted change.
  const accepted = parseChange(earlier.row);
  if (accepted !== undefined) return { kind: "done", value: accepted };

  const current = parseChange(head.row);
  if (head.row !== undefined && current === undefined) {
    return unavailable(MALFORMED_HEAD);
  }
  if (base !== undefined && base !== (current?.version ?? 0)) {
    return rejected(conflictWith(current));
  }
  const proposed: Change = {
    version: (current?.version ?? 0) + 1,
    change,
    object: object.name,
    at: session.clock.now(),
    author,
  };
  return await commit(proposed, head.row, session);
}

/**
 * Repeats the same transaction until its outcome is certain. Repeats, and tries
 * that take effect late, are safe: the checks pass at most once, because the
 * head row never returns to an earlier row version.
 */
async function commit(
  proposed: Change,
  head: Row | undefined,
  session: PlatformSession,
): Promise<ChangeSettlement> {
  const value = toRowValue(proposed);
  const rows = [
    HEAD_KEY,
    historyKey(proposed.version),
    changeKey(proposed.change),
  ];
  const transaction = {
    id: proposed.change,
    checks: [
      { ...HEAD_KEY, version: head?.version ?? 0 },
      { ...historyKey(proposed.version), version: 0 },
      { ...changeKey(proposed.change), version: 0 },
    ],
    writes: rows.map((row) => ({ ...row, value })),
  };
  let mayHaveCommitted = false;
  let reason = "deadline passed";
  while (session.hasTime()) {
    const settlement = await session.platform.transact(
      transaction,
      session.timeout(),
    );
    if (settlement.kind === "done") return { kind: "done", value: proposed };
    if (settlement.kind === "unknown") {
      mayHaveCommitted = true;
      reason = settlement.reason;
    } else if (settlement.reason.kind === "refused") {
      reason = settlement.reason.reason;
    } else {
      // The head has changed, so no earlier try can still take effect.
      return await readBack(proposed, session);
    }
    await session.pause();
  }
  if (!mayHaveCommitted) return unavailable(reason);
  return await readBack(proposed, session, reason);
}

/** Finds out whether this or another change created the proposed version. */
async function readBack(
  proposed: Change,
  session: PlatformSession,
  undecided?: string,
): Promise<ChangeSettlement> {
  const own = await session.read(changeKey(proposed.change));
  if (own.kind === "failed") return unknown(own.reason);
  const accepted = parseChange(own.row);
  if (accepted !== undefined) return { kind: "done", value: accepted };
  const winner = await session.read(historyKey(proposed.version));
  if (winner.kind === "failed") return unknown(winner.reason);
  const winningChange = parseChange(winner.row);
  if (winningChange !== undefined) return rejected(conflictWith(winningChange));
  return unknown(undecided ?? "head has changed without a history row");
}

type RowRead =
  | { readonly kind: "read"; readonly row: Row | undefined }
  | { readonly kind: "failed"; readonly reason: string };

/** Platform access for one call of `applyConfiguration`, with its deadline. */
interface PlatformSession {
  readonly platform: Platform;
  readonly clock: Clock;
  hasTime(): boolean;
  timeout(): Milliseconds;
  pause(): Promise<void>;
  read(key: RowKey): Promise<RowRead>;
  storeObject(
    object: { readonly name: string; readonly content: string },
  ): Promise<ChangeRejection | undefined>;
}

function createSession(
  {
    platform,
    clock = createSystemClock(),
    deadline = DEADLINE,
    timeout = TIMEOUT,
  }: ApplyOptions,
): PlatformSession {
  const end = clock.monotonic() + deadline;
  const hasTime = () => clock.monotonic() < end;
  const pause = () => clock.sleep(RETRY_DELAY);

  async function read(key: RowKey): Promise<RowRead> {
    for (;;) {
      const result = await platform.readRow(key, timeout);
      if (result.isOk()) return { kind: "read", row: result.value };
      // The deadline is checked after the read, so that a lost response is
      // still resolved after the deadline if the platform is reachable again.
      if (!hasTime()) return { kind: "failed", reason: result.error.reason };
      await pause();
    }
  }

  async function storeObject(
    object: { readonly name: string; readonly content: string },
  ): Promise<ChangeRejection | undefined> {
    for (;;) {
      const settlement = await platform.putObject(object, timeout);
      if (settlement.kind === "done") return undefined;
      const present = await platform.readObject(object.name, timeout);
      if (present.isOk() && present.value !== undefined) {
        if (present.value === object.content) return undefined;
        const reason = "change id is in use with other content";
        return { kind: "invalid", reason };
      }
      if (!hasTime()) {
        return { kind: "unavailable", reason: settlement.reason };
      }
      await pause();
    }
  }

  return {
    platform,
    clock,
    hasTime,
    timeout: () => timeout,
    pause,
    read,
    storeObject,
  };
}

function conflictWith(winner: Change | undefined): ChangeRejection {
  const { version, change } = winner ?? { version: 0, change: "" };
  return { kind: "conflict", version, change };
}

function rejected(reason: ChangeRejection): ChangeSettlement {
  return { kind: "not done", reason };
}

function unavailable(reason: string): ChangeSettlement {
  return rejected({ kind: "unavailable", reason });
}

function unknown(reason: string): ChangeSettlement {
  return { kind: "unknown", reason };
}
