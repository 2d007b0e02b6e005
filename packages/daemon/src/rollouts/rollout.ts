/**
 * One tenure of a group's rollout: reads the replicas, tells some to load, and
 * ends when all have the weights or none can be told. It starts from nothing
 * but the reports, so any daemon can go on where another stopped.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { LoadTracker } from "@peridotvalve/load";
import type { LeaseTerm } from "@peridotvalve/lease";
import type { LoadReport, Milliseconds, ModelGroup } from "@peridotvalve/types";
import type { Fleet } from "../fleet/fleet.ts";
import type { Replica } from "../fleet/replica.ts";
import {
  needsWeights,
  type Plan,
  planOrders,
  type ReplicaView,
} from "./plan.ts";

/** Pause between two looks at the replicas. */
const STEP_INTERVAL: Milliseconds = 500;

/** Replicas that need nothing are read this seldom, to save bytes. */
const FULL_READ_INTERVAL: Milliseconds = 10_000;

const READ_TIMEOUT: Milliseconds = 900;

/**
 * An order must have ended before the lease's margin has, so that it is never
 * sent by a holder that is no longer one.
 */
const ORDER_TIMEOUT: Milliseconds = 1_000;

/**
 * Time after which a report must show an order that started a load. Reports
 * lag by up to a second; loads of waiting replicas start late.
 */
const ORDER_VISIBLE_AFTER: Milliseconds = 10_000;

/** Orders of the former holder show in the reports after this time. */
const SETTLING_TIME: Milliseconds = 2_000;

export interface RolloutParts {
  readonly clock: Clock;
  readonly board: LoadTracker;
  readonly fleet: Fleet;
  readonly log: EventLogger["log"];
  /** The group in force; undefined while it is not to be rolled out here. */
  readonly group: () => ModelGroup | undefined;
}

interface Order {
  readonly at: Milliseconds;
  readonly weights: string;
  /** The load was seen in a report. */
  readonly wasLoading: boolean;
}

export async function runRollout(
  name: string,
  tenure: LeaseTerm,
  parts: RolloutParts,
): Promise<void> {
  const { clock, log } = parts;
  const begun = clock.monotonic();
  const reader = createReader(name, parts);
  const orders = new Map<string, Order>();
  let announced = "";
  let paused = "";
  await clock.sleep(SETTLING_TIME, tenure.signal);
  while (!tenure.signal.aborted) {
    const group = parts.group();
    if (group === undefined) return;
    const { weights } = group;
    await reader.read(weights, orders);
    const views = reader.views(orders);
    noteOrders(views, orders, parts);
    const plan = planOrders(group, reader.views(orders));
    if (plan.remaining > 0 && announced !== weights) {
      announced = weights;
      log("rollout_started", { group: name, weights, fence: tenure.token });
    }
    if (plan.remaining === 0) {
      const elapsed = clock.monotonic() - begun;
      if (announced !== "") {
        log("rollout_finished", { group: name, weights, elapsed });
      }
      return;
    }
    paused = notePause(name, { plan, paused, log });
    await Promise.all(plan.orders.map((replica) => tell(replica, weights)));
    await clock.sleep(STEP_INTERVAL, tenure.signal);
  }

  async function tell(replica: string, weights: string): Promise<void> {
    // Reading the replicas took time in which the lease can have ended.
    if (tenure.signal.aborted) return;
    const found = parts.fleet.find(replica);
    if (found === undefined) return;
    const fence = tenure.token;
    orders.set(replica, { at: clock.monotonic(), weights, wasLoading: false });
    const answer = await found.engine.loadWeights(
      { version: weights, fence },
      ORDER_TIMEOUT,
    );
    const subject = { upstream: replica };
    if (answer.kind === "not done") {
      orders.delete(replica);
      log("weights_refused", { weights, reason: answer.reason }, subject);
      return;
    }
    // With a lost answer the load may have started and counts as such.
    log("weights_commanded", { weights, fence }, subject);
  }
}

function notePause(
  group: string,
  { plan, paused, log }: {
    readonly plan: Plan;
    readonly paused: string;
    readonly log: EventLogger["log"];
  },
): string {
  const reason = plan.obstacle ?? "";
  if (reason !== "" && reason !== paused) {
    log("rollout_paused", { group, reason });
  }
  return reason;
}

/** Forgets the orders that reports show as done or that never showed. */
function noteOrders(
  views: readonly ReplicaView[],
  orders: Map<string, Order>,
  { clock, log }: RolloutParts,
): void {
  for (const { name, report } of views) {
    const order = orders.get(name);
    if (order === undefined || report === undefined) continue;
    const elapsed = clock.monotonic() - order.at;
    const { weights } = order;
    if (report.state === "loading") {
      orders.set(name, { ...order, wasLoading: true });
    } else if (report.weights === weights) {
      orders.delete(name);
      log("weights_loaded", { weights, elapsed }, { upstream: name });
    } else if (order.wasLoading || elapsed > ORDER_VISIBLE_AFTER) {
      // The load failed, or the order did not start one.
      orders.delete(name);
    }
  }
}

interface Reader {
  /** Reads the replicas that the plan depends on. */
  read(weights: string, orders: ReadonlyMap<string, Order>): Promise<void>;
  views(orders: ReadonlyMap<string, Order>): readonly ReplicaView[];
}

function createReader(
  group: string,
  { clock, board, fleet }: RolloutParts,
): Reader {
  const reachable = new Map<string, boolean>();
  let fullReadAt = Number.NEGATIVE_INFINITY;

  const list = () => fleet.list().filter((one) => one.group === group);

  const reportOf = (name: string): LoadReport | undefined =>
    board.estimate(name).report;

  async function readOne(replica: Replica): Promise<void> {
    const report = await replica.engine.readLoad(READ_TIMEOUT);
    reachable.set(replica.name, report.isOk());
    if (report.isOk()) board.recordReport(replica.name, report.value);
  }

  function views(orders: ReadonlyMap<string, Order>): readonly ReplicaView[] {
    return list().map(({ name }) => ({
      name,
      report: reportOf(name),
      isReachable: reachable.get(name) ?? false,
      isOrdered: orders.has(name),
    }));
  }

  return {
    views,
    async read(weights, orders) {
      const isFull = clock.monotonic() - fullReadAt >= FULL_READ_INTERVAL;
      if (isFull) fullReadAt = clock.monotonic();
      const needing = new Set(
        views(orders).filter((view) => needsWeights(view, weights))
          .map((view) => view.name),
      );
      const due = list().filter(({ name }) =>
        isFull || needing.has(name) || reachable.get(name) !== true
      );
      await Promise.all(due.map(readOne));
    },
  };
}
