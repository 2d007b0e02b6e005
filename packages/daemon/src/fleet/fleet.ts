/**
 * The replicas of the configuration in force and what this daemon knows of
 * them, from load reports, peers, the VM list and its own streams.
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

/** Interval at which removed replicas are looked at for their last stream. */
const CLOSE_INTERVAL: Milliseconds = 500;

/** Reports missed in a row after which a replica counts as dead. */
const MISSED_REPORTS = 4;

/** Time for a report that is asked for after a pause. */
const ASK_TIMEOUT: Milliseconds = 500;

/** Time between reports of a replica of the own availability zone. */
const REPORT_INTERVAL: Milliseconds = 1_000;

/** Reports of other availability zones are read once in so many periods. */
export const REMOTE_PERIODS = 8;

export interface Dispatch {
  end(): void;
  /** To be called for each token. */
  readonly sampleGap: () => void;
}

export interface ObservedEvent {
  /** Monotonic time at which the attempt began. */
  readonly begun: Milliseconds;
  /** Expected time to first token. */
  readonly expected: Milliseconds;
  /** Samples the gaps between the attempt's tokens. */
  readonly sampleGap: () => void;
}

export interface LateStream {
  /** Wait so far. */
  readonly gap: Milliseconds;
  /** Expected time to first token. */
  readonly expected: Milliseconds;
}

export interface DispatchedWork {
  readonly attempt: string;
  readonly tokens: Tokens;
}

export interface Fleet {
  /** Follows a configuration: removed replicas end their streams first. */
  apply(configuration: Configuration): void;
  candidates(group: string): readonly Candidate[];
  find(replica: string): Replica | undefined;
  list(): readonly Replica[];
  readyCount(group: string): number;
  /**
   * True when the replica may get work now. After a pause of this process the
   * replica is asked first.
   */
  confirm(replica: Replica): Promise<boolean>;
  /** True when this process was not paused since a monotonic time. */
  ranSince(time: Milliseconds): boolean;
  /** Notes that an attempt was dispatched. */
  begin(replica: Replica, work: DispatchedWork): Dispatch;
  observe(
    replica: Replica,
    event: GenerationEvent,
    observed: ObservedEvent,
  ): void;
  /** Notes that a stream still waits for its first token. */
  noteLate(replica: Replica, late: LateStream): void;
  noteFailure(replica: Replica, failure: AttemptFailure): void;
  /** Takes news from a peer that an incarnation is leaving. */
  recordLeaving(incarnation: string): void;
  /** Incarnations of the own availability zone that are leaving. */
  listLeaving(): readonly string[];
  /** Takes the platform's lagging VM list. */
  applyVmList(vms: readonly ListedVm[]): void;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly clock: Clock;
  readonly board: LoadTracker;
  readonly slowness: SlownessDetector;
  readonly log: EventLogger["log"];
  readonly availabilityZone: string;
  readonly regionOf: (availabilityZone: string) => string;
  readonly onLeaving: (incarnation: string) => void;
  /** Monotonic time at which this process last resumed after a pause. */
  readonly resumedAt: () => Milliseconds;
  /** Headers of every request to an engine, made anew for each. */
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

interface Member {
  readonly replica: Replica;
  /** Streams that this daemon has open on the replica. */
  streams: number;
  incarnation: string | undefined;
  /** True when the log says that the incarnation is leaving. */
  isLogged: boolean;
  /** True when the peers know it; that needs the incarnation's name. */
  isAnnounced: boolean;
  /** When the replica was last asked after a pause. */
  askedAt: Milliseconds;
  /** The question that is under way. */
  asking: Promise<void> | undefined;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, board, slowness } = options;
  const members = new Map<string, Member>();
  const gaps = createTokenGaps(clock, slowness);
  const closing = new Set<Promise<void>>();
  let groups: Readonly<Record<string, ModelGroup>> = {};

  function add(name: string, group: string): void {
    const settings = groups[group]?.replicas[name];
    if (settings === undefined) return;
    const report = () => board.report(name);
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
      askedAt: -Infinity,
      asking: undefined,
    });
  }

  /** Follows what the reports say of a replica's incarnation and state. */
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
      // A first report only names the incarnation that was marked before it.
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

  function isHeardSince(member: Member, since: Milliseconds): boolean {
    const { age = Infinity } = board.estimate(member.replica.name);
    return member.askedAt >= since || clock.monotonic() - age >= since;
  }

  /** A replica that does not answer is tried all the same. */
  async function ask(member: Member): Promise<void> {
    const { replica } = member;
    const { name } = replica;
    const answer = await replica.engine.readLoad(ASK_TIMEOUT);
    member.askedAt = clock.monotonic();
    member.asking = undefined;
    if (answer.isOk()) {
      board.recordReport(name, answer.value);
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

  /** Streams on a removed replica go on to their end. */
  async function closeWhenIdle(member: Member): Promise<void> {
    while (member.streams > 0) await clock.sleep(CLOSE_INTERVAL);
    await member.replica.engine.close();
  }

  function toCandidate(member: Member): Candidate {
    refresh(member);
    const { replica } = member;
    const { settings, name } = replica;
    const load = board.estimate(name);
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
      : REPORT_INTERVAL * REMOTE_PERIODS;
    if ((age ?? 0) > interval * MISSED_REPORTS) return "dead";
    return replica.report()?.state ?? "ready";
  }

  function candidates(group: string): readonly Candidate[] {
    const listed = [...members.values()]
      .filter((member) => member.replica.group === group)
      .map(toCandidate);
    if (listed.some((candidate) => candidate.state === "ready")) return listed;
    // Reports that do not arrive are no proof. When no replica is left, trying
    // one costs little, and refusing would make a fault of the reports total.
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
      board.retainReplicas(members.keys());
    },
    candidates,
    find: (name) => members.get(name)?.replica,
    list: () => [...members.values()].map((member) => member.replica),
    readyCount: (group) =>
      candidates(group).filter((one) => one.state === "ready").length,
    async confirm(replica) {
      const member = members.get(replica.name);
      if (member !== undefined && !isHeardSince(member, options.resumedAt())) {
        member.asking ??= ask(member);
        await member.asking;
      }
      return !replica.isLeaving();
    },
    ranSince: (time) => options.resumedAt() <= time,
    begin(replica, { attempt, tokens }) {
      const member = members.get(replica.name);
      if (member !== undefined) member.streams += 1;
      board.startDispatch(replica.name, { id: attempt, tokens });
      // Only one request tries the speed of a slow replica.
      const { name, group } = replica;
      if (slowness.isProbeDue(name)) slowness.recordProbe(name);
      return {
        sampleGap: gaps.follow({ group, replica: name }),
        end() {
          if (member !== undefined) member.streams -= 1;
          board.endDispatch(replica.name, attempt);
        },
      };
    },
    observe(replica, event, { begun, expected, sampleGap }) {
      if (event.kind === "start") replica.noteWeights(event.weights);
      replica.noteReachable(true);
      if (event.kind === "token") sampleGap();
      if (event.kind !== "token" || event.offset > 0) return;
      const gap = clock.monotonic() - begun;
      slowness.record(replica.name, { kind: "first token", gap, expected });
    },
    noteLate(replica, late) {
      slowness.record(replica.name, { kind: "first token", ...late });
    },
    noteFailure(replica, failure) {
      if (failure.weights !== undefined) replica.noteWeights(failure.weights);
      if (failure.reason === "unreachable") replica.noteReachable(false);
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
        // The peer's heartbeat reaches the whole zone; passing it on again
        // would only repeat it.
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
