/**
 * Membership of the daemons of one availability zone: one task that receives,
 * one that sends rounds of heartbeats, one that judges silence, and one that
 * sends aggregates when this daemon is chosen.
 */
import { parseStamp } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { createCandidates, type ListedPeer } from "./candidates.ts";
import { createCodec } from "./codec.ts";
import {
  type Aggregate,
  type Announcement,
  HEADER_BYTES,
  type Heartbeat,
  type Rejection,
} from "./datagram.ts";
import {
  compareIncarnations,
  createIncarnation,
  INCARNATION_PATTERN,
  raiseIncarnation,
} from "./incarnation.ts";
import { createNews } from "./news.ts";
import { Membership, type MembershipOptions, type Traffic } from "./options.ts";
import { createPace } from "./pace.ts";
import {
  createPeerTable,
  createReplayGuard,
  type Peer,
  type PeerChange,
} from "./peer_table.ts";
import { createReaders } from "./readers.ts";
import { CHECK_PERIOD, createRunningTime } from "./running_time.ts";
import { createSender } from "./sender.ts";
import type { Packet } from "./transport.ts";

/** Time between aggregates to other zones (docs/design.md, section 4). */
const AGGREGATE_PERIOD: Milliseconds = 1_000;

/** Least time between two rounds, also for urgent news. */
const URGENT_GAP: Milliseconds = 200;

/** A pause worth telling of; shorter ones are usual on a busy VM. */
const TOLD_PAUSE: Milliseconds = 1_000;

const AGGREGATE_SUBJECT = "aggregate";

export function createMembership(options: MembershipOptions): Membership {
  const { name, clock, zone, transport, hybridClock } = options;
  const self = {
    incarnation: createIncarnation(clock.now()),
    version: 0,
    draining: false,
  };
  const time = createRunningTime(clock);
  const codec = createCodec(options);
  const candidates = createCandidates(options.seeds);
  const table = createPeerTable(time, {
    isLeaving: (at) => candidates.isLeaving(at),
  });
  const aggregateGuard = createReplayGuard();
  const pace = createPace(clock);
  const news = createNews();
  const readers = createReaders();
  const sender = createSender({
    ...{ options, codec, table, candidates, pace, news, self },
  });
  const zoneHeard = new Map<string, Milliseconds>();
  let lastAccepted = clock.monotonic();
  let receivedBytes: Bytes = 0;
  let receivedDatagrams = 0;
  let rejectedDatagrams = 0;
  let urgent = new AbortController();
  let liveNames: readonly string[] | undefined;

  function hurry(): void {
    if (pace.hasCredit()) urgent.abort();
  }

  function reject(reason: Rejection, from: string): void {
    rejectedDatagrams += 1;
    options.onReject?.(reason, from);
  }

  function receive({ from, bytes }: Packet): void {
    receivedBytes += bytes.length + HEADER_BYTES;
    receivedDatagrams += 1;
    const decoded = codec.decode(bytes);
    if (decoded.isErr()) return reject(decoded.error, from);
    const datagram = decoded.value;
    if (datagram.name === name) return compareSelf(datagram);
    if (datagram.kind === "heartbeat") receiveHeartbeat(datagram, from);
    else receiveAggregate(datagram, from);
  }

  function receiveHeartbeat(heartbeat: Heartbeat, from: string): void {
    const accepted = table.accept(heartbeat, from);
    if (accepted.isErr()) return reject(accepted.error, from);
    lastAccepted = clock.monotonic();
    notify(accepted.value);
    const [receiver, incarnation] = heartbeat.known ?? [];
    if (receiver === name && incarnation !== undefined) outrun(incarnation);
    for (const upstream of heartbeat.leaving ?? []) {
      options.onUpstreamLeaving?.(upstream, heartbeat.name);
    }
    if (heartbeat.digest !== undefined) {
      options.onDigest?.(heartbeat.name, heartbeat.digest);
    }
    takeOver(heartbeat, from);
  }

  function receiveAggregate(aggregate: Aggregate, from: string): void {
    if (aggregate.zone === zone) return reject("malformed", from);
    const sender = `${aggregate.zone}/${aggregate.name}`;
    const checked = aggregateGuard.check(sender, aggregate);
    if (checked.isErr()) return reject(checked.error, from);
    aggregateGuard.note(sender, aggregate);
    zoneHeard.set(aggregate.zone, clock.monotonic());
    options.onAggregate?.(aggregate);
    takeOver(aggregate, from);
  }

  function takeOver(announcement: Announcement, address: string): void {
    const { name: peer, version } = announcement;
    const stamp = parseStamp(announcement.clock);
    const observed = stamp.map((value) => hybridClock.observe(value));
    if (observed.isOk() && observed.value.isErr()) {
      options.onDrift?.(peer, observed.value.error.ahead);
    }
    if (version > self.version) {
      options.onAnnounce?.({ peer, address, version });
    }
  }

  /** A datagram with this daemon's name is from an earlier life or a twin. */
  function compareSelf(datagram: Announcement): void {
    if (datagram.incarnation !== self.incarnation) {
      outrun(datagram.incarnation);
    }
  }

  function outrun(known: string): void {
    if (!INCARNATION_PATTERN.test(known)) return;
    if (compareIncarnations(known, self.incarnation) <= 0) return;
    self.incarnation = raiseIncarnation(self.incarnation, known);
    options.onRaise?.(self.incarnation);
    hurry();
  }

  function notify(changes: readonly PeerChange[]): void {
    if (changes.length > 0) liveNames = undefined;
    for (const change of changes) options.onChange?.(change);
  }

  async function receiveAll(signal: AbortSignal): Promise<void> {
    for await (const packet of transport.receive(signal)) receive(packet);
  }

  async function sendRounds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      urgent = new AbortController();
      sender.sendRound();
      news.countRound();
      await clock.sleep(URGENT_GAP, signal);
      const rest = Math.max(0, sender.interval() - URGENT_GAP);
      await clock.sleep(rest, urgent.signal);
    }
  }

  async function judgeSilence(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(CHECK_PERIOD, signal);
      time.advance();
      if (time.pause() >= TOLD_PAUSE) options.onPause?.(time.pause());
      notify(table.judge());
    }
  }

  async function sendAggregates(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(AGGREGATE_PERIOD, signal);
      if (isReader(AGGREGATE_SUBJECT, 1)) sender.sendAggregates();
    }
  }

  function live(): readonly string[] {
    liveNames ??= listLive();
    return liveNames;
  }

  function listLive(): readonly string[] {
    const peers = table.list().filter((peer) => peer.state === "live");
    const names = peers.map((peer) => peer.name);
    return (self.draining ? names : [...names, name]).sort();
  }

  function rank(subject: string, count: number): readonly string[] {
    return readers.rank(subject, live()).slice(0, count);
  }

  function isReader(subject: string, count: number): boolean {
    return rank(subject, count).includes(name);
  }

  return new (class extends Membership {
    override async run(signal: AbortSignal): Promise<void> {
      signal.addEventListener("abort", () => urgent.abort(), { once: true });
      const tasks = [receiveAll, sendRounds, judgeSilence, sendAggregates];
      await Promise.all(tasks.map((task) => task(signal)));
    }

    override setVersion(version: number): void {
      if (version <= self.version) return;
      self.version = version;
      hurry();
    }

    override setDraining(draining: boolean): void {
      self.draining = draining;
      liveNames = undefined;
      hurry();
    }

    override setListed(listed: readonly ListedPeer[]): void {
      candidates.setList(listed);
    }

    override reportUpstreamLeaving(incarnation: string): void {
      news.add(incarnation);
      hurry();
    }

    override identity() {
      return { name, incarnation: self.incarnation };
    }

    override peers(): readonly Peer[] {
      return table.list();
    }

    override live(): readonly string[] {
      return live();
    }

    override readers(subject: string, count: number): readonly string[] {
      return rank(subject, count);
    }

    override isReader(subject: string, count: number): boolean {
      return isReader(subject, count);
    }

    override silence(): Milliseconds {
      return clock.monotonic() - lastAccepted;
    }

    override zones(): ReadonlyMap<string, Milliseconds> {
      const now = clock.monotonic();
      return new Map([...zoneHeard].map(([zone, at]) => [zone, now - at]));
    }

    override traffic(): Traffic {
      const { bytes, datagrams } = sender.sent();
      return {
        sentBytes: bytes,
        sentDatagrams: datagrams,
        ...{ receivedBytes, receivedDatagrams, rejectedDatagrams },
      };
    }

    override interval(): Milliseconds {
      return sender.interval();
    }
  })();
}
