/**
 * Keeps the requests of all daemons within the places of brittle replicas, which
 * fall over when they have to turn many requests away at once. What has no place
 * waits here or is refused here.
 *
 * Each daemon may use a part of the places: half of them are divided evenly, the
 * other half by the recent rates of all that share them, so that the parts never
 * add up to more than there are and still follow the load. A daemon whose part is
 * less than one place has a whole one for that share of the time: the places go
 * round among the daemons.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, RequestRate } from "@peridotvalve/types";
import { incarnationHash, type PacedReplica } from "./incarnation.ts";
import type { SharingGroup } from "./limits.ts";
import { createSettledRates, SETTLING_TIME } from "./settled_rates.ts";
import type { Statements } from "./statements.ts";
import { hashToUnit } from "./unit_hash.ts";

export interface PlacedReplica extends PacedReplica {
  readonly service: string;
  /** Requests that the replica runs at once; 0 when it does not say. */
  readonly slots: number;
}

export abstract class Places {
  /**
   * Returns true while the replicas of the service are brittle. They become so
   * together, and one that starts again may not have said so yet. It ends when
   * none says so any more, or one no more for `END_CONFIRMED_AFTER` in which no
   * other has said so: a replica that gets no requests keeps its last word.
   */
  abstract isBrittle(service: string): boolean;
  /** Returns true when the replica has a place for one more request. */
  abstract hasRoom(replica: PlacedReplica): boolean;
  /** Records that the replica refused a request for want of room. */
  abstract recordRefusal(replica: PlacedReplica): void;
}

export interface PlacesOptions {
  readonly clock: Clock;
  readonly statements: Pick<Statements, "find" | "findEnd">;
  readonly replicasOf: (service: string) => readonly PlacedReplica[];
  /** Requests of this daemon that the replica has now. */
  readonly inFlight: (id: string) => number;
  /** Recent rates of requests to the replica with the id. */
  readonly rates: (id: string) => {
    readonly own: RequestRate;
    readonly peers: RequestRate;
  };
  readonly groupOf: (replica: PacedReplica) => SharingGroup;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Share of the places that is divided evenly. */
const EVEN_SHARE = 0.5;

/** Interval at which the statements of a service are looked at again. */
const CHECK_PERIOD: Milliseconds = 100;

/** Time within which all replicas that get requests answer. */
const END_CONFIRMED_AFTER: Milliseconds = 10_000;

/** Part of the places that is left after each refusal for want of room. */
const REFUSAL_FACTOR = 0.8;
const MIN_FACTOR = 0.3;

/**
 * Time after a refusal for want of room in which the daemon sends the replica
 * nothing, so that it does not have all waiting requests refused in a row.
 */
const REFUSAL_PAUSE: Milliseconds = 250;

/** Time in which the factor returns from 0 to 1. */
const RECOVERY_TIME: Milliseconds = 8_000;

/**
 * Time in which a place goes round all daemons of a group. Handovers overlap by
 * the rest of a request, so a turn has to last longer than one: 300 ms for a
 * part of a sixtieth of a place.
 */
const ROTATION_PERIOD: Milliseconds = 20_000;

/** Share of places that go round; the rest covers overlapping handovers. */
const HANDOVER_SHARE = 0.9;

/** More replicas than a fleet has. */
const MAX_SHARES = 2_000;

interface Share {
  /** Number in [0, 1) at which the rotation of the replica's places starts. */
  readonly start: number;
  /** Position of this daemon where the group does not tell it, in [0, 1). */
  readonly position: number;
  factor: number;
  at: Milliseconds;
  pausedUntil: Milliseconds;
}

export function createPlaces(options: PlacesOptions): Places {
  const { clock, statements, replicasOf, inFlight, groupOf } = options;
  const { random = Math.random } = options;
  const rates = createSettledRates(clock, options.rates);
  const shares = new Map<string, Share>();
  const checks = new Map<
    string,
    { readonly at: Milliseconds; readonly isBrittle: boolean }
  >();

  function isBrittle(service: string): boolean {
    const now = clock.monotonic();
    const last = checks.get(service);
    if (last !== undefined && now - last.at < CHECK_PERIOD) {
      return last.isBrittle;
    }
    const listed = replicasOf(service);
    const lastSaid = Math.max(
      ...listed.map((replica) =>
        statements.find(replica, "brittle")?.heardAt ?? -Infinity
      ),
    );
    const isAnyBrittle = lastSaid > -Infinity && !listed.some((replica) => {
      const end = statements.findEnd(replica, "brittle");
      return end !== undefined &&
        end.heardAt >= Math.max(end.since, lastSaid) + END_CONFIRMED_AFTER;
    });
    checks.set(service, { at: now, isBrittle: isAnyBrittle });
    return isAnyBrittle;
  }

  /** True when the replica itself says so, or its service is brittle. */
  function isKept(replica: PlacedReplica): boolean {
    return isBrittle(replica.service) ||
      statements.find(replica, "brittle") !== undefined;
  }

  function shareOf(replica: PlacedReplica): Share {
    const key = incarnationHash(replica);
    const now = clock.monotonic();
    const known = shares.get(key);
    if (known === undefined) {
      if (shares.size >= MAX_SHARES) shares.clear();
      const start = hashToUnit(key);
      const share = {
        ...{ start, position: random(), factor: 1, at: now },
        pausedUntil: -Infinity,
      };
      shares.set(key, share);
      return share;
    }
    const recovered = (now - known.at) / RECOVERY_TIME;
    known.factor = Math.min(1, known.factor + recovered);
    known.at = now;
    return known;
  }

  /**
   * True for the given part of each rotation. The daemons are spread evenly over
   * it, so that those that have a place at one time add up to the places that
   * there are. The start differs between replicas.
   */
  function hasTurn(replica: PlacedReplica, part: number): boolean {
    const share = shareOf(replica);
    const position = groupOf(replica).position ?? share.position;
    const time = clock.now() / ROTATION_PERIOD;
    return (share.start + position + time) % 1 < part;
  }

  /** Places that this daemon may use, as a fraction as well. */
  function partOf(replica: PlacedReplica, factor: number): number {
    const { fraction, members, live } = groupOf(replica);
    const whole = Math.max(1, replica.slots) * fraction * factor;
    const all = Math.max(1, live, members);
    // Where places go round, rates show who has them and not who needs them.
    if (whole < all) return HANDOVER_SHARE * whole / all;
    // Asked in the settling time as well, so that a rise within it is noticed.
    const { own, peers } = rates(replica.id);
    const since = statements.find(replica, "brittle")?.since ?? Infinity;
    // The rates of the others are on their way.
    if (clock.monotonic() - since < SETTLING_TIME) return whole / all;
    const demand = own > 0 ? own / (own + peers) : 0;
    return whole *
      (EVEN_SHARE / all + (1 - EVEN_SHARE) * demand * live / all);
  }

  return new (class extends Places {
    override isBrittle = isBrittle;

    override hasRoom(replica: PlacedReplica): boolean {
      if (!isKept(replica)) return true;
      const { factor, pausedUntil } = shareOf(replica);
      if (clock.monotonic() < pausedUntil) return false;
      const part = partOf(replica, factor);
      const allowed = part < 1
        ? Number(hasTurn(replica, part))
        : Math.floor(part);
      return inFlight(replica.id) < allowed;
    }

    override recordRefusal(replica: PlacedReplica): void {
      if (!isKept(replica)) return;
      const share = shareOf(replica);
      share.factor = Math.max(MIN_FACTOR, share.factor * REFUSAL_FACTOR);
      share.pausedUntil = clock.monotonic() + REFUSAL_PAUSE;
    }
  })();
}
