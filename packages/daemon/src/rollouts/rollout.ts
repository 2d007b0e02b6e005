/**
 * Rolls out the weights of one model group while this daemon holds the group's
 * lease: reads the load reports, commands replicas to load, and ends when all
 * replicas have the weights. Its state is rebuilt from the reports alone, so
 * that any daemon can continue a rollout that another one started.
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
  planLoads,
  type ReplicaView,
} from "./plan.ts";

/** Time between two rounds of reading the reports and commanding loads. */
const PLAN_INTERVAL: Milliseconds = 500;

/** Interval for replicas that already have the weights, to save traffic. */
const FULL_READ_INTERVAL: Milliseconds = 10_000;

const READ_TIMEOUT: Milliseconds = 900;

/**
 * Must be shorter than the margin of the lease, so that a command has ended
 * before another daemon can acquire the lease.
 */
const COMMAND_TIMEOUT: Milliseconds = 1_000;

/**
 * A command that no report shows within this time did not start a load. Reports
 * lag by up to a second, and a replica with waiting requests starts to load
 * late.
 */
const COMMAND_VISIBILITY_TIMEOUT: Milliseconds = 10_000;

/** After this time, reports show the commands of the previous lease holder. */
const TAKEOVER_DELAY: Milliseconds = 2_000;

export interface GroupRolloutOptions {
  readonly clock: Clock;
  readonly tracker: LoadTracker;
  readonly fleet: Fleet;
  readonly log: EventLogger["log"];
  /** The configured group; undefined when this system must not roll it out. */
  readonly group: () => ModelGroup | undefined;
}

interface LoadCommand {
  /** Monotonic time at which the command was sent. */
  readonly at: Milliseconds;
  readonly weights: string;
  /** True once a report has shown the load. */
  readonly wasLoading: boolean;
}

/**
 * Runs the rollout until all replicas have the weights, the tenure ends, or the
 * group is no longer rolled out by this system.
 */
export async function runRollout(
  name: string,
  tenure: LeaseTerm,
  options: GroupRolloutOptions,
): Promise<void> {
  const { clock, log } = options;
  const startedAt = clock.monotonic();
  const reader = createReportReader(name, options);
  const commands = new Map<string, LoadCommand>();
  let announcedWeights = "";
  let loggedPause = "";
  await clock.sleep(TAKEOVER_DELAY, tenure.signal);
  while (!tenure.signal.aborted) {
    const group = options.group();
    if (group === undefined) return;
    const { weights } = group;
    await reader.read(weights, commands);
    const views = reader.views(commands);
    updateCommands(views, commands, options);
    const plan = planLoads(group, reader.views(commands));
    if (plan.remaining > 0 && announcedWeights !== weights) {
      announcedWeights = weights;
      log("rollout_started", { group: name, weights, fence: tenure.token });
    }
    if (plan.remaining === 0) {
      const elapsed = clock.monotonic() - startedAt;
      if (announcedWeights !== "") {
        log("rollout_finished", { group: name, weights, elapsed });
      }
      return;
    }
    loggedPause = logPause(name, { plan, paused: loggedPause, log });
    await Promise.all(
      plan.orders.map((replica) => commandLoad(replica, weights)),
    );
    await clock.sleep(PLAN_INTERVAL, tenure.signal);
  }

  async function commandLoad(replica: string, weights: string): Promise<void> {
    // The lease may have been lost while the reports were read.
    if (!tenure.isHeld()) return;
    const found = options.fleet.find(replica);
    if (found === undefined) return;
    const fence = tenure.token;
    commands.set(replica, {
      at: clock.monotonic(),
      weights,
      wasLoading: false,
    });
    const answer = await found.engine.loadWeights(
      { version: weights, fence },
      COMMAND_TIMEOUT,
    );
    const subject = { upstream: replica };
    if (answer.kind === "not done") {
      commands.delete(replica);
      log("weights_refused", { weights, reason: answer.reason }, subject);
      return;
    }
    // If the response was lost, the load may have started and is counted.
    log("weights_commanded", { weights, fence }, subject);
  }
}

function logPause(
  group: string,
  { plan, paused, log }: {
    readonly plan: Plan;
    readonly paused: string;
    readonly log: EventLogger["log"];
  },
): string {
  const reason = plan.pauseReason ?? "";
  if (reason !== "" && reason !== paused) {
    log("rollout_paused", { group, reason });
  }
  return reason;
}

/** Removes commands that are complete, failed, or never started a load. */
function updateCommands(
  views: readonly ReplicaView[],
  commands: Map<string, LoadCommand>,
  { clock, log }: GroupRolloutOptions,
): void {
  for (const { name, report } of views) {
    const command = commands.get(name);
    if (command === undefined || report === undefined) continue;
    const elapsed = clock.monotonic() - command.at;
    const { weights } = command;
    if (report.state === "loading") {
      commands.set(name, { ...command, wasLoading: true });
    } else if (report.weights === weights) {
      commands.delete(name);
      log("weights_loaded", { weights, elapsed }, { upstream: name });
    } else if (command.wasLoading || elapsed > COMMAND_VISIBILITY_TIMEOUT) {
      // The load failed, or the command did not start one.
      commands.delete(name);
    }
  }
}

interface ReportReader {
  /**
   * Reads the reports that may have changed: those of replicas that need the
   * weights or were unreachable, and periodically those of all replicas.
   */
  read(
    weights: string,
    commands: ReadonlyMap<string, LoadCommand>,
  ): Promise<void>;
  views(commands: ReadonlyMap<string, LoadCommand>): readonly ReplicaView[];
}

function createReportReader(
  group: string,
  { clock, tracker, fleet }: GroupRolloutOptions,
): ReportReader {
  const reachable = new Map<string, boolean>();
  let fullReadAt = Number.NEGATIVE_INFINITY;

  const list = () => fleet.list().filter((one) => one.group === group);

  const reportOf = (name: string): LoadReport | undefined =>
    tracker.estimate(name).report;

  async function readOne(replica: Replica): Promise<void> {
    const report = await replica.engine.readLoad(READ_TIMEOUT);
    reachable.set(replica.name, report.isOk());
    if (report.isOk()) tracker.recordReport(replica.name, report.value);
  }

  function views(
    commands: ReadonlyMap<string, LoadCommand>,
  ): readonly ReplicaView[] {
    return list().map(({ name }) => ({
      name,
      report: reportOf(name),
      isReachable: reachable.get(name) ?? false,
      isCommanded: commands.has(name),
    }));
  }

  return {
    views,
    async read(weights, commands) {
      const isFull = clock.monotonic() - fullReadAt >= FULL_READ_INTERVAL;
      if (isFull) fullReadAt = clock.monotonic();
      const needing = new Set(
        views(commands).filter((view) => needsWeights(view, weights))
          .map((view) => view.name),
      );
      const due = list().filter(({ name }) =>
        isFull || needing.has(name) || reachable.get(name) !== true
      );
      await Promise.all(due.map(readOne));
    },
  };
}
