/**
 * Guarantee 9: an accepted configuration is in force everywhere within the
 * target and never reverts, and of two operators who raced one wins.
 */
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import {
  type Call,
  callsOf,
  type Disturbance,
  type History,
  type Violation,
} from "../history.ts";
import type { ChangeOperation, Observed } from "../records.ts";
import { groupBy } from "./orders.ts";

/** Target of docs/design.md, section 2. */
export const CONFIGURATION_TARGET: Milliseconds = 5_000;

interface Accepted {
  readonly call: Call<ChangeOperation>;
  readonly version: number;
  readonly at: Timestamp;
}

export function checkConfiguration(history: History): readonly Violation[] {
  const accepted = listAccepted(history);
  const byDaemon = groupBy(history.observed, ({ daemon }) => daemon);
  return [
    ...checkRaces(accepted),
    ...checkContents(history, accepted),
    ...checkRecord(history, accepted),
    ...[...byDaemon.values()].flatMap((observed) =>
      checkOrder(history, observed)
    ),
    ...accepted.flatMap((one) => checkInForce(history, byDaemon, one)),
  ];
}

function listAccepted(history: History): readonly Accepted[] {
  return callsOf(history, "change").flatMap((call) => {
    const { outcome, end } = call;
    if (outcome?.type !== "changed" || end === undefined) return [];
    if (outcome.result !== "accepted" || outcome.version === null) return [];
    return [{ call, version: outcome.version, at: end }];
  });
}

function checkRaces(accepted: readonly Accepted[]): readonly Violation[] {
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

/** A version has one change and one content wherever it is seen. */
function checkContents(
  history: History,
  accepted: readonly Accepted[],
): readonly Violation[] {
  const known = new Map<number, string>();
  for (const { version, call } of accepted) {
    const { change, marker } = call.operation;
    known.set(version, `${change} (${marker})`);
  }
  return history.observed.flatMap(({ daemon, version, change, marker }) => {
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

function checkRecord(
  { configuration }: History,
  accepted: readonly Accepted[],
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

/** Versions never fall, also over a restart while a source is reachable. */
function checkOrder(
  history: History,
  observed: readonly Observed[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const sorted = [...observed].sort((left, right) => left.sent - right.sent);
  let highest: Observed | undefined;
  for (const now of sorted) {
    const floor = highest === undefined
      ? -1
      : highest.incarnation === now.incarnation
      ? highest.received < now.sent ? highest.version : -1
      : floorAfterRestart(history, highest, now);
    if (now.version < floor) {
      violations.push({
        rule: "versions at a daemon never fall",
        message: `${now.daemon} had ${highest?.version}, then ${now.version}`,
      });
    }
    // A restart starts a new sequence, so that one fall is reported once.
    const isNew = highest?.incarnation !== now.incarnation;
    if (isNew || now.version >= (highest?.version ?? -1)) highest = now;
  }
  return violations;
}

/**
 * The lowest version that a restarted daemon may have: its own last one when
 * the platform could be reached, otherwise the newest that a peer had.
 */
function floorAfterRestart(
  history: History,
  before: Observed,
  after: Observed,
): number {
  const downtime = { begin: before.received, end: after.received };
  const { daemon } = before;
  const sources = [daemon, "platform", cutOf(daemon)];
  if (isUndisturbed(history, sources, downtime, true)) return before.version;
  const peers = history.observed.filter((one) =>
    one.daemon !== before.daemon && one.received < downtime.begin &&
    isUndisturbed(history, [one.daemon], {
      begin: one.received,
      end: downtime.end,
    })
  );
  return Math.max(-1, ...peers.map(({ version }) => version));
}

interface Span {
  readonly begin: Timestamp;
  readonly end: Timestamp;
}

function touches(disturbance: Disturbance, targets: readonly string[]) {
  return targets.includes(disturbance.target);
}

/** Whether nothing disturbed the targets in the span. */
function isUndisturbed(
  history: History,
  targets: readonly string[],
  { begin, end }: Span,
  exceptRestarts = false,
): boolean {
  return !history.disturbances.some((one) =>
    touches(one, targets) && one.begin <= end && one.end > begin &&
    !(exceptRestarts && isRestart(one))
  );
}

function isRestart({ fault }: Disturbance): boolean {
  return fault === "daemon killed" || fault === "daemon stopped";
}

/**
 * An observation that was sent more than the target after the version could
 * be had must show it. The clock starts at the acceptance, or at the first
 * moment from which the daemon and a source of the version run undisturbed.
 */
function checkInForce(
  history: History,
  byDaemon: ReadonlyMap<string, readonly Observed[]>,
  accepted: Accepted,
): readonly Violation[] {
  return [...byDaemon].flatMap(([daemon, observed]) => {
    const start = findClockStart(history, daemon, accepted);
    const late = observed.find(({ sent, received, version }) =>
      sent > start + CONFIGURATION_TARGET && version < accepted.version &&
      isUndisturbed(history, [daemon], { begin: start, end: received })
    );
    if (late === undefined) return [];
    return [{
      rule: "an accepted configuration is in force everywhere within 5 s",
      message: `${daemon} had version ${late.version} ` +
        `${late.sent - start} ms after version ${accepted.version} could ` +
        "be had",
    }];
  });
}

function findClockStart(
  history: History,
  daemon: string,
  { version, at }: Accepted,
): Timestamp {
  const platform = ["platform", cutOf(daemon)];
  const fromPlatform = findCalm(history, [daemon, ...platform], at);
  const source = history.observed.find((one) =>
    one.daemon !== daemon && one.version >= version && one.received >= at &&
    isUndisturbed(history, [daemon, one.daemon], {
      begin: one.received,
      end: one.received + CONFIGURATION_TARGET,
    })
  );
  const fromPeer = source?.received ?? Number.POSITIVE_INFINITY;
  return Math.min(fromPlatform, fromPeer);
}

/** The target of the fault that cuts a daemon off the platform. */
export function cutOf(daemon: string): string {
  return `platform of ${daemon}`;
}

/** The first time from which the targets are undisturbed for the target. */
function findCalm(
  history: History,
  targets: readonly string[],
  from: Timestamp,
): Timestamp {
  let start = from;
  for (;;) {
    const end = start + CONFIGURATION_TARGET;
    const blocking = history.disturbances.filter((one) =>
      touches(one, targets) && one.begin <= end && one.end > start
    );
    if (blocking.length === 0) return start;
    start = Math.max(...blocking.map((one) => one.end));
    if (start === Number.POSITIVE_INFINITY) return start;
  }
}
