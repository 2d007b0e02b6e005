/**
 * The replicas of the configuration in force and what this daemon knows of
 * them. One task for each replica reads its load reports.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { ListedVm } from "@peridotvalve/platform";
import type { Candidate, SlownessDetector } from "@peridotvalve/routing";
import type {
  Configuration,
  GenerationEvent,
  Milliseconds,
  ModelGroup,
  Tokens,
} from "@peridotvalve/types";
import type { AttemptFailure } from "@peridotvalve/upstreams";
import { estimatePrefill } from "../chat/admit.ts";
import type { ChatWork } from "../chat/work.ts";
import { createReplica, type Replica } from "./replica.ts";

const POLL_INTERVAL: Milliseconds = 500;
const POLL_TIMEOUT: Milliseconds = 1_000;

/** Reports missed in a row after which a replica gets no work. */
const MISSED_REPORTS = 3;

export interface Dispatch {
  end(): void;
}

export interface ObservedEvent {
  /** Monotonic time at which the attempt began. */
  readonly begun: Milliseconds;
  /** Expected time to first token. */
  readonly expected: Milliseconds;
}

export interface Fleet {
  /** Follows a configuration: new replicas are read, removed ones forgotten. */
  apply(configuration: Configuration): void;
  candidates(group: string): readonly Candidate[];
  find(replica: string): Replica | undefined;
  list(): readonly Replica[];
  readyCount(group: string): number;
  /** Notes that an attempt of so many prompt tokens was dispatched. */
  begin(replica: Replica, tokens: Tokens): Dispatch;
  observe(
    replica: Replica,
    event: GenerationEvent,
    observed: ObservedEvent,
  ): void;
  noteFailure(replica: Replica, failure: AttemptFailure): void;
  /** Takes news from a peer that an incarnation is leaving. */
  noteLeaving(incarnation: string): void;
  /** Takes the platform's lagging VM list. */
  noteVms(vms: readonly ListedVm[]): void;
  expectedFirstToken(work: ChatWork): Milliseconds;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly clock: Clock;
  readonly slowness: SlownessDetector;
  readonly log: EventLogger["log"];
  readonly regionOf: (availabilityZone: string) => string;
  readonly onLeaving: (incarnation: string) => void;
}

interface Member {
  readonly replica: Replica;
  readonly stopped: AbortController;
  readonly dispatches: Map<symbol, InFlight>;
  missed: number;
}

interface InFlight {
  readonly at: Milliseconds;
  readonly tokens: Tokens;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, slowness } = options;
  const members = new Map<string, Member>();
  const closing = new Set<Promise<void>>();
  let groups: Readonly<Record<string, ModelGroup>> = {};

  function add(name: string, group: string): void {
    const settings = groups[group]?.replicas[name];
    if (settings === undefined) return;
    const replica = createReplica({ name, group, settings, clock });
    const member = {
      replica,
      stopped: new AbortController(),
      dispatches: new Map(),
      missed: 0,
    };
    members.set(name, member);
    void readReports(member);
  }

  async function readReports(member: Member): Promise<void> {
    const { replica, stopped } = member;
    while (!stopped.signal.aborted) {
      const report = await replica.engine.readLoad(POLL_TIMEOUT);
      if (report.isErr()) member.missed += 1;
      else receive(member, report.value);
      await clock.sleep(POLL_INTERVAL, stopped.signal);
    }
  }

  function receive(
    member: Member,
    report: Parameters<Replica["receive"]>[0],
  ): void {
    const { replica } = member;
    const previous = replica.report()?.incarnation;
    const wasLeaving = replica.isLeaving();
    member.missed = 0;
    replica.receive(report);
    if (previous !== undefined && previous !== report.incarnation) {
      slowness.forget(replica.name);
      options.log("upstream_restarted", { previous }, {
        upstream: replica.name,
      });
    }
    if (!wasLeaving && replica.isLeaving()) {
      announceLeaving(replica, "load report");
    }
  }

  function announceLeaving(replica: Replica, source: string): void {
    options.log("upstream_leaving", { source }, { upstream: replica.name });
    const incarnation = replica.report()?.incarnation;
    if (incarnation !== undefined) options.onLeaving(incarnation);
  }

  function remove(member: Member): void {
    members.delete(member.replica.name);
    member.stopped.abort();
    slowness.forget(member.replica.name);
    const closed = closeWhenIdle(member);
    closing.add(closed);
    closed.finally(() => closing.delete(closed));
  }

  /** Streams on a removed replica go on to their end. */
  async function closeWhenIdle(member: Member): Promise<void> {
    while (member.dispatches.size > 0) await clock.sleep(POLL_INTERVAL);
    await member.replica.engine.close();
  }

  function toCandidate(member: Member): Candidate {
    const { replica } = member;
    const { settings, name } = replica;
    const report = replica.report();
    const zone = settings.availabilityZone;
    const unreported = countUnreported(member);
    const target = groups[replica.group]?.weights ?? "";
    return {
      name,
      availabilityZone: zone,
      region: options.regionOf(zone),
      weights: replica.weights() ?? target,
      state: stateOf(member),
      weight: settings.slots,
      slots: settings.slots,
      prefillTokensPerSecond: settings.prefillTokensPerSecond,
      unreported,
      health: slowness.healthOf(name),
      probeDue: slowness.isProbeDue(name),
      ...(report === undefined ? {} : {
        incarnation: report.incarnation,
        reported: {
          running: report.running,
          waiting: report.waiting,
          queuedTokens: report.queuedTokens,
          age: clock.monotonic() - report.receivedAt,
        },
      }),
    };
  }

  function stateOf(member: Member): Candidate["state"] {
    if (member.replica.isLeaving()) return "leaving";
    if (member.missed >= MISSED_REPORTS) return "dead";
    return member.replica.report()?.state ?? "ready";
  }

  function countUnreported(member: Member): Candidate["unreported"] {
    const since = member.replica.report()?.receivedAt ?? 0;
    const fresh = [...member.dispatches.values()]
      .filter((dispatch) => dispatch.at >= since - POLL_INTERVAL);
    const tokens = fresh.reduce((sum, dispatch) => sum + dispatch.tokens, 0);
    return { requests: fresh.length, tokens };
  }

  function candidates(group: string): readonly Candidate[] {
    return [...members.values()]
      .filter((member) => member.replica.group === group)
      .map(toCandidate);
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
    },
    candidates,
    find: (name) => members.get(name)?.replica,
    list: () => [...members.values()].map((member) => member.replica),
    readyCount: (group) =>
      candidates(group).filter((one) => one.state === "ready").length,
    begin(replica, tokens) {
      const dispatches = members.get(replica.name)?.dispatches ?? new Map();
      const key = Symbol(replica.name);
      dispatches.set(key, { at: clock.monotonic(), tokens });
      return { end: () => void dispatches.delete(key) };
    },
    observe(replica, event, { begun, expected }) {
      if (event.kind === "start") replica.noteWeights(event.weights);
      if (event.kind !== "token" || event.offset > 0) return;
      const gap = clock.monotonic() - begun;
      const kind = "first token";
      slowness.record(replica.name, { kind, gap, expected });
    },
    noteFailure(replica, failure) {
      if (failure.weights !== undefined) replica.noteWeights(failure.weights);
      if (failure.reason === "leaving") {
        replica.markLeaving(undefined);
        announceLeaving(replica, "response");
      }
      if (failure.reason === "unreachable") {
        const member = members.get(replica.name);
        if (member !== undefined) member.missed = MISSED_REPORTS;
      }
    },
    noteLeaving(incarnation) {
      for (const { replica } of members.values()) {
        if (replica.report()?.incarnation !== incarnation) continue;
        if (replica.isLeaving()) continue;
        replica.markLeaving(incarnation);
        options.log("upstream_leaving", { source: "peer" }, {
          upstream: replica.name,
        });
      }
    },
    noteVms(vms) {
      for (const { replica } of members.values()) {
        const listed = vms.find((vm) =>
          vm.address === replica.settings.address
        );
        if (listed?.state !== "leaving" || replica.isLeaving()) continue;
        replica.markLeaving(listed.incarnation);
        if (replica.isLeaving()) announceLeaving(replica, "VM list");
      }
    },
    expectedFirstToken(work) {
      const rates = Object.values(work.group.replicas)
        .map((replica) => replica.prefillTokensPerSecond);
      const slowest = Math.min(...rates);
      return estimatePrefill(work.chat.prompt, slowest);
    },
    async close() {
      for (const member of [...members.values()]) remove(member);
      await Promise.all(closing);
    },
  };
}
