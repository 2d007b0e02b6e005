/**
 * Membership of the daemons of one availability zone. One task receives
 * datagrams, one sends rounds of heartbeats, one checks the silence of peers,
 * and one sends aggregates while this daemon is chosen for it.
 */
import { parseStamp } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { createCandidates, type ListedPeer } from "./candidates.ts";
import { createCodec } from "./codec.ts";
import {
  type Aggregate,
  type DatagramHeader,
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
import { createLeavingUpstreams } from "./leaving_upstreams.ts";
import { Membership, type MembershipOptions, type Traffic } from "./options.ts";
import { createPacer } from "./pacer.ts";
import {
  createPeerTable,
  createReplayGuard,
  type Peer,
  type PeerChange,
} from "./peer_table.ts";
import { createRankingCache } from "./ranking_cache.ts";
import { CHECK_PERIOD, createRunningTime } from "./running_time.ts";
import { createSender } from "./sender.ts";
import type { Packet } from "./transport.ts";

/** Time between aggregates to other zones (docs/design.md, section 4). */
const AGGREGATE_PERIOD: Milliseconds = 1_000;

/** Least time between two rounds, including early ones. */
const MIN_ROUND_GAP: Milliseconds = 200;

/** Shortest pause that is reported; shorter ones are usual on a busy VM. */
const REPORTED_PAUSE: Milliseconds = 1_000;

const AGGREGATE_SUBJECT = "aggregate";

export function createMembership(options: MembershipOptions): Membership {
  const { name, clock, zone, transport, hybridClock } = options;
  const self = {
    incarnation: createIncarnation(clock.now()),
    version: 0,
    draining: false,
  };
  const time = createRunningTime(clock);
  const codec = createCodec({
    ...options,
    hasNeighborZones: options.isNeighbor !== undefined,
  });
  const candidates = createCandidates(options.seeds);
  const table = createPeerTable(time, {
    isLeaving: (at) => candidates.isLeaving(at),
  });
  const aggregateGuard = createReplayGuard();
  const pacer = createPacer(clock, options.pace);
  const leavingUpstreams = createLeavingUpstreams();
  const rankingCache = createRankingCache();
  const sender = createSender({
    ...{
      options,
      codec,
      table,
      candidates,
      pacer,
      leavingUpstreams,
      self,
    },
  });
  const lastAggregateAt = new Map<string, Milliseconds>();
  let lastHeartbeatAt = clock.monotonic();
  let receivedBytes: Bytes = 0;
  let receivedDatagrams = 0;
  let rejectedDatagrams = 0;
  let earlyRound = new AbortController();
  let liveNames: readonly string[] | undefined;

  /** Starts the next round after `MIN_ROUND_GAP` if the budget allows it. */
  function requestEarlyRound(): void {
    if (pacer.hasCredit()) earlyRound.abort();
  }

  function reject(reason: Rejection, from: string): void {
    rejectedDatagrams += 1;
    options.onDatagramRejected?.(reason, from);
  }

  function receive({ from, bytes, waited = 0 }: Packet): void {
    receivedBytes += bytes.length + HEADER_BYTES;
    receivedDatagrams += 1;
    if (options.accepts?.(from) === false) {
      return reject("unknown sender", from);
    }
    const decoded = codec.decode(bytes);
    if (decoded.isErr()) return reject(decoded.error, from);
    const datagram = decoded.value;
    if (datagram.name === name) return receiveOwnName(datagram);
    if (datagram.kind === "heartbeat") receiveHeartbeat(datagram, from, waited);
    else receiveAggregate(datagram, from, waited);
  }

  function receiveHeartbeat(
    heartbeat: Heartbeat,
    from: string,
    waited: Milliseconds,
  ): void {
    const accepted = table.accept(heartbeat, from);
    if (accepted.isErr()) return reject(accepted.error, from);
    lastHeartbeatAt = clock.monotonic();
    notify(accepted.value);
    const [receiver, incarnation] = heartbeat.knownIncarnation ?? [];
    if (receiver === name && incarnation !== undefined) raiseAbove(incarnation);
    for (const upstream of heartbeat.leaving ?? []) {
      options.onUpstreamLeaving?.(upstream, heartbeat.name);
    }
    if (heartbeat.digest !== undefined) {
      options.onDigest?.(heartbeat.name, heartbeat.digest, waited);
    }
    observeHeader(heartbeat, from);
  }

  function receiveAggregate(
    aggregate: Aggregate,
    from: string,
    waited: Milliseconds,
  ): void {
    if (aggregate.zone === zone) return reject("malformed", from);
    const senderKey = `${aggregate.zone}/${aggregate.name}`;
    const checked = aggregateGuard.check(senderKey, aggregate);
    if (checked.isErr()) return reject(checked.error, from);
    aggregateGuard.record(senderKey, aggregate);
    lastAggregateAt.set(aggregate.zone, clock.monotonic());
    options.onAggregate?.(aggregate, waited);
    observeHeader(aggregate, from);
  }

  function observeHeader(header: DatagramHeader, address: string): void {
    const { name: peer, version } = header;
    const stamp = parseStamp(header.clock);
    const observed = stamp.map((value) => hybridClock.observe(value));
    if (observed.isOk() && observed.value.isErr()) {
      options.onClockDrift?.(peer, observed.value.error.ahead);
    }
    if (version > self.version) {
      options.onNewerVersion?.({ peer, address, version });
    }
  }

  /**
   * A datagram with this daemon's name is from an earlier run of it, or from
   * another daemon with the same name.
   */
  function receiveOwnName(datagram: DatagramHeader): void {
    if (datagram.incarnation !== self.incarnation) {
      raiseAbove(datagram.incarnation);
    }
  }

  /** Raises the own incarnation above `known` if it is not greater already. */
  function raiseAbove(known: string): void {
    if (!INCARNATION_PATTERN.test(known)) return;
    if (compareIncarnations(known, self.incarnation) <= 0) return;
    self.incarnation = raiseIncarnation(self.incarnation, known);
    options.onIncarnationRaised?.(self.incarnation);
    requestEarlyRound();
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
      earlyRound = new AbortController();
      sender.sendRound();
      leavingUpstreams.countRound();
      await clock.sleep(MIN_ROUND_GAP, signal);
      const remaining = Math.max(0, sender.interval() - MIN_ROUND_GAP);
      await clock.sleep(remaining, earlyRound.signal);
    }
  }

  async function checkSilence(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(CHECK_PERIOD, signal);
      time.advance();
      if (time.pause() >= REPORTED_PAUSE) options.onPaused?.(time.pause());
      notify(table.checkSilence());
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
    return rankingCache.rank(subject, live()).slice(0, count);
  }

  function isReader(subject: string, count: number): boolean {
    return rank(subject, count).includes(name);
  }

  return new (class extends Membership {
    override async run(signal: AbortSignal): Promise<void> {
      signal.addEventListener("abort", () => earlyRound.abort(), {
        once: true,
      });
      const tasks = [receiveAll, sendRounds, checkSilence, sendAggregates];
      await Promise.all(tasks.map((task) => task(signal)));
    }

    override setVersion(version: number): void {
      if (version <= self.version) return;
      self.version = version;
      requestEarlyRound();
    }

    override setDraining(draining: boolean): void {
      self.draining = draining;
      liveNames = undefined;
      requestEarlyRound();
    }

    override setVmList(listed: readonly ListedPeer[]): void {
      candidates.setList(listed);
    }

    override announceUpstreamLeaving(incarnation: string): void {
      leavingUpstreams.add(incarnation);
      requestEarlyRound();
    }

    override announce(): void {
      requestEarlyRound();
    }

    override announceToZones(): void {
      sender.sendAggregates();
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
      return clock.monotonic() - lastHeartbeatAt;
    }

    override zones(): ReadonlyMap<string, Milliseconds> {
      const now = clock.monotonic();
      return new Map(
        [...lastAggregateAt].map(([zone, at]) => [zone, now - at]),
      );
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
