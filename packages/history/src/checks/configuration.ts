/**
 * Checks guarantee 9: an accepted configuration is in force at every daemon
 * within the target time and is never reverted, and of two operators who change
 * the same version concurrently only one succeeds.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import {
  type Call,
  callsOf,
  type FaultInterval,
  type History,
  type Violation,
} from "../history.ts";
import type { ChangeOperation, Observation } from "../records.ts";
import { groupBy } from "./orders.ts";

/** Propagation target of docs/design.md, section 2. */
export const CONFIGURATION_TARGET: Milliseconds = 5_000;

interface AcceptedChange {
  readonly call: Call<ChangeOperation>;
  readonly version: number;
  readonly at: Timestamp;
}

export function checkConfiguration(history: History): readonly Violation[] {
  const accepted = listAccepted(history);
  const byDaemon = groupBy(history.observations, ({ daemon }) => daemon);
  return [
    ...checkRaces(accepted),
    ...checkContents(history, accepted),
    ...checkChangeHistory(history, accepted),
    ...[...byDaemon.values()].flatMap((observed) =>
      checkVersionOrder(history, observed)
    ),
    ...accepted.flatMap((one) => checkInForce(history, byDaemon, one)),
  ];
}

function listAccepted(history: History): readonly AcceptedChange[] {
  return callsOf(history, "change").flatMap((call) => {
    const { outcome, end } = call;
    if (outcome?.type !== "changed" || end === undefined) return [];
    if (outcome.result !== "accepted" || outcome.version === null) return [];
    return [{ call, version: outcome.version, at: end }];
  });
}

function checkRaces(accepted: readonly AcceptedChange[]): readonly Violation[] {
  const races = groupBy(
    accepted,
    ({ call }) => String(call.operation.expect),
  );
  return [...races].flatMap(([expect, winners]) => {
    const changes = new Set(winners.map(({ call }) => call.operation.change));
    if (changes.size < 2) return [];
    return [{
      rule: "operators who raced from one version never both win",
      message: `from version ${expect}: ${[...changes].join(", ")}`,
    }];
  });
}

/** Checks that a version has the same change and content wherever it is seen. */
function checkContents(
  history: History,
  accepted: readonly AcceptedChange[],
): readonly Violation[] {
  const known = new Map<number, string>();
  for (const { version, call } of accepted) {
    const { change, marker } = call.operation;
    known.set(version, `${change} (${marker})`);
  }
  return history.observations.flatMap(({ daemon, version, change, marker }) => {
    const seen = `${change} (${marker})`;
    const first = known.get(version) ?? seen;
    known.set(version, first);
    if (first === seen) return [];
    return [{
      rule: "a version has one content",
      message: `version ${version} is ${first} and at ${daemon} ${seen}`,
    }];
  });
}

function checkChangeHistory(
  { configuration }: History,
  accepted: readonly AcceptedChange[],
): readonly Violation[] {
  if (configuration === undefined) return [];
  const changes = new Map(
    configuration.entries.map(({ version, change }) => [version, change]),
  );
  return accepted.filter(({ version, call }) =>
    changes.get(version) !== call.operation.change
  ).map(({ version, call }) => ({
    rule: "an accepted change stays in the history",
    message: `version ${version} was accepted as ${call.operation.change} ` +
      `and the history has ${changes.get(version) ?? "nothing"}`,
  }));
}

/**
 * Checks that the version at a daemon never decreases, not even across a
 * restart while a source of the version is reachable.
 */
function checkVersionOrder(
  history: History,
  observed: readonly Observation[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const sorted = [...observed].sort((left, right) => left.sent - right.sent);
  let highest: Observation | undefined;
  for (const next of sorted) {
    const floor = highest === undefined
      ? -1
      : highest.incarnation === next.incarnation
      ? highest.received < next.sent ? highest.version : -1
      : floorAfterRestart(history, highest, next);
    if (next.version < floor) {
      violations.push({
        rule: "versions at a daemon never fall",
        message: `${next.daemon} had ${highest?.version}, then ${next.version}`,
      });
    }
    // Restarts begin a new sequence, so that one decrease is reported only once.
    const isNew = highest?.incarnation !== next.incarnation;
    if (isNew || next.version >= (highest?.version ?? -1)) highest = next;
  }
  return violations;
}

/**
 * Returns the lowest version that a restarted daemon may have: its own last
 * version when the platform was reachable, otherwise the newest version of the
 * peers that ran undisturbed.
 */
function floorAfterRestart(
  history: History,
  before: Observation,
  after: Observation,
): number {
  const downtime = { begin: before.received, end: after.received };
  const { daemon } = before;
  const sources = [daemon, "platform", platformLinkOf(daemon)];
  if (isUndisturbed(history, sources, downtime, true)) return before.version;
  const peers = history.observations.filter((one) =>
    one.daemon !== before.daemon && one.received < downtime.begin &&
    isUndisturbed(history, [one.daemon], {
      begin: one.received,
      end: downtime.end,
    })
  );
  return Math.max(-1, ...peers.map(({ version }) => version));
}

interface Interval {
  readonly begin: Timestamp;
  readonly end: Timestamp;
}

function affects(fault: FaultInterval, targets: readonly string[]) {
  return targets.includes(fault.target);
}

/** Whether no fault affected the targets in the interval. */
function isUndisturbed(
  history: History,
  targets: readonly string[],
  { begin, end }: Interval,
  exceptRestarts = false,
): boolean {
  return !history.faults.some((one) =>
    affects(one, targets) && one.begin <= end && one.end > begin &&
    !(exceptRestarts && isRestart(one))
  );
}

function isRestart({ fault }: FaultInterval): boolean {
  return fault === "daemon killed" || fault === "daemon stopped";
}

/**
 * Checks that an observation sent later than the target time shows the version.
 * The target time starts at the acceptance, or at the first moment from which
 * the daemon and a source of the version run undisturbed.
 */
function checkInForce(
  history: History,
  byDaemon: ReadonlyMap<string, readonly Observation[]>,
  accepted: AcceptedChange,
): readonly Violation[] {
  return [...byDaemon].flatMap(([daemon, observed]) => {
    const start = findDeadlineStart(history, daemon, accepted);
    const late = observed.find(({ sent, received, version }) =>
      sent > start + CONFIGURATION_TARGET && version < accepted.version &&
      isUndisturbed(history, [daemon], { begin: start, end: received })
    );
    if (late === undefined) return [];
    return [{
      rule: "an accepted configuration is in force everywhere within 5 s",
      message: `${daemon} had version ${late.version} ` +
        `${late.sent - start} ms after version ${accepted.version} became ` +
        "available",
    }];
  });
}

function findDeadlineStart(
  history: History,
  daemon: string,
  { version, at }: AcceptedChange,
): Timestamp {
  const platform = ["platform", platformLinkOf(daemon)];
  const fromPlatform = findUndisturbedStart(history, [daemon, ...platform], at);
  const source = history.observations.find((one) =>
    one.daemon !== daemon && one.version >= version && one.received >= at &&
    isUndisturbed(history, [daemon, one.daemon], {
      begin: one.received,
      end: one.received + CONFIGURATION_TARGET,
    })
  );
  const fromPeer = source?.received ?? Number.POSITIVE_INFINITY;
  return Math.min(fromPlatform, fromPeer);
}

/** Returns the fault target for the link between a daemon and the platform. */
export function platformLinkOf(daemon: string): string {
  return `platform of ${daemon}`;
}

/**
 * Returns the first time from which no fault affects the targets for the length
 * of the configuration target; infinite when there is none.
 */
function findUndisturbedStart(
  history: History,
  targets: readonly string[],
  from: Timestamp,
): Timestamp {
  let start = from;
  for (;;) {
    const end = start + CONFIGURATION_TARGET;
    const blocking = history.faults.filter((one) =>
      affects(one, targets) && one.begin <= end && one.end > start
    );
    if (blocking.length === 0) return start;
    start = Math.max(...blocking.map((one) => one.end));
    if (start === Number.POSITIVE_INFINITY) return start;
  }
}
