/**
 * Brings replicas to the named weight version. One daemon does so at a time,
 * under a lease whose fencing token is part of every order. An order states the
 * number of orders that the replica has accepted, so an unanswered order that
 * arrives late has no effect after a newer one.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  planWeightLoads,
  type Replica,
  type ReplicaTable,
  type WeightTargets,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Lease } from "@peridotvalve/lease";
import type { Milliseconds } from "@peridotvalve/types";
import type { LoadedWeights } from "./peer_digest.ts";
import type { ReplicaControl } from "./replica_control.ts";

export interface RolloutOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly lease: Lease;
  readonly holder: string;
  readonly replicas: ReplicaTable;
  readonly weights: WeightTargets;
  readonly control: ReplicaControl;
  /** Time within which every replica must have loaded a named version. */
  readonly patience: () => Milliseconds;
  /** Minimum time between the orders of two daemons. */
  readonly handoverDelay: Milliseconds;
  /** Called when the set of loading replicas is about to grow. */
  readonly onLoading: () => void;
  /**
   * Place of this daemon among those that may do the rollout; 0 goes first. The
   * others wait, so that a large fleet does not contend for the lease.
   */
  readonly rank: () => number;
  /** Returns false while this daemon is stopping. */
  readonly mayContend: () => boolean;
}

export abstract class Rollouts {
  abstract run(signal: AbortSignal): Promise<void>;
  abstract isHolder(): boolean;
  /** Ids of the replicas that load weights on this daemon's order. */
  abstract loading(): readonly string[];
  /**
   * Takes some loads that have ended, for the peers. Each is taken
   * `TOLD_ROUNDS` times.
   */
  abstract takeLoaded(): readonly LoadedWeights[];
}

/** Interval between checks of the replicas' versions. */
const CHECK_PERIOD: Milliseconds = 150;

/**
 * Spreads the daemons' attempts to acquire the lease, which saves calls to the
 * store.
 */
const CONTEND_JITTER: Milliseconds = 200;
const CONTEND_RETRY_DELAY: Milliseconds = 400;

/** Time for which a rollout has to be needed before the next rank contends. */
const RANK_DELAY: Milliseconds = 1_500;

const RENEWAL_PERIOD: Milliseconds = 300;

/** Delay until a report shows an accepted order. */
const REPORT_LAG: Milliseconds = 350;
const BUSY_POLL_PERIOD: Milliseconds = 300;

const ANNOUNCEMENT_DELAY: Milliseconds = 150;

/** Time after which an unfinished load is left to a later check. */
const LOAD_TIMEOUT: Milliseconds = 6_000;

/** Times that peers are told of a load, as datagrams can be lost. */
const TOLD_ROUNDS = 4;

/** Loads that fit beside the other contents of a heartbeat. */
const MAX_TOLD_LOADS = 8;

export function createRollouts(options: RolloutOptions): Rollouts {
  const { clock, logger, lease, replicas, weights, control } = options;
  const loading = new Set<string>();
  /** Loads that peers are told of, by replica, the one told last at the end. */
  const told = new Map<
    string,
    { readonly load: LoadedWeights; readonly roundsLeft: number }
  >();
  /** Time at which the next loads of a model may start, by model. */
  const nextLoads = new Map<
    string,
    { readonly target: number; readonly next: Milliseconds }
  >();
  let lastOrder: Milliseconds = -Infinity;

  function outdatedReplicas(model: string): readonly Replica[] {
    const target = weights.target(model);
    return replicas.all().filter((replica) =>
      replica.entry.weights.has(model) && replica.entry.state === "ready" &&
      (replica.weights.get(model) ?? 0) < target
    );
  }

  const isNeeded = () =>
    weights.models().some((model) => outdatedReplicas(model).length > 0);

  /**
   * Keeps the lease until no load is needed and the next holder may send
   * orders.
   */
  async function holdLease(signal: AbortSignal): Promise<void> {
    const token = lease.token();
    logger.log("lease_acquired", { lease: "rollouts", fence: token ?? 0 });
    let renewed = clock.monotonic();
    const isRecent = () =>
      clock.monotonic() - lastOrder < options.handoverDelay || loading.size > 0;
    while (!signal.aborted && lease.token() !== undefined) {
      if (!isNeeded() && !isRecent()) break;
      if (options.mayContend()) startLoads();
      await clock.sleep(CHECK_PERIOD, signal);
      if (clock.monotonic() - renewed < RENEWAL_PERIOD) continue;
      renewed = clock.monotonic();
      // Loads check the token themselves and do not wait for a renewal.
      lease.renew().then((answer) => {
        if (answer.kind === "held") return;
        const reason = "reason" in answer ? answer.reason : answer.kind;
        logger.log("lease_lost", { lease: "rollouts", reason });
      });
    }
    if (lease.token() !== undefined && !isRecent()) await lease.release();
  }

  function recordLoaded(load: LoadedWeights): void {
    replicas.recordWeights(load.replica, load.model, load.version);
    told.set(load.replica, { load, roundsLeft: TOLD_ROUNDS });
  }

  function startLoads(): void {
    for (const model of weights.models()) {
      const target = weights.target(model);
      const serving = replicas.all().filter(({ entry }) =>
        entry.weights.has(model)
      );
      const choice = planWeightLoads(serving, {
        model,
        target,
        loading,
        age: weights.age(model),
        patience: options.patience(),
      });
      const now = clock.monotonic();
      const pace = nextLoads.get(model);
      if (pace?.target === target && now < pace.next) continue;
      if (choice.replicas.length === 0) continue;
      nextLoads.set(model, { target, next: now + choice.pause });
      for (const replica of choice.replicas) {
        const { id } = replica.entry;
        loading.add(id);
        options.onLoading();
        load(replica, model, target).catch((error: unknown) => {
          logger.log("handler_failed", { reason: String(error) });
        }).finally(() => loading.delete(id));
      }
    }
  }

  async function load(
    replica: Replica,
    model: string,
    target: number,
  ): Promise<void> {
    const { id } = replica.entry;
    const end = clock.monotonic() + LOAD_TIMEOUT;
    // Announce the load to peers before the replica is busy.
    await clock.sleep(ANNOUNCEMENT_DELAY);
    let ordered: number | undefined;
    while (clock.monotonic() < end && weights.target(model) === target) {
      if (lease.token() === undefined || replicas.find(id) === undefined) {
        return;
      }
      const read = await control.report(replica);
      if (read.isErr()) {
        logger.log("weights_refused", {
          weights: `${model}@${target}`,
          reason: read.error.reason,
        }, { upstream: id });
        await clock.sleep(BUSY_POLL_PERIOD);
        continue;
      }
      const { isBusy, orders, weights: present } = read.value;
      const version = present.get(model) ?? 0;
      replicas.recordWeights(id, model, version);
      if (version >= target) {
        return recordLoaded({ replica: id, model, version });
      }
      // The report may not show the accepted order yet.
      if (isBusy || (ordered !== undefined && orders <= ordered)) {
        if (!isBusy) ordered = undefined;
        await clock.sleep(BUSY_POLL_PERIOD);
        continue;
      }
      const fence = lease.token();
      if (fence === undefined || !options.mayContend()) return;
      lastOrder = clock.monotonic();
      const answer = await control.order(replica, {
        model,
        version: target,
        holder: options.holder,
        fence,
        expectedOrders: orders,
      });
      logger.log("weights_ordered", {
        model,
        version: target,
        fence,
        orders,
        answer,
      }, { upstream: id });
      if (answer === "already holds") {
        return recordLoaded({ replica: id, model, version: target });
      }
      if (answer === "accepted") ordered = orders;
      if (answer === "misdirected" || answer === "rejected") return;
      await clock.sleep(REPORT_LAG);
    }
  }

  return new (class extends Rollouts {
    override async run(signal: AbortSignal): Promise<void> {
      let neededSince: Milliseconds | undefined;
      while (!signal.aborted) {
        if (!isNeeded() || !options.mayContend()) {
          neededSince = undefined;
          await clock.sleep(CHECK_PERIOD, signal);
          continue;
        }
        neededSince ??= clock.monotonic();
        const delay = options.rank() * RANK_DELAY;
        if (clock.monotonic() - neededSince < delay) {
          await clock.sleep(CHECK_PERIOD, signal);
          continue;
        }
        await clock.sleep(Math.random() * CONTEND_JITTER, signal);
        const answer = await lease.acquire();
        if (answer.kind === "held") await holdLease(signal);
        else await clock.sleep(CONTEND_RETRY_DELAY, signal);
      }
    }

    override loading(): readonly string[] {
      return [...loading];
    }

    override takeLoaded(): readonly LoadedWeights[] {
      const taken = [...told].slice(0, MAX_TOLD_LOADS);
      for (const [id, { load, roundsLeft }] of taken) {
        told.delete(id);
        if (roundsLeft > 1) told.set(id, { load, roundsLeft: roundsLeft - 1 });
      }
      return taken.map(([, { load }]) => load);
    }

    override isHolder(): boolean {
      return lease.token() !== undefined;
    }
  })();
}
