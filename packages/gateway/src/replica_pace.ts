/**
 * The pace that this daemon keeps towards replicas: what they say of themselves,
 * limits, places, times in which they want no requests, and which are cold.
 */
import {
  type ColdReplicas,
  type ColdTraits,
  createColdReplicas,
  createLimits,
  createPlaces,
  createPushback,
  createStatements,
  DEFAULT_TOLERANCE,
  divideLimit,
  type FleetPosition,
  type Limits,
  type Neighborhood,
  type Places,
  type Pushback,
  type Statements,
  type Tolerance,
} from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import type { ReplicaEntry, ReplicaTable } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { LoadView } from "@peridotvalve/load";
import type { ReplicaLimit } from "./meters.ts";

export interface ReplicaPaceOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly load: LoadView;
  readonly replicas: ReplicaTable;
  readonly neighborhood: () => Neighborhood;
  /** Undefined while the daemons of the fleet are not known. */
  readonly position: () => FleetPosition | undefined;
  readonly tolerance: () => Tolerance | undefined;
  /** Undefined when replicas of the service are never cold. */
  readonly coldTraitsOf: (service: string) => ColdTraits | undefined;
  /** Tells the peers without waiting for the next round. */
  readonly announce: () => void;
}

export interface ReplicaPace {
  readonly statements: Statements;
  readonly pushback: Pushback;
  readonly coldReplicas: ColdReplicas;
  readonly limits: Limits;
  readonly places: Places;
  /** Returns false while the replica takes no further request. */
  readonly hasRoom: (replica: ReplicaEntry) => boolean;
  /** Returns true when the daemons divide what it takes by their rates. */
  readonly sharesRate: (id: string) => boolean;
  readonly listLimits: () => readonly ReplicaLimit[];
  /** Service of each cold replica. */
  readonly listCold: () => readonly string[];
}

export function createReplicaPace(options: ReplicaPaceOptions): ReplicaPace {
  const { clock, logger, load, replicas, announce } = options;
  const statements = createStatements({
    clock,
    listed: () => replicas.all().map(({ entry }) => entry),
    onChange({ id }, kind, value) {
      const isInForce = value !== undefined;
      const fields = { kind, value: value ?? 0, isInForce };
      logger.log("replica_statement", fields, { upstream: id });
      announce();
    },
    onRejected({ id }, reason) {
      logger.log("statement_rejected", { reason }, { upstream: id });
    },
  });
  const pushback = createPushback({
    clock,
    onBegin({ id }, delay) {
      logger.log("replica_pushback", { delay }, { upstream: id });
    },
  });
  const coldReplicas = createColdReplicas({
    clock,
    statements,
    traitsOf: options.coldTraitsOf,
    onCold({ id, service = "" }, { reason, rate, until }) {
      const remaining = Math.round(until - clock.monotonic());
      const fields = { service, reason, rate, remaining };
      logger.log("replica_cold", fields, { upstream: id });
    },
    onWarm({ id, service = "" }, elapsed) {
      logger.log("replica_warm", { service, elapsed }, { upstream: id });
    },
    onSuspect({ id, service = "" }, silence) {
      logger.log("replica_suspected", { service, silence }, { upstream: id });
      announce();
    },
  });
  const shared = {
    ...{ clock, statements },
    rates: (id: string) => load.rates(id),
    groupOf: (replica: { readonly id: string; readonly zone: string }) =>
      divideLimit(replica, options.neighborhood()),
  };
  const limits = createLimits({
    ...shared,
    // A request may have been placed on an earlier incarnation.
    coldness: (replica) =>
      coldReplicas.find(replicas.find(replica.id)?.entry ?? replica),
    position: options.position,
    tolerance: () => options.tolerance() ?? DEFAULT_TOLERANCE,
  });
  const places = createPlaces({
    ...shared,
    replicasOf: (service) =>
      replicas.all().map(({ entry }) => entry)
        .filter((entry) => entry.service === service),
    inFlight: (id) => load.localLoad(id).requests,
  });

  return {
    ...{ statements, pushback, coldReplicas, limits, places },
    hasRoom: (replica) =>
      !pushback.isActive(replica) && limits.hasRoom(replica) &&
      places.hasRoom(replica),
    sharesRate(id) {
      const replica = replicas.find(id);
      return replica !== undefined &&
        (statements.find(replica.entry, "limit") !== undefined ||
          places.isBrittle(replica.entry.service));
    },
    listLimits: () =>
      replicas.all().flatMap(({ entry }) => {
        const limit = statements.find(entry, "limit")?.value;
        return limit === undefined ? [] : [{ service: entry.service, limit }];
      }),
    listCold: () =>
      replicas.all().map(({ entry }) => entry)
        .filter((entry) => coldReplicas.find(entry) !== undefined)
        .map(({ service }) => service),
  };
}
