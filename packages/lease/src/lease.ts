/**
 * A lease with a fencing token over one table row.
 *
 * The token is the row version that the acquiring write produced. Row versions
 * increase with each write, even across deletion of the row and the return of
 * the store from a copy, so tokens increase and never repeat. Wall clocks of
 * different machines are never compared: a contender takes over only after the
 * row's version has stayed unchanged for the whole lease duration on the
 * contender's monotonic clock, and the holder stops earlier, on its own clock.
 */
import { randomUUID } from "node:crypto";
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Platform, Row } from "@peridotvalve/tables";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import { leaseKey, parseLeaseRow } from "./row.ts";
import { createRowWriter } from "./row_writer.ts";

export interface LeaseOptions {
  readonly platform: Platform;
  /** Limits the use of the lease by its holder. */
  readonly clock?: Clock;
  /**
   * Measures how long the row of another holder stays unchanged; `clock` by
   * default. No change of the wall clock may move it, and it may stand while the
   * VM is suspended: the wait gets longer then.
   */
  readonly contenderClock?: Clock;
  readonly name: string;
  /** Name of this contender, stored in the row for diagnosis. */
  readonly holder: string;
  /** Time without a renewal after which another contender may take over. */
  readonly duration?: Milliseconds;
  /**
   * How long before the end of `duration` the holder stops using the lease.
   * Covers the drift between the monotonic clocks of two machines and the time
   * between reading `token()` and acting on it.
   */
  readonly margin?: Milliseconds;
  /** Timeout of each platform call. */
  readonly timeout?: Milliseconds;
  /**
   * Time for which the store is known to have lost no row. Until it reaches
   * `duration`, a holder whose row was lost may still use its term, and a row
   * that is missing or released says nothing. Unlimited by default.
   */
  readonly storeAge?: () => Milliseconds;
}

/** Result of an attempt to acquire or renew the lease. */
export type LeaseResult =
  | { readonly kind: "held"; readonly token: number }
  | { readonly kind: "held by other"; readonly holder: string }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "unavailable"; readonly reason: string };

export abstract class Lease {
  /**
   * Reads the row once and acquires the lease if it is free. A row of another
   * holder, or one that cannot be parsed, counts as free once repeated calls have
   * seen it unchanged for the whole `duration`.
   */
  abstract acquire(): Promise<LeaseResult>;
  /**
   * Extends a held lease. After "unavailable" the lease stays held until its
   * previous expiry.
   */
  abstract renew(): Promise<LeaseResult>;
  /**
   * Ends the term at once and tries to mark the row as released. If that write
   * fails, other contenders have to wait for the whole `duration`.
   */
  abstract release(): Promise<void>;
  /** The fencing token; undefined when the lease is not certainly held. */
  abstract token(): number | undefined;
  /**
   * Aborted when the current term is lost or released; undefined when the lease
   * is not held.
   */
  abstract lost(): AbortSignal | undefined;
}

const DURATION: Milliseconds = 15 * SECOND;
const MARGIN: Milliseconds = 3 * SECOND;
const TIMEOUT: Milliseconds = 2 * SECOND;

/** A term of the lease, from its acquisition to its loss or release. */
interface Term {
  readonly acquisition: string;
  readonly token: number;
  /** Last known version of the row; a renewal is conditional on it. */
  readonly version: number;
  /** On the monotonic clock. */
  readonly expiresAt: Milliseconds;
  readonly termEnd: AbortController;
}

/**
 * A version of another holder's row and when this contender first saw it, on its
 * own clock.
 */
interface Observation {
  readonly version: number;
  readonly firstSeenAt: Milliseconds;
}

export function createLease(
  {
    platform,
    clock = createSystemClock(),
    contenderClock = clock,
    name,
    holder,
    duration = DURATION,
    margin = MARGIN,
    timeout = TIMEOUT,
    storeAge = () => Infinity,
  }: LeaseOptions,
): Lease {
  const key = leaseKey(name);
  const writer = createRowWriter({ platform, key, timeout });
  let term: Term | undefined;
  let observation: Observation | undefined;
  // Never reused: otherwise an earlier write that takes effect late could be
  // mistaken for a later one, and the term would be extended too far.
  let sequence = 0;

  const isActive = (candidate: Term) => clock.monotonic() < candidate.expiresAt;

  function endTerm(ended: Term): void {
    if (term === ended) term = undefined;
    ended.termEnd.abort();
  }

  /** The current term; ends it first if it has expired. */
  function currentTerm(): Term | undefined {
    if (term !== undefined && !isActive(term)) endTerm(term);
    return term;
  }

  /** Ends the term at its expiry even if no method is called. */
  async function endOnExpiry(termEnd: AbortController): Promise<void> {
    while (!termEnd.signal.aborted) {
      const held = currentTerm();
      if (held?.termEnd !== termEnd) return;
      const remaining = held.expiresAt - clock.monotonic();
      await clock.sleep(remaining, termEnd.signal);
    }
  }

  /**
   * Expiry of a term whose write was sent at `sentAt`. Counting from before the
   * write makes the holder's period start before that of any contender.
   */
  const expiryFrom = (sentAt: Milliseconds) => sentAt + duration - margin;

  /** Records the observed row and returns whether it may be taken over. */
  function checkFree(
    row: Row | undefined,
    readStartedAt: Milliseconds,
  ): boolean {
    const isReliable = storeAge() >= duration;
    if (row === undefined) return isReliable;
    // A row that cannot be parsed may belong to a holder of another release.
    if (parseLeaseRow(row)?.holder === null) return isReliable;
    if (observation?.version !== row.version) {
      const firstSeenAt = contenderClock.monotonic();
      observation = { version: row.version, firstSeenAt };
      return false;
    }
    // The read returns a state no older than its start, so the row was
    // unchanged at least until then.
    return readStartedAt - observation.firstSeenAt >= duration;
  }

  async function acquire(): Promise<LeaseResult> {
    const active = currentTerm();
    if (active !== undefined) return { kind: "held", token: active.token };
    const readStartedAt = contenderClock.monotonic();
    const read = await platform.readRow(key, timeout);
    if (read.isErr()) return unavailable(read.error.reason);
    const row = read.value;
    if (!checkFree(row, readStartedAt)) {
      const other = parseLeaseRow(row)?.holder ?? "";
      return { kind: "held by other", holder: other };
    }
    return await writeAcquisition(row?.version ?? 0);
  }

  async function writeAcquisition(version: number): Promise<LeaseResult> {
    const acquisition = randomUUID();
    const value = { holder, acquisition, sequence: ++sequence, token: null };
    const sentAt = clock.monotonic();
    const settlement = await writer.write(version, value);
    if (settlement.kind !== "done") return unavailable(settlement.reason);
    const token = settlement.value;
    const termEnd = new AbortController();
    const acquired: Term = {
      acquisition,
      token,
      version: token,
      expiresAt: expiryFrom(sentAt),
      termEnd,
    };
    if (!isActive(acquired)) return unavailable("expired during acquisition");
    term = acquired;
    endOnExpiry(termEnd);
    return { kind: "held", token };
  }

  async function renew(): Promise<LeaseResult> {
    const held = currentTerm();
    if (held === undefined) return { kind: "lost", reason: "not held" };
    const { acquisition, token } = held;
    const sentAt = clock.monotonic();
    const value = { holder, acquisition, sequence: ++sequence, token };
    const settlement = await writer.write(held.version, value);
    // The term can have expired or been released during the call.
    if (currentTerm() !== held) return { kind: "lost", reason: "ended" };
    if (settlement.kind === "done") {
      term = {
        ...held,
        version: settlement.value,
        expiresAt: expiryFrom(sentAt),
      };
      return { kind: "held", token };
    }
    return await checkOwnership(held, settlement.reason);
  }

  /** After a failed renewal, checks that the row still belongs to this term. */
  async function checkOwnership(
    held: Term,
    reason: string,
  ): Promise<LeaseResult> {
    const read = await platform.readRow(key, timeout);
    if (read.isErr()) return unavailable(reason);
    if (currentTerm() !== held) return { kind: "lost", reason: "ended" };
    const present = parseLeaseRow(read.value);
    if (present?.acquisition !== held.acquisition || read.value === undefined) {
      endTerm(held);
      return { kind: "lost", reason: "taken by another holder" };
    }
    // The expiry stays unchanged: only a renewal that is known to have taken
    // effect extends it.
    const { version } = read.value;
    term = { ...held, version };
    return unavailable(reason);
  }

  async function release(): Promise<void> {
    const held = currentTerm();
    if (held === undefined) return;
    endTerm(held);
    const { acquisition, token, version } = held;
    const value = { holder: null, acquisition, sequence: ++sequence, token };
    await writer.write(version, value);
  }

  let pending: Promise<LeaseResult> | undefined;

  /** Joins a pending call, so that two writes never overlap. */
  function joinPending(
    start: () => Promise<LeaseResult>,
  ): Promise<LeaseResult> {
    pending ??= start().finally(() => {
      pending = undefined;
    });
    return pending;
  }

  return new (class extends Lease {
    override acquire(): Promise<LeaseResult> {
      return joinPending(acquire);
    }

    override renew(): Promise<LeaseResult> {
      return joinPending(renew);
    }

    override release(): Promise<void> {
      return release();
    }

    override token(): number | undefined {
      return currentTerm()?.token;
    }

    override lost(): AbortSignal | undefined {
      return currentTerm()?.termEnd.signal;
    }
  })();
}

function unavailable(reason: string): LeaseResult {
  return { kind: "unavailable", reason };
}
