/**
 * Applies a change of the configuration by compare-and-set on the head row.
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
  changeRow,
  changeValue,
  HEAD,
  historyRow,
  objectName,
  parseChange,
} from "./rows.ts";

export interface ConfigurationChange {
  /** Id chosen by the caller; a repeat with the same id is the same change. */
  readonly change: string;
  readonly content: Json;
  readonly author: string;
  /**
   * The version that the change was made from. When absent, the version in
   * force when the call starts.
   */
  readonly base?: number;
}

export interface ApplyOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /** Time for the whole call, with repeats and reading back. */
  readonly deadline?: Milliseconds;
  /** Time for one call of the platform. */
  readonly timeout?: Milliseconds;
}

export type ChangeRejection =
  /** Another change came first; `version` and `change` say which one won. */
  | {
    readonly kind: "conflict";
    readonly version: number;
    readonly change: string;
  }
  | { readonly kind: "invalid"; readonly reason: string }
  /** The platform refused the change or could not be reached in time. */
  | { readonly kind: "unavailable"; readonly reason: string };

export type ChangeSettlement = Settlement<Change, ChangeRejection>;

const DEADLINE: Milliseconds = 15 * SECOND;
const TIMEOUT: Milliseconds = 2 * SECOND;
const PAUSE: Milliseconds = 100;
const CHANGE_ID = /^[\w.-]{1,64}$/;

/**
 * Settles as done with the accepted change, also when a later change has
 * already superseded it. "not done" is certain. "unknown" remains only when
 * the answer was lost and the platform could not be read until the deadline.
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
  const access = createAccess(options);
  const earlier = await access.read(changeRow(change));
  if (earlier.kind === "failed") return unavailable(earlier.reason);
  const head = await access.read(HEAD);
  if (head.kind === "failed") return unavailable(head.reason);

  const object = { name: objectName(change), content: JSON.stringify(content) };
  const stored = await access.put(object);
  if (stored !== undefined) return rejected(stored);
  // A repeat with the same id and content is the change that was accepted.
  const accepted = parseChange(earlier.row);
  if (accepted !== undefined) return { kind: "done", value: accepted };

  const current = parseChange(head.row);
  if (base !== undefined && base !== (current?.version ?? 0)) {
    return rejected(conflictWith(current));
  }
  const next: Change = {
    version: (current?.version ?? 0) + 1,
    change,
    object: object.name,
    at: access.clock.now(),
    author,
  };
  return await commit(next, head.row, access);
}

/**
 * Repeats the same transaction until its outcome is certain. A repeat is safe:
 * its checks hold at most once, because the head never returns to an earlier
 * row version. So is a first try that takes effect late.
 */
async function commit(
  next: Change,
  head: Row | undefined,
  access: Access,
): Promise<ChangeSettlement> {
  const value = changeValue(next);
  const rows = [HEAD, historyRow(next.version), changeRow(next.change)];
  const transaction = {
    id: next.change,
    checks: [
      { ...HEAD, version: head?.version ?? 0 },
      { ...historyRow(next.version), version: 0 },
      { ...changeRow(next.change), version: 0 },
    ],
    writes: rows.map((row) => ({ ...row, value })),
  };
  let mayHaveLanded = false;
  let reason = "deadline passed";
  while (access.remains()) {
    const settlement = await access.platform.transact(
      transaction,
      access.timeout(),
    );
    if (settlement.kind === "done") return { kind: "done", value: next };
    if (settlement.kind === "unknown") {
      mayHaveLanded = true;
      reason = settlement.reason;
    } else if (settlement.reason.kind === "refused") {
      reason = settlement.reason.reason;
    } else {
      // The head has moved, so that no earlier try can still take effect.
      return await readBack(next, access);
    }
    await access.pause();
  }
  if (!mayHaveLanded) return unavailable(reason);
  return await readBack(next, access, reason);
}

/** Compares the change that made the next version with this one. */
async function readBack(
  next: Change,
  access: Access,
  undecided?: string,
): Promise<ChangeSettlement> {
  const own = await access.read(changeRow(next.change));
  if (own.kind === "failed") return unknown(own.reason);
  const accepted = parseChange(own.row);
  if (accepted !== undefined) return { kind: "done", value: accepted };
  const winner = await access.read(historyRow(next.version));
  if (winner.kind === "failed") return unknown(winner.reason);
  const won = parseChange(winner.row);
  if (won !== undefined) return rejected(conflictWith(won));
  return unknown(undecided ?? "head has changed without a history row");
}

type Read =
  | { readonly kind: "read"; readonly row: Row | undefined }
  | { readonly kind: "failed"; readonly reason: string };

interface Access {
  readonly platform: Platform;
  readonly clock: Clock;
  remains(): boolean;
  timeout(): Milliseconds;
  pause(): Promise<void>;
  read(key: RowKey): Promise<Read>;
  put(
    object: { readonly name: string; readonly content: string },
  ): Promise<ChangeRejection | undefined>;
}

/** The platform with the deadline of one call of `applyConfiguration`. */
function createAccess(
  {
    platform,
    clock = createSystemClock(),
    deadline = DEADLINE,
    timeout = TIMEOUT,
  }: ApplyOptions,
): Access {
  const end = clock.monotonic() + deadline;
  const remains = () => clock.monotonic() < end;
  const pause = () => clock.sleep(PAUSE);

  async function read(key: RowKey): Promise<Read> {
    for (;;) {
      const result = await platform.readRow(key, timeout);
      if (result.isOk()) return { kind: "read", row: result.value };
      // Tried at least once, so that a lost answer is settled after the
      // deadline when the platform answers again.
      if (!remains()) return { kind: "failed", reason: result.error.reason };
      await pause();
    }
  }

  async function put(
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
      if (!remains()) {
        return { kind: "unavailable", reason: settlement.reason };
      }
      await pause();
    }
  }

  return {
    platform,
    clock,
    remains,
    timeout: () => timeout,
    pause,
    read,
    put,
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
