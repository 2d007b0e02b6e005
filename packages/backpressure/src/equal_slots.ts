/**
 * Divides the rate of a cold replica evenly between all daemons of the fleet so
 * that no second has more than its share, however small the single shares are.
 *
 * Each daemon has a position among the names of all daemons, and a slot for one
 * request whenever its share of the rate has grown by one. The slots of all
 * daemons are evenly spaced in time, and a slot that is not used lapses. Nothing
 * depends on which daemons can be reached.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type Milliseconds,
  type RequestRate,
  SECOND,
} from "@peridotvalve/types";
import { incarnationHash, type PacedReplica } from "./incarnation.ts";
import { hashToUnit } from "./unit_hash.ts";

/** Place of this daemon among all daemons that the fleet has listed. */
export interface FleetPosition {
  readonly zone: string;
  /** Daemons of the fleet, whether they can be reached or not. */
  readonly members: number;
  /** Position of this daemon among them, from 0. */
  readonly index: number;
  /** Position of this daemon among those of its zone, from 0. */
  readonly zoneIndex: number;
  readonly zoneMembers: ReadonlyMap<string, number>;
}

/** What a replica may get beyond its rate in any second. */
export interface Tolerance {
  /** Factor of the rate. */
  readonly over: number;
  /** Requests in addition. */
  readonly slack: number;
}

/** A rate that applies since a time on the monotonic clock. */
export interface SlotRate {
  readonly rate: RequestRate;
  readonly since: Milliseconds;
}

export abstract class EqualSlots {
  /** Requests that this daemon may send to the replica now. */
  abstract available(replica: PacedReplica, applied: SlotRate): number;
  abstract take(replica: PacedReplica, applied: SlotRate): void;
  /** Requests per second that this daemon may send to the replica. */
  abstract rateOf(replica: PacedReplica, applied: SlotRate): RequestRate;
}

export interface EqualSlotsOptions {
  readonly clock: Clock;
  /** Undefined while the daemons of the fleet are not known. */
  readonly position: () => FleetPosition | undefined;
  readonly tolerance: () => Tolerance;
}

/** Part of a rate for the zone of its replica, where most requests come in. */
const HOME_FRACTION = 0.5;

/** Time for which a placed request may wait for its connection. */
const SEND_DELAY: Milliseconds = 200;

/**
 * Slots in a second beyond the rate: each of the two rows of slots may begin and
 * end within it, and may be moved within it when daemons join.
 */
const ROW_SLACK = 4;

/**
 * Time for which a slot is kept at least, so that the waiting requests, which
 * are tried every 15 ms, find it.
 */
const MIN_LIFETIME: Milliseconds = 100;
const MAX_LIFETIME: Milliseconds = 5_000;

/** Share of the rate that is used where the tolerance leaves nothing. */
const MIN_RATE_SHARE = 0.1;

/** More replicas than a fleet has; the oldest are dropped. */
const MAX_REPLICAS = 2_000;

/** The slots of one part of the rate: one whenever the count is whole. */
interface Row {
  readonly perSecond: RequestRate;
  readonly phase: number;
  /** Time before which no slot counts. */
  readonly since: Milliseconds;
  /** Number of the newest slot that has been used. */
  used: number;
}

export function createEqualSlots(options: EqualSlotsOptions): EqualSlots {
  const { clock, position, tolerance } = options;
  // Later steps of the wall clock do not repeat slots.
  const epoch = clock.now() - clock.monotonic();
  const rowsByReplica = new Map<string, readonly Row[]>();
  const offsets = new Map<string, number>();

  /** Offset of a row of slots, so that those of several replicas differ. */
  function offsetOf(row: string): number {
    const known = offsets.get(row);
    if (known !== undefined) return known;
    if (offsets.size >= 2 * MAX_REPLICAS) offsets.clear();
    const offset = hashToUnit(row);
    offsets.set(row, offset);
    return offset;
  }

  /** Number of the newest slot at a time. */
  function countSlots({ perSecond, phase }: Row, at: Milliseconds): number {
    return Math.floor((epoch + at) * perSecond / SECOND + phase);
  }

  /** Rate that leaves room for delayed requests and for uneven slots. */
  function boundRate(rate: RequestRate): RequestRate {
    const { over, slack } = tolerance();
    const most = (over * rate + slack - ROW_SLACK) /
      (1 + (SEND_DELAY + MIN_LIFETIME) / SECOND);
    return Math.min(rate, Math.max(MIN_RATE_SHARE * rate, most));
  }

  /**
   * Time for which an unused slot is kept. What is kept when load begins adds to
   * what becomes due in the second after, and to what was sent late.
   */
  function lifetimeOf(rate: RequestRate): Milliseconds {
    const { over, slack } = tolerance();
    const spare = over - 1 + (slack - ROW_SLACK) / rate;
    const time = spare * SECOND - SEND_DELAY;
    return Math.min(MAX_LIFETIME, Math.max(MIN_LIFETIME, time));
  }

  function listParts(
    replica: PacedReplica,
    rate: RequestRate,
  ): readonly Pick<Row, "perSecond" | "phase">[] {
    const known = position();
    if (known === undefined) return [];
    const bound = boundRate(rate);
    const key = incarnationHash(replica);
    const { zone, members, index, zoneMembers, zoneIndex } = known;
    const inHome = zoneMembers.get(replica.zone) ?? 0;
    // A zone without daemons leaves its part to the others.
    const home = inHome > 0 ? HOME_FRACTION : 0;
    const parts = [{
      perSecond: bound * (1 - home) / members,
      phase: index / members + offsetOf(key),
    }];
    if (zone !== replica.zone || inHome === 0) return parts;
    return [...parts, {
      perSecond: bound * home / inHome,
      phase: zoneIndex / inHome + offsetOf(`${key} home`),
    }];
  }

  function isSame(row: Row, part: Pick<Row, "perSecond" | "phase">): boolean {
    return row.perSecond === part.perSecond && row.phase === part.phase;
  }

  function rowsOf(
    replica: PacedReplica,
    { rate, since }: SlotRate,
  ): readonly Row[] {
    const key = incarnationHash(replica);
    const known = rowsByReplica.get(key);
    const parts = listParts(replica, rate);
    const isKnown = known?.length === parts.length &&
      known.every((row, at) =>
        row.since >= since && isSame(row, parts[at] ?? row)
      );
    if (isKnown) return known;
    // Slots that are due at the time of a change lapse.
    const start = known === undefined ? since : clock.monotonic();
    const rows = parts.map((part) => ({ ...part, since: start, used: 0 }));
    rowsByReplica.delete(key);
    rowsByReplica.set(key, rows);
    for (const oldest of rowsByReplica.keys()) {
      if (rowsByReplica.size <= MAX_REPLICAS) break;
      rowsByReplica.delete(oldest);
    }
    return rows;
  }

  /** Number of the newest slot that has lapsed or been used. */
  function lastSpent(row: Row, rate: RequestRate): number {
    const oldest = clock.monotonic() - lifetimeOf(rate);
    return Math.max(row.used, countSlots(row, Math.max(oldest, row.since)));
  }

  function countFree(row: Row, rate: RequestRate): number {
    return countSlots(row, clock.monotonic()) - lastSpent(row, rate);
  }

  return new (class extends EqualSlots {
    override available(replica: PacedReplica, applied: SlotRate): number {
      return rowsOf(replica, applied).reduce(
        (sum, row) => sum + Math.max(0, countFree(row, applied.rate)),
        0,
      );
    }

    override take(replica: PacedReplica, applied: SlotRate): void {
      const rows = rowsOf(replica, applied);
      const row = rows.find((one) => countFree(one, applied.rate) > 0) ??
        rows[0];
      if (row !== undefined) row.used = lastSpent(row, applied.rate) + 1;
    }

    override rateOf(
      replica: PacedReplica,
      applied: SlotRate,
    ): RequestRate {
      return rowsOf(replica, applied)
        .reduce((sum, { perSecond }) => sum + perSecond, 0);
    }
  })();
}
