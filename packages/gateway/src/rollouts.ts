/**
 * Brings replicas to the weight version that was named. One daemon does so at
 * a time, under a lease whose fencing token every order carries. An order
 * names the count of orders that the replica has accepted, so that an
 * unanswered order that is carried out late does nothing after a newer one.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  chooseNextLoads,
  type Replica,
  type ReplicaTable,
  type WeightTargets,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Lease } from "@peridotvalve/lease";
import type { Milliseconds } from "@peridotvalve/types";
import type { ReplicaControl } from "./replica_control.ts";

export interface RolloutOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly lease: Lease;
  readonly holder: string;
  readonly replicas: ReplicaTable;
  readonly weights: WeightTargets;
  readonly control: ReplicaControl;
  /** Bound for a named version to be in place everywhere. */
  readonly patience: Milliseconds;
  /** Orders of two daemons must be at least this far apart. */
  readonly handover: Milliseconds;
  /** Called when other replicas are about to be busy with a load. */
  readonly onLoading: () => void;
  /** False while this daemon is about to stop. */
  readonly mayContend: () => boolean;
}

export abstract class Rollouts {
  abstract run(signal: AbortSignal): Promise<void>;
  abstract isHolder(): boolean;
  /** Replicas that this daemon has load weights now. */
  abstract loading(): readonly string[];
}

/** Time between two looks at the versions of the replicas. */
const LOOK: Milliseconds = 150;

/** Daemons contend at different times, to spare calls to the store. */
const CONTEND_SPREAD: Milliseconds = 200;
const CONTEND_AGAIN: Milliseconds = 400;

const RENEWAL: Milliseconds = 300;

/** Time until a report shows an order that was accepted. */
const REPORT_LAG: Milliseconds = 350;
const BUSY_POLL: Milliseconds = 300;

const ANNOUNCEMENT: Milliseconds = 150;

/** A replica that has not loaded by then is left to a later look. */
const LONGEST_LOAD: Milliseconds = 6_000;

export function createRollouts(options: RolloutOptions): Rollouts {
  const { clock, logger, lease, replicas, weights, control } = options;
  const loading = new Set<string>();
  /** When the next loads of a model may start. */
  const paced = new Map<
    string,
    { readonly target: number; readonly next: Milliseconds }
  >();
  let lastOrder: Milliseconds = -Infinity;

  function behind(model: string): readonly Replica[] {
    const target = weights.target(model);
    return replicas.all().filter((replica) =>
      replica.entry.weights.has(model) && replica.entry.state === "ready" &&
      (replica.weights.get(model) ?? 0) < target
    );
  }

  const isNeeded = () =>
    weights.models().some((model) => behind(model).length > 0);

  /** Keeps the lease until the work is done and the next holder may order. */
  async function hold(signal: AbortSignal): Promise<void> {
    const token = lease.token();
    logger.log("lease_acquired", { lease: "rollouts", fence: token ?? 0 });
    let renewed = clock.monotonic();
    const isRecent = () =>
      clock.monotonic() - lastOrder < options.handover || loading.size > 0;
    while (!signal.aborted && lease.token() !== undefined) {
      if (!isNeeded() && !isRecent()) break;
      if (options.mayContend()) startLoads();
      await clock.sleep(LOOK, signal);
      if (clock.monotonic() - renewed < RENEWAL) continue;
      renewed = clock.monotonic();
      // Loads look at the token themselves and do not wait for a renewal.
      lease.renew().then((answer) => {
        if (answer.kind === "held") return;
        const reason = "reason" in answer ? answer.reason : answer.kind;
        logger.log("lease_lost", { lease: "rollouts", reason });
      });
    }
    if (lease.token() !== undefined && !isRecent()) await lease.release();
  }

  function startLoads(): void {
    for (const model of weights.models()) {
      const target = weights.target(model);
      const serving = replicas.all().filter(({ entry }) =>
        entry.weights.has(model)
      );
      const choice = chooseNextLoads(serving, {
        model,
        target,
        loading,
        age: weights.age(model),
        patience: options.patience,
      });
      const now = clock.monotonic();
      const pace = paced.get(model);
      if (pace?.target === target && now < pace.next) continue;
      if (choice.replicas.length === 0) continue;
      paced.set(model, { target, next: now + choice.pause });
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
    const end = clock.monotonic() + LONGEST_LOAD;
    // Peers hear that the replica is about to be busy before it is.
    await clock.sleep(ANNOUNCEMENT);
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
        await clock.sleep(BUSY_POLL);
        continue;
      }
      const { isBusy, orders, weights: present } = read.value;
      const version = present.get(model) ?? 0;
      replicas.recordWeights(id, model, version);
      if (version >= target) return;
      // The report may not show the order yet.
      if (isBusy || (ordered !== undefined && orders <= ordered)) {
        if (!isBusy) ordered = undefined;
        await clock.sleep(BUSY_POLL);
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
        replicas.recordWeights(id, model, target);
        return;
      }
      if (answer === "accepted") ordered = orders;
      if (answer === "misdirected" || answer === "rejected") return;
      await clock.sleep(REPORT_LAG);
    }
  }

  return new (class extends Rollouts {
    override async run(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        if (!isNeeded() || !options.mayContend()) {
          await clock.sleep(LOOK, signal);
          continue;
        }
        await clock.sleep(Math.random() * CONTEND_SPREAD, signal);
        const answer = await lease.acquire();
        if (answer.kind === "held") await hold(signal);
        else await clock.sleep(CONTEND_AGAIN, signal);
      }
    }

    override loading(): readonly string[] {
      return [...loading];
    }

    override isHolder(): boolean {
      return lease.token() !== undefined;
    }
  })();
}
