/**
 * A lease with a fencing token over one table row.
 *
 * The token is the version that the table service gave to the row when it was
 * acquired. Row versions rise with each write, also over deletion, so tokens
 * rise and never repeat. No wall clocks are compared: a contender takes over
 * only after it has seen the row's version unchanged for the whole duration on
 * its own monotonic clock, and the holder stops earlier on its own.
 */
import { randomUUID } from "node:crypto";
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Platform, Row } from "@peridotvalve/tables";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { leaseKey, parseLeaseRow } from "./row.ts";
import { createRowWriter } from "./row_writer.ts";

export interface LeaseOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /** Name of the lease. */
  readonly name: string;
  /** Name of this contender, for readers of the row. */
  readonly holder: string;
  /** Time without a renewal after which another may take over. */
  readonly duration?: Milliseconds;
  /**
   * The holder stops this long before the duration ends. It covers the
   * difference in speed of two monotonic clocks and the time between reading
   * `token()` and acting on it.
   */
  readonly margin?: Milliseconds;
  /** Time for one call of the platform. */
  readonly timeout?: Milliseconds;
}

/** How an attempt to acquire or renew ended. */
export type LeaseAnswer =
  | { readonly kind: "held"; readonly token: number }
  | { readonly kind: "held by other"; readonly holder: string }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "unavailable"; readonly reason: string };

export abstract class Lease {
  /**
   * Looks at the row once and takes it when it is free. A row of another
   * holder becomes free when calls over the whole duration saw it unchanged.
   */
  abstract acquire(): Promise<LeaseAnswer>;
  /** Extends a held lease. After "unavailable" it is held until its end. */
  abstract renew(): Promise<LeaseAnswer>;
  /** Gives the lease up at once and tells the others when possible. */
  abstract release(): Promise<void>;
  /** The fencing token while the lease is surely held. */
  abstract token(): number | undefined;
  /** Fires when the current hold is lost or released; undefined if not held. */
  abstract lost(): AbortSignal | undefined;
}

const DURATION: Milliseconds = 15 * SECOND;
const MARGIN: Milliseconds = 3 * SECOND;
const TIMEOUT: Milliseconds = 2 * SECOND;

interface Hold {
  readonly acquisition: string;
  readonly token: number;
  /** Version of the row as far as known; a renewal checks it. */
  readonly version: number;
  /** End on the monotonic clock. */
  readonly end: Milliseconds;
  readonly loss: AbortController;
}

interface Observation {
  readonly version: number;
  readonly since: Milliseconds;
}

export function createLease(
  {
    platform,
    clock = createSystemClock(),
    name,
    holder,
    duration = DURATION,
    margin = MARGIN,
    timeout = TIMEOUT,
  }: LeaseOptions,
): Lease {
  const key = leaseKey(name);
  const writer = createRowWriter({ platform, key, timeout });
  let hold: Hold | undefined;
  let observation: Observation | undefined;
  // Never reused, so that a write of one try that takes effect late is not
  // taken for the write of a later try, which would extend the hold too far.
  let sequence = 0;

  const isHeld = (held: Hold) => clock.monotonic() < held.end;

  function drop(held: Hold): void {
    if (hold === held) hold = undefined;
    held.loss.abort();
  }

  /** The current hold, after dropping one whose time has passed. */
  function currentHold(): Hold | undefined {
    if (hold !== undefined && !isHeld(hold)) drop(hold);
    return hold;
  }

  /** Ends the hold on time also when nobody asks for it. */
  async function guard(loss: AbortController): Promise<void> {
    while (!loss.signal.aborted) {
      const held = currentHold();
      if (held?.loss !== loss) return;
      const remaining = held.end - clock.monotonic();
      await clock.sleep(remaining, loss.signal);
    }
  }

  /** Counts from before the write, so that contenders count from later. */
  const endAfter = (sent: Milliseconds) => sent + duration - margin;

  /** Notes the row and answers whether it may be taken over now. */
  function isFree(row: Row | undefined, readSince: Milliseconds): boolean {
    if (row === undefined) return true;
    const known = parseLeaseRow(row);
    if (known === undefined || known.holder === null) return true;
    if (observation?.version !== row.version) {
      observation = { version: row.version, since: clock.monotonic() };
      return false;
    }
    // The read began this late, so the row was unchanged until then.
    return readSince - observation.since >= duration;
  }

  async function acquire(): Promise<LeaseAnswer> {
    const present = currentHold();
    if (present !== undefined) return { kind: "held", token: present.token };
    const readSince = clock.monotonic();
    const read = await platform.readRow(key, timeout);
    if (read.isErr()) return unavailable(read.error.reason);
    const row = read.value;
    if (!isFree(row, readSince)) {
      const other = parseLeaseRow(row)?.holder ?? "";
      return { kind: "held by other", holder: other };
    }
    return await take(row?.version ?? 0);
  }

  async function take(version: number): Promise<LeaseAnswer> {
    const acquisition = randomUUID();
    const value = { holder, acquisition, sequence: ++sequence, token: null };
    const sent = clock.monotonic();
    const settlement = await writer.settle(version, value);
    if (settlement.kind !== "done") return unavailable(settlement.reason);
    const token = settlement.value;
    const loss = new AbortController();
    const taken: Hold = {
      acquisition,
      token,
      version: token,
      end: endAfter(sent),
      loss,
    };
    if (!isHeld(taken)) return unavailable("acquired too late to be used");
    hold = taken;
    guard(loss);
    return { kind: "held", token };
  }

  async function renew(): Promise<LeaseAnswer> {
    const held = currentHold();
    if (held === undefined) return { kind: "lost", reason: "not held" };
    const { acquisition, token } = held;
    const sent = clock.monotonic();
    const value = { holder, acquisition, sequence: ++sequence, token };
    const settlement = await writer.settle(held.version, value);
    // The hold can have ended, or been released, during the call.
    if (currentHold() !== held) return { kind: "lost", reason: "ended" };
    if (settlement.kind === "done") {
      hold = {
        ...held,
        version: settlement.value,
        end: endAfter(sent),
      };
      return { kind: "held", token };
    }
    return await resumeFrom(held, settlement.reason);
  }

  /** After a failed renewal, checks that the row is still this holder's. */
  async function resumeFrom(
    held: Hold,
    reason: string,
  ): Promise<LeaseAnswer> {
    const read = await platform.readRow(key, timeout);
    if (read.isErr()) return unavailable(reason);
    if (currentHold() !== held) return { kind: "lost", reason: "ended" };
    const found = parseLeaseRow(read.value);
    if (found?.acquisition !== held.acquisition || read.value === undefined) {
      drop(held);
      return { kind: "lost", reason: "taken by another holder" };
    }
    // The end stays as it was: only a renewal that is known to have taken
    // effect extends it.
    const { version } = read.value;
    hold = { ...held, version };
    return unavailable(reason);
  }

  async function release(): Promise<void> {
    const held = currentHold();
    if (held === undefined) return;
    drop(held);
    const { acquisition, token, version } = held;
    const value = { holder: null, acquisition, sequence: ++sequence, token };
    await writer.settle(version, value);
  }

  let pending: Promise<LeaseAnswer> | undefined;

  /** Joins a call in progress, so that no two writes overlap. */
  function once(start: () => Promise<LeaseAnswer>): Promise<LeaseAnswer> {
    pending ??= start().finally(() => {
      pending = undefined;
    });
    return pending;
  }

  return new (class extends Lease {
    override acquire(): Promise<LeaseAnswer> {
      return once(acquire);
    }

    override renew(): Promise<LeaseAnswer> {
      return once(renew);
    }

    override release(): Promise<void> {
      return release();
    }

    override token(): number | undefined {
      return currentHold()?.token;
    }

    override lost(): AbortSignal | undefined {
      return currentHold()?.loss.signal;
    }
  })();
}

function unavailable(reason: string): LeaseAnswer {
  return { kind: "unavailable", reason };
}
