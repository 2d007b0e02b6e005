/**
 * The sending side: one round of heartbeats to all peers, and aggregates to
 * the other availability zones.
 */
import { formatStamp } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { Candidates } from "./candidates.ts";
import type { Codec } from "./codec.ts";
import {
  type Announcement,
  type Datagram,
  HEADER_BYTES,
  type Heartbeat,
} from "./datagram.ts";
import type { News } from "./news.ts";
import type { MembershipOptions } from "./options.ts";
import { type Pace, roomFor } from "./pace.ts";
import type { PeerTable } from "./peer_table.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/** Daemons of another zone that get its aggregate. */
const AGGREGATE_TARGETS = 2;

/** Aggregates before the next pair is chosen, in case both are dead. */
const AGGREGATES_PER_PAIR = 5;

const INTERVAL_STEP: Milliseconds = 100;

export interface Sender {
  /** Sends a heartbeat to every target. */
  sendRound(): void;
  sendAggregates(): void;
  /** Time from the last round to the next. */
  interval(): Milliseconds;
  sent(): { readonly bytes: Bytes; readonly datagrams: number };
}

export interface SenderParts {
  readonly options: MembershipOptions;
  readonly codec: Codec;
  readonly table: PeerTable;
  readonly candidates: Candidates;
  readonly pace: Pace;
  readonly news: News;
  readonly self: {
    incarnation: string;
    version: number;
    draining: boolean;
  };
}

export function createSender(parts: SenderParts): Sender {
  const { options, codec, table, candidates, pace, news, self } = parts;
  const { name, zone, transport, hybridClock } = options;
  let sequence = 0;
  let aggregates = 0;
  let interval: Milliseconds = 0;
  let sentBytes: Bytes = 0;
  let datagrams = 0;

  function announce(): Announcement {
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
    pace.spend(length);
    sentBytes += length;
    datagrams += 1;
    transport.send(to, bytes);
  }

  /** Peers that answer, and silent addresses whose turn it is. */
  function chooseTargets(): readonly string[] {
    const own = transport.address();
    const heard = table.list();
    const answering = heard
      .filter((peer) => peer.state !== "dead")
      .map((peer) => peer.address);
    const dead = heard
      .filter((peer) => peer.state === "dead")
      .map((peer) => peer.address)
      .filter((address) => !candidates.isLeaving(address));
    const possible = candidates.inZone(zone).map((seed) => seed.address);
    const silent = [...new Set([...dead, ...possible])].filter((address) =>
      address !== own && !answering.includes(address)
    );
    const probed = silent.filter(candidates.isProbed);
    candidates.countProbes(silent);
    return [...answering, ...probed];
  }

  function composeHeartbeat(targets: number): Heartbeat {
    const leaving = news.current();
    const base: Heartbeat = {
      kind: "heartbeat",
      ...announce(),
      interval: INTERVAL_STEP,
      draining: self.draining,
      ...(leaving.length > 0 && { leaving }),
    };
    // The longest interval takes two more digits than the one measured.
    const room = roomFor(targets) - codec.measure(base) - 2;
    const digest = room > 0 ? options.createDigest?.(room) : undefined;
    const full = digest === undefined ? base : { ...base, digest };
    const length = codec.measure(full) + 2 + HEADER_BYTES;
    return { ...full, interval: pace.waitAfter(length * targets) };
  }

  function sendRound(): void {
    const targets = chooseTargets();
    const heartbeat = composeHeartbeat(targets.length);
    interval = heartbeat.interval;
    const encoded = codec.encode(heartbeat);
    if (encoded.isErr()) return;
    for (const target of targets) sendBytes(target, encoded.value);
    sendCorrections(heartbeat);
  }

  /** Tells restarted peers with a lower incarnation the one that is known. */
  function sendCorrections(heartbeat: Heartbeat): void {
    const { digest: _digest, leaving: _leaving, ...rest } = heartbeat;
    for (const [peer, correction] of table.outdated()) {
      const known = [peer, correction.incarnation] as const;
      sequence += 1;
      send(correction.address, { ...rest, sequence, known });
    }
    table.clearOutdated();
  }

  function sendAggregates(): void {
    const pair = Math.floor(aggregates / AGGREGATES_PER_PAIR);
    aggregates += 1;
    const content = options.createAggregate?.() ?? null;
    const datagram = {
      kind: "aggregate",
      ...announce(),
      zone,
      content,
    } as const;
    const others = candidates.zones().filter((other) => other !== zone);
    for (const other of others) {
      const seeds = candidates.inZone(other).map((seed) => seed.address);
      const ranked = rankByRendezvous(`${zone} ${pair}`, seeds);
      for (const to of ranked.slice(0, AGGREGATE_TARGETS)) send(to, datagram);
    }
  }

  return {
    sendRound,
    sendAggregates,
    interval: () => interval,
    sent: () => ({ bytes: sentBytes, datagrams }),
  };
}
