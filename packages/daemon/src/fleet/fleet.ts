/**
 * The replicas of the current configuration and their state as this daemon sees
 * it from load reports, peers, the platform's VM list and its own streams.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { LoadTracker } from "@peridotvalve/load";
import type { ListedVm } from "@peridotvalve/tables";
import type { Candidate, SlownessDetector } from "@peridotvalve/routing";
import type {
  Configuration,
  GenerationEvent,
  Milliseconds,
  ModelGroup,
  Tokens,
} from "@peridotvalve/types";
import type { AttemptFailure } from "@peridotvalve/upstreams";
import { createReplica, type Replica } from "./replica.ts";
import { createTokenGaps } from "./token_gaps.ts";

/** Interval at which a removed replica is checked for open streams. */
const IDLE_CHECK_INTERVAL: Milliseconds = 500;

/** Consecutive missed reports after which a replica is considered dead. */
const MAXIMUM_MISSED_REPORTS = 4;

/** Timeout of the load report that `confirm` reads after a pause. */
const CONFIRMATION_TIMEOUT: Milliseconds = 500;

/** Interval between reports of replicas in this daemon's availability zone. */
const REPORT_INTERVAL: Milliseconds = 1_000;

/**
 * Replicas in other availability zones are polled once in this many periods.
 */
export const REMOTE_REPORT_PERIODS = 8;

/** An attempt that is in progress on a replica. */
export interface Dispatch {
  /** Must be called when the attempt has ended. */
  end(): void;
  /** Must be called for each token. */
  readonly sampleGap: () => void;
}

export interface EventTiming {
  /** Monotonic time at which the attempt started. */
  readonly startedAt: Milliseconds;
  /** Expected time to first token. */
  readonly expected: Milliseconds;
  /** `sampleGap` of the attempt's `Dispatch`. */
  readonly sampleGap: () => void;
}

export interface LateFirstToken {
  /** Time waited so far. */
  readonly gap: Milliseconds;
  /** Expected time to first token. */
  readonly expected: Milliseconds;
}

export interface DispatchedAttempt {
  readonly attempt: string;
  readonly tokens: Tokens;
}

export interface Fleet {
  /**
   * Adds and removes replicas as configured. The connections of a removed
   * replica are closed once its streams have ended.
   */
  apply(configuration: Configuration): void;
  /**
   * Replicas of a model group for placement; includes those that are not ready.
   */
  candidates(group: string): readonly Candidate[];
  find(replica: string): Replica | undefined;
  list(): readonly Replica[];
  readyCount(group: string): number;
  /**
   * Resolves with true when the replica may receive work now. After a pause of
   * this process, first reads a new load report from the replica. A replica
   * that does not answer is accepted unless it is already known to be leaving.
   */
  confirm(replica: Replica): Promise<boolean>;
  /**
   * Returns true when this process has not been paused since a monotonic time.
   */
  wasRunningSince(time: Milliseconds): boolean;
  /** Records that an attempt is being sent to a replica. */
  startDispatch(replica: Replica, work: DispatchedAttempt): Dispatch;
  /** Updates the state of a replica from an event of one of its streams. */
  recordEvent(
    replica: Replica,
    event: GenerationEvent,
    observed: EventTiming,
  ): void;
  /** Records that a stream is still waiting for its first token. */
  recordLateFirstToken(replica: Replica, late: LateFirstToken): void;
  recordFailure(replica: Replica, failure: AttemptFailure): void;
  /** Records that a peer announced that an incarnation is leaving. */
  recordLeaving(incarnation: string): void;
  /** Leaving incarnations in this daemon's availability zone. */
  listLeaving(): readonly string[];
  /**
   * Marks the replicas that are leaving in the platform's VM list, which lags.
   */
  applyVmList(vms: readonly ListedVm[]): void;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly clock: Clock;
  readonly tracker: LoadTracker;
  readonly slowness: SlownessDetector;
  readonly log: EventLogger["log"];
  readonly availabilityZone: string;
  readonly regionOf: (availabilityZone: string) => string;
  /** Called once when an incarnation is first known to be leaving. */
  readonly onLeaving: (incarnation: string) => void;
  /** Monotonic time at which this process last resumed after a pause. */
  readonly resumedAt: () => Milliseconds;
  /** Called for each request to an engine; returns the headers to add to it. */
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

interface Member {
  readonly replica: Replica;
  /** Streams that this daemon has open on the replica. */
  streams: number;
  incarnation: string | undefined;
  /** True when `upstream_leaving` has been logged for the incarnation. */
  isLogged: boolean;
  /**
   * True when the peers know that the incarnation is leaving. They can be told
   * only once a report has named the incarnation.
   */
  isAnnounced: boolean;
  /** Monotonic time of the last report read by `confirm`, successful or not. */
  confirmedAt: Milliseconds;
  /** The read in progress, shared by concurrent calls of `confirm`. */
  pendingConfirmation: Promise<void> | undefined;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, tracker, slowness } = options;
  const members = new Map<string, Member>();
  const tokenGaps = createTokenGaps(clock, slowness);
  const closing = new Set<Promise<void>>();
  let groups: Readonly<Record<string, ModelGroup>> = {};

  function add(name: string, group: string): void {
    const settings = groups[group]?.replicas[name];
    if (settings === undefined) return;
    const report = () => tracker.report(name);
    const replica = createReplica({
      name,
      group,
      settings,
      clock,
      report,
      createHeaders: options.createHeaders,
    });
    members.set(name, {
      replica,
      streams: 0,
      incarnation: undefined,
      isLogged: false,
      isAnnounced: false,
      confirmedAt: -Infinity,
      pendingConfirmation: undefined,
    });
  }

  /** Updates a replica's incarnation and leaving state from its last report. */
  function refresh(member: Member): void {
    const { replica } = member;
    const now = replica.report()?.incarnation;
    if (now !== undefined && now !== member.incarnation) {
      if (member.incarnation !== undefined) {
        slowness.forget(replica.name);
        const previous = member.incarnation;
        const subject = { upstream: replica.name };
        options.log("upstream_restarted", { previous }, subject);
      }
      member.incarnation = now;
      // A replica marked as leaving before its first report stays leaving: the
      // report only names the marked incarnation.
      if (!replica.isLeaving()) member.isLogged = false;
      member.isAnnounced = false;
    }
    if (replica.isLeaving()) announceLeaving(member, "load report");
  }

  function announceLeaving(member: Member, source: string): void {
    const { replica } = member;
    if (!member.isLogged) {
      member.isLogged = true;
      options.log("upstream_leaving", { source }, { upstream: replica.name });
    }
    const incarnation = replica.report()?.incarnation;
    if (member.isAnnounced || incarnation === undefined) return;
    member.isAnnounced = true;
    options.onLeaving(incarnation);
  }

  function hasReportSince(member: Member, since: Milliseconds): boolean {
    const { age = Infinity } = tracker.estimate(member.replica.name);
    return member.confirmedAt >= since || clock.monotonic() - age >= since;
  }

  /** Without an answer, the state of the replica is left unchanged. */
  async function readReport(member: Member): Promise<void> {
    const { replica } = member;
    const { name } = replica;
    const answer = await replica.engine.readLoad(CONFIRMATION_TIMEOUT);
    member.confirmedAt = clock.monotonic();
    member.pendingConfirmation = undefined;
    if (answer.isOk()) {
      tracker.recordReport(name, answer.value);
      refresh(member);
    } else {
      const reason = answer.error;
      options.log("load_report_missing", { reason }, { upstream: name });
    }
  }

  function remove(member: Member): void {
    members.delete(member.replica.name);
    slowness.forget(member.replica.name);
    const closed = closeWhenIdle(member);
    closing.add(closed);
    closed.finally(() => closing.delete(closed));
  }

  /** Lets the streams on a removed replica complete before closing it. */
  async function closeWhenIdle(member: Member): Promise<void> {
    while (member.streams > 0) await clock.sleep(IDLE_CHECK_INTERVAL);
    await member.replica.engine.close();
  }

  function toCandidate(member: Member): Candidate {
    refresh(member);
    const { replica } = member;
    const { settings, name } = replica;
    const load = tracker.estimate(name);
    const zone = settings.availabilityZone;
    const target = groups[replica.group]?.weights ?? "";
    return {
      name,
      availabilityZone: zone,
      region: options.regionOf(zone),
      weights: replica.weights() ?? target,
      state: stateOf(member, load.age),
      weight: settings.slots,
      slots: settings.slots,
      prefillTokensPerSecond: settings.prefillTokensPerSecond,
      unreported: {
        requests: load.own.count + load.peers.count,
        tokens: load.own.tokens + load.peers.tokens,
      },
      health: slowness.healthOf(name),
      probeDue: slowness.isProbeDue(name),
      ...(load.report === undefined ? {} : {
        incarnation: load.report.incarnation,
        reported: {
          running: load.report.running,
          waiting: load.report.waiting,
          queuedTokens: load.report.queuedTokens,
          age: load.age ?? 0,
        },
      }),
    };
  }

  function stateOf(
    { replica }: Member,
    age: Milliseconds | undefined,
  ): Candidate["state"] {
    if (replica.isLeaving()) return "leaving";
    if (replica.isUnreachable()) return "dead";
    const isLocal =
      replica.settings.availabilityZone === options.availabilityZone;
    const interval = isLocal
      ? REPORT_INTERVAL
      : REPORT_INTERVAL * REMOTE_REPORT_PERIODS;
    if ((age ?? 0) > interval * MAXIMUM_MISSED_REPORTS) return "dead";
    return replica.report()?.state ?? "ready";
  }

  function candidates(group: string): readonly Candidate[] {
    const listed = [...members.values()]
      .filter((member) => member.replica.group === group)
      .map(toCandidate);
    if (listed.some((candidate) => candidate.state === "ready")) return listed;
    // Missing reports do not prove that replicas are dead. When none is ready,
    // the dead ones are tried: an attempt costs little, while refusing would
    // turn a failure of the reports into a full outage.
    return listed.map((candidate) =>
      candidate.state === "dead"
        ? { ...candidate, state: "ready", health: "suspect" }
        : candidate
    );
  }

  return {
    apply(configuration) {
      groups = configuration.groups;
      for (const member of [...members.values()]) {
        const { name, group, settings } = member.replica;
        const now = groups[group]?.replicas[name];
        if (now?.address !== settings.address) remove(member);
      }
      for (const [group, { replicas }] of Object.entries(groups)) {
        for (const name of Object.keys(replicas)) {
          if (!members.has(name)) add(name, group);
        }
      }
      tracker.retainReplicas(members.keys());
    },
    candidates,
    find: (name) => members.get(name)?.replica,
    list: () => [...members.values()].map((member) => member.replica),
    readyCount: (group) =>
      candidates(group).filter((one) => one.state === "ready").length,
    async confirm(replica) {
      const member = members.get(replica.name);
      if (
        member !== undefined && !hasReportSince(member, options.resumedAt())
      ) {
        member.pendingConfirmation ??= readReport(member);
        await member.pendingConfirmation;
      }
      return !replica.isLeaving();
    },
    wasRunningSince: (time) => options.resumedAt() <= time,
    startDispatch(replica, { attempt, tokens }) {
      const member = members.get(replica.name);
      if (member !== undefined) member.streams += 1;
      tracker.startDispatch(replica.name, { id: attempt, tokens });
      // Only one request probes the speed of a slow replica.
      const { name, group } = replica;
      if (slowness.isProbeDue(name)) slowness.recordProbe(name);
      return {
        sampleGap: tokenGaps.trackStream({ group, replica: name }),
        end() {
          if (member !== undefined) member.streams -= 1;
          tracker.endDispatch(replica.name, attempt);
        },
      };
    },
    recordEvent(replica, event, { startedAt, expected, sampleGap }) {
      if (event.kind === "start") replica.recordWeights(event.weights);
      replica.recordReachability(true);
      if (event.kind === "token") sampleGap();
      if (event.kind !== "token" || event.offset > 0) return;
      const gap = clock.monotonic() - startedAt;
      slowness.record(replica.name, { kind: "first token", gap, expected });
    },
    recordLateFirstToken(replica, late) {
      slowness.record(replica.name, { kind: "first token", ...late });
    },
    recordFailure(replica, failure) {
      if (failure.weights !== undefined) replica.recordWeights(failure.weights);
      if (failure.reason === "unreachable") replica.recordReachability(false);
      if (failure.reason !== "leaving") return;
      replica.markLeaving(undefined);
      const member = members.get(replica.name);
      if (member !== undefined) announceLeaving(member, "response");
    },
    recordLeaving(incarnation) {
      for (const member of members.values()) {
        const { replica } = member;
        if (replica.report()?.incarnation !== incarnation) continue;
        if (replica.isLeaving()) continue;
        replica.markLeaving(incarnation);
        // The peer's heartbeat reaches the whole availability zone, so this
        // daemon does not announce it again.
        member.isAnnounced = true;
        member.isLogged = true;
        const subject = { upstream: replica.name };
        options.log("upstream_leaving", { source: "peer" }, subject);
      }
    },
    listLeaving() {
      return [...members.values()].flatMap((member) => {
        const { settings, report, isLeaving } = member.replica;
        const isLocal = settings.availabilityZone === options.availabilityZone;
        if (!isLocal || !isLeaving()) return [];
        refresh(member);
        return report()?.incarnation ?? [];
      });
    },
    applyVmList(vms) {
      for (const member of members.values()) {
        const { replica } = member;
        const listed = vms.find((vm) =>
          vm.address === replica.settings.address
        );
        if (listed?.state !== "leaving" || replica.isLeaving()) continue;
        replica.markLeaving(listed.incarnation);
        if (replica.isLeaving()) announceLeaving(member, "VM list");
      }
    },
    async close() {
      for (const member of [...members.values()]) remove(member);
      await Promise.all(closing);
    },
  };
}
