/**
 * Communication of a daemon with its peers: heartbeats, configurations for
 * peers that lag behind, and status calls.
 */
import type { Clock } from "@peridotvalve/clock";
import type { RawConfiguration } from "@peridotvalve/configuration";
import type { EventLogger, HybridClock } from "@peridotvalve/events";
import {
  createMembership,
  createUdpTransport,
  logPeerChange,
  type Membership,
  type NewerVersion,
} from "@peridotvalve/membership";
import type { LoadTracker } from "@peridotvalve/load";
import type { ListedVm } from "@peridotvalve/tables";
import type { ProcessSettings } from "@peridotvalve/settings";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import type { DaemonVersion } from "../operators/daemon_version.ts";
import { createRpcClient } from "./rpc.ts";
import type { Stamps } from "./stamps.ts";

const CALL_TIMEOUT: Milliseconds = 1_500;

/** Age after which a zone's aggregate is ignored. */
const AGGREGATE_EXPIRY: Milliseconds = 10_000;

const RAW_CONFIGURATION = z.object({
  version: z.number().int().nonnegative(),
  change: z.string(),
  content: z.unknown(),
});

const STATUS = z.object({ name: z.string(), version: z.number().nullable() });

/** Read of the configuration head, beside the load in a digest. */
const HEAD_READ = z.object({ h: z.number().nonnegative().optional() });

/** An older read keeps no peer from reading the head itself. */
const MAX_TOLD_READ_AGE: Milliseconds = 3_000;

/** Bytes of a digest for the age of that read: `,"h":2999`. */
const HEAD_READ_FIELD: Bytes = 10;

/** Limit on leaving upstreams, because an aggregate is a single datagram. */
const MAX_LEAVING_PER_AGGREGATE = 8;

const AGGREGATE = z.object({
  daemons: z.number().int().nonnegative(),
  /** Bytes per second that the zone sends over the region link. */
  link: z.number().nonnegative().default(0),
  leaving: z.array(z.string()).max(MAX_LEAVING_PER_AGGREGATE).default([]),
});

export interface PeerNetwork {
  readonly membership: Membership;
  /** Live daemons of all reachable availability zones, including this one. */
  countLiveDaemons(): number;
  /**
   * Bytes per second that this daemon's availability zone and the accepted
   * others send over the region link.
   */
  linkRate(accepts: (availabilityZone: string) => boolean): number;
  fetchConfiguration(peer: string): Promise<Result<RawConfiguration, string>>;
  /** Addresses of the peers known from settings, heartbeats and the VM list. */
  addresses(): readonly string[];
  setVmList(vms: readonly ListedVm[]): void;
  readVersions(own: DaemonVersion): Promise<readonly DaemonVersion[]>;
  start(): void;
  close(): Promise<void>;
}

export interface PeerNetworkOptions {
  readonly settings: ProcessSettings;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly stamps: Stamps;
  readonly log: EventLogger["log"];
  readonly tracker: LoadTracker;
  readonly onAnnounce: (newer: NewerVersion) => void;
  /** Age of this daemon's newest read of the configuration head. */
  readonly headReadAge: () => Milliseconds;
  /** Called when a peer tells that it has read the head `age` ago. */
  readonly onHeadRead: (age: Milliseconds) => void;
  readonly onUpstreamLeaving: (incarnation: string) => void;
  /** Leaving upstream incarnations of this daemon's availability zone. */
  readonly listLeaving: () => readonly string[];
}

/** Returns an error if the UDP socket cannot be opened. */
export async function createPeerNetwork(
  options: PeerNetworkOptions,
): Promise<Result<PeerNetwork, string>> {
  const { settings, clock, tracker } = options;
  const [host, port] = splitAddress(settings.listeners.peers);
  const transport = await createUdpTransport({ host, port });
  if (transport.isErr()) return transport;
  const stopped = new AbortController();
  const rpc = createRpcClient(settings.peerSecret, options.stamps);
  const aggregates = new Map<string, z.infer<typeof AGGREGATE>>();
  let listedVms: readonly ListedVm[] = [];

  const membership = createMembership({
    name: settings.name,
    zone: settings.availabilityZone,
    secret: settings.peerSecret,
    clock,
    hybridClock: options.hybridClock,
    transport: transport.value,
    seeds: settings.seeds.map((seed) => ({
      address: seed.address,
      zone: seed.availabilityZone,
    })),
    createDigest(limit) {
      const age = options.headReadAge();
      if (age > MAX_TOLD_READ_AGE) return tracker.composeDigest(limit);
      const load = tracker.composeDigest(limit - HEAD_READ_FIELD);
      return { ...load, h: Math.round(age) };
    },
    onDigest(peer, digest) {
      const { data: headRead } = HEAD_READ.safeParse(digest);
      if (headRead?.h !== undefined) options.onHeadRead(headRead.h);
      const taken = tracker.applyDigest(peer, digest);
      if (taken.isErr()) {
        options.log("datagram_rejected", { reason: taken.error, from: peer });
      }
    },
    createAggregate() {
      const leaving = options.listLeaving().slice(0, MAX_LEAVING_PER_AGGREGATE);
      return {
        daemons: membership.live().length,
        link: Math.round(tracker.linkRate()),
        ...(leaving.length > 0 && { leaving }),
      };
    },
    onAggregate({ zone, content }) {
      const read = AGGREGATE.safeParse(content);
      if (!read.success) return;
      const knownLeaving = aggregates.get(zone)?.leaving ?? [];
      aggregates.set(zone, read.data);
      for (const incarnation of read.data.leaving) {
        options.onUpstreamLeaving(incarnation);
        // Only two daemons of the zone receive the aggregate; these tell the rest.
        if (!knownLeaving.includes(incarnation)) {
          membership.announceUpstreamLeaving(incarnation);
        }
      }
    },
    onNewerVersion: options.onAnnounce,
    onUpstreamLeaving: options.onUpstreamLeaving,
    onChange(change) {
      const isGone = change.kind === "dead" || change.kind === "restarted" ||
        change.kind === "forgotten";
      if (isGone) tracker.removePeer(change.peer.name);
      logPeerChange(options.log, change);
    },
    onDatagramRejected: (reason, from) =>
      options.log("datagram_rejected", { reason, from }),
    onClockDrift: (peer, ahead) => options.log("clock_drift", { peer, ahead }),
    onPaused: (pause) => options.log("process_paused", { pause }),
    onIncarnationRaised: (incarnation) =>
      options.log("incarnation_raised", { incarnation }),
  });

  function addresses(): readonly string[] {
    const all = [
      ...settings.seeds.map((seed) => seed.address),
      ...membership.peers().map((peer) => peer.address),
      ...listedVms.map((vm) => vm.address),
    ];
    return [...new Set(all)]
      .filter((address) => address !== settings.listeners.peers);
  }

  /** The aggregates of availability zones that have not expired. */
  function listRecentAggregates() {
    return [...membership.zones()]
      .filter(([, silence]) => silence < AGGREGATE_EXPIRY)
      .flatMap(([zone]) => {
        const content = aggregates.get(zone);
        return content === undefined ? [] : [{ zone, ...content }];
      });
  }

  async function readVersion(address: string): Promise<DaemonVersion> {
    const request = { method: "daemon.status", params: {} };
    const answer = await rpc.call(address, request, CALL_TIMEOUT);
    const status = STATUS.safeParse(answer.unwrapOr(undefined)).data;
    const name = status?.name ?? address;
    return { name, address, version: status?.version ?? undefined };
  }

  return Ok({
    membership,
    countLiveDaemons() {
      const others = listRecentAggregates()
        .reduce((sum, { daemons }) => sum + daemons, 0);
      return Math.max(1, membership.live().length) + others;
    },
    linkRate: (accepts) =>
      listRecentAggregates()
        .filter(({ zone }) =>
          zone !== settings.availabilityZone && accepts(zone)
        )
        .reduce((sum, { link }) => sum + link, tracker.linkRate()),
    async fetchConfiguration(peer) {
      const request = { method: "configuration.fetch", params: {} };
      const answer = await rpc.call(peer, request, CALL_TIMEOUT);
      if (answer.isErr()) return answer;
      const raw = RAW_CONFIGURATION.safeParse(answer.value);
      if (!raw.success) return Err(`${peer} sent no configuration`);
      return Ok(raw.data as RawConfiguration);
    },
    addresses,
    setVmList(vms) {
      listedVms = vms;
      membership.setVmList(vms);
    },
    async readVersions(own) {
      return [own, ...await Promise.all(addresses().map(readVersion))];
    },
    start() {
      void membership.run(stopped.signal);
    },
    async close() {
      stopped.abort();
      await transport.value.close();
      await rpc.close();
    },
  });
}

function splitAddress(address: string): readonly [string, number] {
  const separator = address.lastIndexOf(":");
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
