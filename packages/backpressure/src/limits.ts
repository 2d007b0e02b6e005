/**
 * Keeps the requests of all daemons to a replica within the limit that it
 * names. Each daemon may use a share of the limit: what its recent rate is of
 * the rates of all that share it, and at least an equal part; it has an equal part
 * also while the rates of the others are on their way. Shares follow the load, so the limit is used wherever the requests come in, and a daemon that
 * does not know the others yet takes an equal part.
 *
 * A cold replica has a limit of its own, which holds in any second and is divided
 * evenly. A request to a replica with both needs room in both.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type Milliseconds,
  type RequestRate,
  SECOND,
} from "@peridotvalve/types";
import type { Coldness } from "./cold_replicas.ts";
import {
  createEqualSlots,
  type FleetPosition,
  type Tolerance,
} from "./equal_slots.ts";
import { incarnationHash, type PacedReplica } from "./incarnation.ts";
import { createSettledRates, SETTLING_TIME } from "./settled_rates.ts";
import type { Statements } from "./statements.ts";
import { hashToUnit } from "./unit_hash.ts";

/** Daemons that know each other's rates and share a part of each limit. */
export interface SharingGroup {
  /** Part of the replica's limit that the group has, from 0 to 1. */
  readonly fraction: number;
  /** Daemons of the group, whether they can be reached or not. */
  readonly members: number;
  /** Daemons of the group whose rates are known, with this one. */
  readonly live: number;
  /**
   * Position of this daemon, where the members are spread evenly over [0, 1);
   * absent when it is not known.
   */
  readonly position?: number;
}

/** Neighbors that exchange their rates: a whole fleet, or one of its zones. */
export interface Neighborhood {
  readonly zone: string;
  readonly isWholeFleet: boolean;
  readonly members: number;
  readonly live: number;
  /** Number of live neighbors whose names come before the daemon's own. */
  readonly rank: number;
  /** Share of the fleet's daemons that are neighbors, from 0 to 1. */
  readonly fleetShare: number;
}

/** Part of a limit for the zone of its replica, where most requests come in. */
const HOME_FRACTION = 0.5;

/**
 * Divides the limit of a replica between the zones of a fleet: one part goes to
 * the replica's own zone, the rest to all zones by their daemons.
 */
export function divideLimit(
  replica: PacedReplica,
  { zone, isWholeFleet, members, live, rank, fleetShare }: Neighborhood,
): SharingGroup {
  const home = replica.zone === zone ? HOME_FRACTION : 0;
  const fraction = isWholeFleet ? 1 : home + (1 - HOME_FRACTION) * fleetShare;
  const position = rank / Math.max(1, members) +
    (isWholeFleet ? 0 : hashToUnit(zone));
  return { fraction, members, live, position };
}

/** A counted request that has not been sent yet. */
export interface Permit {
  /** Returns false when the replica has become cold since. */
  readonly isValid: () => boolean;
}

export abstract class Limits {
  /** Returns true when a request may be sent to the replica now. */
  abstract hasRoom(replica: PacedReplica): boolean;
  /** Counts a request that is sent to the replica. */
  abstract take(replica: PacedReplica): Permit;
  /** Takes back a counted request that is not sent. */
  abstract giveBack(replica: PacedReplica): void;
  /**
   * Requests per second that this daemon may send to the replica; Infinity when
   * it names no limit.
   */
  abstract rateOf(replica: PacedReplica): RequestRate;
  /**
   * Estimates how long the last of `count` requests waits until one of the
   * replicas may get it; 0 when one of them names no limit.
   */
  abstract estimateWait(
    replicas: readonly PacedReplica[],
    count: number,
  ): Milliseconds;
}

export interface LimitsOptions {
  readonly clock: Clock;
  readonly statements: Pick<Statements, "find">;
  /** Recent rates of requests to the replica with the id. */
  readonly rates: (id: string) => {
    readonly own: RequestRate;
    readonly peers: RequestRate;
  };
  readonly groupOf: (replica: PacedReplica) => SharingGroup;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
  /** By default no replica is cold. */
  readonly coldness?: (replica: PacedReplica) => Coldness | undefined;
  /** Place among all daemons; undefined while they are not known. */
  readonly position?: () => FleetPosition | undefined;
  /** What a cold replica may get beyond its rate. */
  readonly tolerance?: () => Tolerance;
}

/** What the platform's page allows unless the settings say otherwise. */
export const DEFAULT_TOLERANCE: Tolerance = { over: 1.5, slack: 5 };

/** Rate at which a replica that takes less is asked whether it still does. */
const PROBE_RATE: RequestRate = 0.5;

/**
 * Time for which an unused share is kept. It bounds the requests that daemons
 * with unused shares send at once.
 */
const MAX_SAVED: Milliseconds = 1_000;

/** More replicas than a fleet has. */
const MAX_BUCKETS = 2_000;

/** The unused share of one limit, in requests. */
interface Bucket {
  saved: number;
  at: Milliseconds;
}

export function createLimits(options: LimitsOptions): Limits {
  const { clock, statements, groupOf, random = Math.random } = options;
  const { coldness = () => undefined, position = () => undefined } = options;
  const { tolerance = () => DEFAULT_TOLERANCE } = options;
  const rates = createSettledRates(clock, options.rates);
  const buckets = new Map<string, Bucket>();
  const slots = createEqualSlots({ clock, position, tolerance });

  /** Rate within the limit that the replica names. */
  function namedRateOf(replica: PacedReplica): RequestRate {
    const limit = statements.find(replica, "limit");
    if (limit === undefined) return Infinity;
    const { fraction, members, live } = groupOf(replica);
    const whole = Math.max(limit.value, PROBE_RATE) * fraction;
    const equal = whole / Math.max(1, members);
    // Asked in the settling time as well, so that a rise within it is noticed.
    const { own, peers } = rates(replica.id);
    if (clock.monotonic() - limit.since < SETTLING_TIME) return equal;
    const share = own > 0 ? own / (own + peers) : 0;
    // Daemons that cannot be reached use their parts as well.
    return Math.max(equal, whole * share * live / Math.max(live, members));
  }

  function refill(replica: PacedReplica): Bucket | undefined {
    const key = incarnationHash(replica);
    const rate = namedRateOf(replica);
    if (rate === Infinity) {
      buckets.delete(key);
      return undefined;
    }
    const now = clock.monotonic();
    const known = buckets.get(key);
    if (known === undefined) {
      if (buckets.size >= MAX_BUCKETS) buckets.clear();
      const bucket = { saved: random(), at: now };
      buckets.set(key, bucket);
      return bucket;
    }
    const earned = rate * (now - known.at) / SECOND;
    known.saved = boundSaved(known.saved + earned, rate);
    known.at = now;
    return known;
  }

  return new (class extends Limits {
    override rateOf(replica: PacedReplica): RequestRate {
      const cold = coldness(replica);
      const named = namedRateOf(replica);
      return cold === undefined
        ? named
        : Math.min(named, slots.rateOf(replica, cold));
    }

    override hasRoom(replica: PacedReplica): boolean {
      const cold = coldness(replica);
      if (cold !== undefined && slots.available(replica, cold) < 1) {
        return false;
      }
      const bucket = refill(replica);
      return bucket === undefined || bucket.saved >= 1;
    }

    override estimateWait(
      replicas: readonly PacedReplica[],
      count: number,
    ): Milliseconds {
      let rate: RequestRate = 0;
      let saved = 0;
      let longest = Infinity;
      for (const replica of replicas) {
        const bucket = refill(replica);
        const cold = coldness(replica);
        if (bucket === undefined && cold === undefined) return 0;
        rate += this.rateOf(replica);
        saved += Math.min(
          Math.max(0, bucket?.saved ?? Infinity),
          cold === undefined ? Infinity : slots.available(replica, cold),
        );
        if (bucket !== undefined || cold === undefined) continue;
        longest = Math.min(longest, cold.until - clock.monotonic());
      }
      if (rate === 0) return longest === Infinity ? 0 : longest;
      return Math.min(longest, Math.max(0, count - saved) * SECOND / rate);
    }

    override take(replica: PacedReplica): Permit {
      const bucket = refill(replica);
      if (bucket !== undefined) bucket.saved -= 1;
      const cold = coldness(replica);
      if (cold !== undefined) slots.take(replica, cold);
      return {
        isValid() {
          const now = coldness(replica);
          return now === undefined || now.since === cold?.since;
        },
      };
    }

    override giveBack(replica: PacedReplica): void {
      const bucket = refill(replica);
      if (bucket !== undefined) bucket.saved += 1;
      // A slot of a cold replica lapses: the request may have been placed before
      // the replica became cold, and then it has used none.
    }
  })();
}

/**
 * Bounds the saved share. A share of less than one request in `MAX_SAVED`
 * lapses that long after it has become a whole request, and is saved anew;
 * otherwise many daemons with small shares would each have a request saved.
 */
function boundSaved(saved: number, rate: RequestRate): number {
  const most = rate * MAX_SAVED / SECOND;
  if (most >= 1) return Math.min(saved, most);
  return saved < 1 + most ? saved : saved % (1 + most);
}
