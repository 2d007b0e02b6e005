/**
 * Sends rounds of heartbeats to all peers of the zone and aggregates to the
 * other availability zones.
 */
import { formatStamp } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { Candidates } from "./candidates.ts";
import type { Codec } from "./codec.ts";
import {
  type Datagram,
  type DatagramHeader,
  HEADER_BYTES,
  type Heartbeat,
  MAX_DATAGRAM,
} from "./datagram.ts";
import type { LeavingUpstreams } from "./leaving_upstreams.ts";
import type { MembershipOptions } from "./options.ts";
import type { Pacer } from "./pacer.ts";
import type { PeerTable } from "./peer_table.ts";
import { rankNamesByRendezvous } from "./rendezvous.ts";

/** Daemons of each other zone that are sent an aggregate. */
const AGGREGATE_RECEIVERS = 2;

/**
 * Aggregates sent to a pair of receivers before the next pair is chosen, in
 * case both are dead.
 */
const AGGREGATES_PER_PAIR = 5;

/** Smallest encodable interval; replaced after the length is measured. */
const PLACEHOLDER_INTERVAL: Milliseconds = 100;

export interface Sender {
  /** Sends a heartbeat to every target. */
  sendRound(): void;
  sendAggregates(): void;
  /** Time from the last round to the next regular one. */
  interval(): Milliseconds;
  /** Totals since the start; bytes include UDP and IP headers. */
  sent(): { readonly bytes: Bytes; readonly datagrams: number };
}

export interface SenderOptions {
  readonly options: MembershipOptions;
  readonly codec: Codec;
  readonly table: PeerTable;
  readonly candidates: Candidates;
  readonly pacer: Pacer;
  readonly leavingUpstreams: LeavingUpstreams;
  readonly self: {
    incarnation: string;
    version: number;
    draining: boolean;
  };
}

export function createSender(senderOptions: SenderOptions): Sender {
  const {
    options,
    codec,
    table,
    candidates,
    pacer,
    leavingUpstreams,
    self,
  } = senderOptions;
  const { name, zone, transport, hybridClock } = options;
  const isNeighbor = options.isNeighbor ?? ((other) => other === zone);
  let sequence = 0;
  let aggregates = 0;
  let interval: Milliseconds = 0;
  let sentBytes: Bytes = 0;
  let datagrams = 0;

  function createHeader(): DatagramHeader {
    sequence += 1;
    const clock = formatStamp(hybridClock.tick());
    const { incarnation, version } = self;
    return { name, incarnation, sequence, version, clock };
  }

  function send(to: string, datagram: Datagram): void {
    const encoded = codec.encode(datagram);
    if (encoded.isOk()) sendBytes(to, encoded.value);
  }

  function sendBytes(to: string, bytes: Uint8Array): void {
    const length = bytes.length + HEADER_BYTES;
    pacer.recordSent(length);
    sentBytes += length;
    datagrams += 1;
    transport.send(to, bytes);
  }

  /** Peers that are not dead, and silent addresses whose probe is due. */
  function chooseTargets(): readonly string[] {
    const own = transport.address();
    const peers = table.list().filter(({ address }) => {
      const listedZone = candidates.zoneOf(address);
      return listedZone === undefined || isNeighbor(listedZone);
    });
    const answering = peers
      .filter((peer) => peer.state !== "dead")
      .map((peer) => peer.address);
    const dead = peers
      .filter((peer) => peer.state === "dead")
      .map((peer) => peer.address)
      .filter((address) => !candidates.isLeaving(address));
    const listed = candidates.zones().filter(isNeighbor)
      .flatMap((neighbor) => candidates.listZone(neighbor))
      .map((seed) => seed.address);
    const silent = [...new Set([...dead, ...listed])].filter((address) =>
      address !== own && !answering.includes(address)
    );
    const probed = silent.filter(candidates.isProbeDue);
    candidates.recordRound(silent);
    return [...answering, ...probed];
  }

  function composeHeartbeat(targets: number): Heartbeat {
    const leaving = leavingUpstreams.current();
    const base: Heartbeat = {
      kind: "heartbeat",
      ...createHeader(),
      interval: PLACEHOLDER_INTERVAL,
      draining: self.draining,
      ...(leaving.length > 0 && { leaving }),
    };
    // The longest interval has two more digits than the placeholder.
    const digestLimit = pacer.maxHeartbeatLength(targets) -
      codec.measure(base) - 2;
    const digest = digestLimit > 0
      ? options.createDigest?.(digestLimit)
      : undefined;
    const full = digest === undefined ? base : { ...base, digest };
    const length = codec.measure(full) + 2 + HEADER_BYTES;
    const delay = pacer.delayAfter(length * targets, targets);
    interval = delay;
    return { ...full, interval: pacer.announcedInterval(delay) };
  }

  function sendRound(): void {
    const targets = chooseTargets();
    const heartbeat = composeHeartbeat(targets.length);
    const encoded = codec.encode(heartbeat);
    if (encoded.isErr()) return;
    for (const target of targets) sendBytes(target, encoded.value);
    sendCorrections(heartbeat);
  }

  /** Sends peers that restarted with a lower incarnation the known one. */
  function sendCorrections(heartbeat: Heartbeat): void {
    const { digest: _digest, leaving: _leaving, ...rest } = heartbeat;
    for (const [peer, correction] of table.outdated()) {
      const known = [peer, correction.incarnation] as const;
      sequence += 1;
      send(correction.address, { ...rest, sequence, knownIncarnation: known });
    }
    table.clearOutdated();
  }

  function sendAggregates(): void {
    const pair = Math.floor(aggregates / AGGREGATES_PER_PAIR);
    aggregates += 1;
    const header = createHeader();
    const base = { kind: "aggregate", ...header, zone, content: "" } as const;
    const limit = MAX_DATAGRAM - codec.measure(base);
    const content = options.createAggregate?.(limit) ?? null;
    const encoded = codec.encode({ ...base, content });
    if (encoded.isErr()) return;
    const otherZones = candidates.zones().filter((other) => !isNeighbor(other));
    for (const other of otherZones) {
      const seeds = candidates.listZone(other).map((seed) => seed.address);
      const ranked = rankNamesByRendezvous(`${zone} ${pair}`, seeds);
      for (const to of ranked.slice(0, AGGREGATE_RECEIVERS)) {
        sendBytes(to, encoded.value);
      }
    }
  }

  return {
    sendRound,
    sendAggregates,
    interval: () => interval,
    sent: () => ({ bytes: sentBytes, datagrams }),
  };
}
