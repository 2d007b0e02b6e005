/**
 * The exchange between daemons. Neighbors send each other heartbeats with their
 * load, the versions of the tables and the parts of stores that they read; one
 * daemon of each zone tells the other zones the load of its replicas. What a
 * heartbeat only announces is fetched with a call.
 *
 * In a small fleet all daemons are neighbors. In a large one, those of a zone
 * are, so that the cost of a daemon depends on the size of its zone only.
 */
import type { ReplicaContact } from "@peridotvalve/admission";
import type { Neighborhood, Statements } from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import type {
  CacheJournal,
  CacheView,
  ReplicaTable,
  StoreCopies,
} from "@peridotvalve/dispatch";
import { createHybridClock, type EventLogger } from "@peridotvalve/events";
import type { Delta, LoadView } from "@peridotvalve/load";
import {
  createMembership,
  logPeerChange,
  type Membership,
  type Pace,
  type PeerChange,
  type Transport,
} from "@peridotvalve/membership";
import type { CrashEvidence } from "@peridotvalve/retries";
import type { StoreEra } from "@peridotvalve/tables";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { PeerClient } from "./peer_calls.ts";
import {
  decodePeerDigest,
  decodeZoneDigest,
  encodePeerDigest,
  encodeZoneDigest,
  type LoadedWeights,
  measureJson,
  type PeerDigest,
  type ZoneDigest,
} from "./peer_digest.ts";
import type { PeerAddress, Registration } from "./registration.ts";
import type { SentPartsQueue } from "./sent_parts.ts";
import { createTableExchange } from "./table_exchange.ts";
import type { TableFollower } from "./table_follower.ts";

export interface PeerMeshOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly name: string;
  readonly zone: string;
  readonly transport: Transport;
  readonly calls: PeerClient;
  readonly registration: Registration;
  readonly tables: ReadonlyMap<string, TableFollower>;
  readonly load: LoadView;
  readonly replicas: ReplicaTable;
  readonly cache: CacheView;
  readonly journal: CacheJournal;
  readonly copies: StoreCopies;
  readonly sentParts: SentPartsQueue;
  readonly crashes: Pick<CrashEvidence, "compose" | "apply">;
  readonly statements: Pick<Statements, "compose" | "apply">;
  readonly contact: Pick<
    ReplicaContact,
    | "age"
    | "isLost"
    | "recordPeerReceived"
    | "recordZoneReceived"
    | "zoneAge"
  >;
  readonly storeEra: Pick<StoreEra, "current" | "hear">;
  /** False when all neighbors follow the stores themselves. */
  readonly passesStoresOn: () => boolean;
  /** Ids of the replicas that load weights on this daemon's order. */
  readonly busy: () => readonly string[];
  /** Takes loads that have ended on this daemon's order, to be told once. */
  readonly takeLoaded: () => readonly LoadedWeights[];
  /** Called when a peer reports loads that have ended on its order. */
  readonly onLoaded: (loaded: readonly LoadedWeights[]) => void;
  /** Called when a peer reports that replicas are not responding to it. */
  readonly onSilent: (replicas: readonly string[]) => void;
  /** Called when a peer reports that replicas are busy loading weights. */
  readonly onBusy: (replicas: readonly string[]) => void;
  /** Called when the live neighbors have changed. */
  readonly onChange: () => void;
}

export abstract class PeerMesh {
  abstract run(signal: AbortSignal): Promise<void>;
  /** Sends the present state to all zones without waiting for the next round. */
  abstract announce(): void;
  abstract setDraining(): void;
  /** Place of this daemon among the live neighbors for a duty; 0 goes first. */
  abstract rank(duty: string): number;
  /**
   * Address for calls of the neighbor that collects for this daemon, in a fleet
   * with several groups; undefined when this daemon is a collector itself.
   */
  abstract collector(duty: string): string | undefined;
  abstract liveCount(): number;
  /** Number of groups of neighbors in the fleet. */
  abstract groupCount(): number;
  /**
   * The live neighbors that reach replicas, those of the own zone first and
   * otherwise in a random order.
   */
  abstract listInContact(): readonly PeerAddress[];
  /** The neighbors of this daemon, with itself. */
  abstract neighborhood(): Neighborhood;
}

/** Fleets of at most this size have one group of neighbors. */
const MAX_SINGLE_GROUP = 16;

/** Daemons of one group whose records one of them collects. */
export const DAEMONS_PER_COLLECTOR = 8;

const PACE: Pace = {
  bytesPerSecond: 48_000,
  datagramsPerSecond: 50,
  minInterval: 250,
  minAnnouncedInterval: 600,
};

/** Age after which the load of another zone is dropped. */
const ZONE_LOAD_EXPIRY: Milliseconds = 5_000;

/** Time for which the busy replicas of another zone are passed on. */
const BUSY_EXPIRY: Milliseconds = 1_000;

const EXPIRY_CHECK_PERIOD: Milliseconds = 1_000;

/** Minimum interval between two requests for the contents of one store. */
const STORE_FETCH_PERIOD: Milliseconds = 1_000;

/** Share of a heartbeat's space that load may use. */
const LOAD_SHARE = 0.5;

/** Share of a heartbeat's space that statements of replicas may use. */
const STATEMENT_SHARE = 0.15;

/** Bytes of a digest around the statements. */
const STATEMENT_FIELD: Bytes = 8;

/** Share of a heartbeat's space that crashes of replicas may use. */
const CRASH_SHARE = 0.35;

/** Bytes of a digest around the news of crashes: the field's name and commas. */
const CRASH_FIELD: Bytes = 8;

/** Fits into a heartbeat of the daemons that pass it on. */
const MAX_ZONE_LOAD: Bytes = 500;

/** An older word of a replica is not worth its bytes. */
const MAX_RECEIVED_AGE: Milliseconds = 1_000;

const MAX_NAMES = 32;
const MAX_UNKNOWN_SENDERS = 200;

export function createPeerMesh(options: PeerMeshOptions): PeerMesh {
  const { clock, logger, name, zone, registration, load } = options;
  const { cache, journal, copies, sentParts, calls, crashes } = options;
  const tables = createTableExchange(options);
  const unknownSenders = new Set<string>();
  /** Names of the neighbors that reach no replica. */
  const outOfContact = new Set<string>();
  const storeFetches = new Map<string, Milliseconds>();
  /** Load of other zones: passed on once, and dropped when it is old. */
  const zoneLoads = new Map<
    string,
    { readonly load: Delta; readonly at: Milliseconds; isPassedOn: boolean }
  >();
  let zoneBusy: { readonly ids: readonly string[]; readonly at: Milliseconds } =
    { ids: [], at: -Infinity };

  const isSingleGroup = () => registration.peers().length <= MAX_SINGLE_GROUP;

  const membership: Membership = createMembership({
    ...{ name, zone, clock, transport: options.transport },
    hybridClock: createHybridClock(clock),
    seeds: [],
    pace: PACE,
    isNeighbor: (other) => other === zone || isSingleGroup(),
    accepts: (address) => registration.hasHost(hostOf(address)),
    createDigest: (limit) => encodePeerDigest(composeDigest(limit)),
    onDigest: applyDigest,
    createAggregate: (limit) => {
      const busy = options.busy().slice(0, MAX_NAMES);
      const summary = load.summarize(
        listZoneReplicas(),
        Math.min(MAX_ZONE_LOAD, limit - measureJson(busy)),
      );
      const loadField = summary === undefined ? {} : { load: summary };
      const digest = {
        busy,
        ...receivedField(options.contact.zoneAge()),
        ...loadField,
      };
      const left = limit - measureJson(encodeZoneDigest(digest)) - CRASH_FIELD;
      const news = crashes.compose(left, "zones");
      const crashField = news === undefined ? {} : { crashes: news };
      return encodeZoneDigest({ ...digest, ...crashField });
    },
    onAggregate({ zone: from, content }, waited) {
      const digest = decodeZoneDigest(content, waited);
      if (digest === undefined) return reject(from);
      if (digest.busy.length > 0) {
        options.onBusy(digest.busy);
        zoneBusy = { ids: digest.busy, at: clock.monotonic() };
      }
      if (digest.receivedAge !== undefined) {
        options.contact.recordZoneReceived(digest.receivedAge);
      }
      applyCrashes(from, digest);
      if (digest.load !== undefined) {
        applyZoneLoad(from, digest.load);
        const at = clock.monotonic();
        zoneLoads.set(from, { load: digest.load, at, isPassedOn: false });
      }
    },
    onChange,
    onDatagramRejected(reason, from) {
      // Daemons know each other at different times, so one line is enough.
      if (reason === "unknown sender") {
        if (unknownSenders.has(from)) return;
        if (unknownSenders.size < MAX_UNKNOWN_SENDERS) unknownSenders.add(from);
      }
      logger.log("datagram_rejected", { reason, from });
    },
    onClockDrift: (peer, ahead) => logger.log("clock_drift", { peer, ahead }),
    onIncarnationRaised: (incarnation) =>
      logger.log("incarnation_raised", { incarnation }),
  });

  function reject(from: string, reason = "malformed"): void {
    logger.log("datagram_rejected", { reason, from });
  }

  function applyCrashes(
    from: string,
    { crashes: news, hasMalformedCrashes }: ZoneDigest,
  ): void {
    if (hasMalformedCrashes === true) reject(from, "malformed news of crashes");
    if (news !== undefined) crashes.apply(news);
  }

  let knownNeighborhood: Neighborhood | undefined;

  function measureNeighborhood(): Neighborhood {
    const listed = registration.peers();
    const isWholeFleet = isSingleGroup();
    const inGroup = isWholeFleet
      ? listed.length
      : listed.filter((peer) => peer.zone === zone).length;
    const heard = membership.peers();
    const live = heard.filter(({ state }) => state !== "dead");
    // Rows of daemons that are gone for good stay listed.
    const members = Math.max(
      1,
      heard.length === 0 ? inGroup : heard.length + 1,
    );
    return {
      zone,
      isWholeFleet,
      members,
      live: 1 + live.length,
      rank: live.filter((peer) => peer.name < name).length,
      fleetShare: isWholeFleet
        ? 1
        : Math.min(1, inGroup / Math.max(1, listed.length)),
    };
  }

  function onChange(change: PeerChange): void {
    knownNeighborhood = undefined;
    logPeerChange(logger.log.bind(logger), change);
    const { kind, peer } = change;
    const isGone = kind === "dead" || kind === "restarted" ||
      kind === "forgotten";
    if (isGone) {
      load.removePeer(peer.name);
      outOfContact.delete(peer.name);
    }
    options.onChange();
  }

  function listZoneReplicas(): readonly string[] {
    return options.replicas.all()
      .filter(({ entry }) => entry.zone === zone)
      .map(({ entry }) => entry.id);
  }

  function listBusy(): readonly string[] {
    const isRecent = clock.monotonic() - zoneBusy.at < BUSY_EXPIRY;
    const ids = [...options.busy(), ...isRecent ? zoneBusy.ids : []];
    return [...new Set(ids)].slice(0, MAX_NAMES);
  }

  /** One zone's load that has not been passed on, if it fits. */
  function takeZoneLoad(limit: Bytes): PeerDigest["zoneLoad"] {
    for (const [from, entry] of zoneLoads) {
      const zoneLoad = [from, entry.load] as const;
      if (entry.isPassedOn || measureJson(zoneLoad) > limit) continue;
      entry.isPassedOn = true;
      return zoneLoad;
    }
    return undefined;
  }

  function composeDigest(limit: Bytes): PeerDigest {
    const era = options.storeEra.current();
    const loaded = options.takeLoaded();
    const base: PeerDigest = {
      tables: tables.listNews(),
      ...(era > 0 && { storeEra: era }),
      busy: listBusy(),
      ...(loaded.length > 0 && { loaded }),
      ...(options.contact.isLost()
        ? { silent: [], isOutOfContact: true }
        : { silent: options.replicas.silent().slice(0, MAX_NAMES) }),
      ...receivedField(options.contact.age()),
      sent: [],
      pages: [],
    };
    const loadDigest = load.composeDigest(limit * LOAD_SHARE);
    const withLoad = loadDigest === undefined
      ? base
      : { ...base, load: loadDigest };
    const left = () => limit - measureJson(encodePeerDigest(digest));
    let digest: PeerDigest = withLoad;
    const crashNews = crashes.compose(
      Math.min(left() - CRASH_FIELD, limit * CRASH_SHARE),
      "neighbors",
    );
    if (crashNews !== undefined) digest = { ...digest, crashes: crashNews };
    const statements = options.statements.compose(
      Math.min(left() - STATEMENT_FIELD, limit * STATEMENT_SHARE),
    );
    if (statements !== undefined) digest = { ...digest, statements };
    const zoneLoad = takeZoneLoad(left());
    if (zoneLoad !== undefined) digest = { ...digest, zoneLoad };
    if (options.passesStoresOn()) {
      digest = { ...digest, pages: journal.compose(left() / 2) };
    }
    return { ...digest, sent: sentParts.take(left()) };
  }

  function applyDigest(peer: string, wire: unknown, waited: number): void {
    const digest = decodePeerDigest(wire, waited);
    if (digest === undefined) return reject(peer);
    if (digest.storeEra !== undefined) options.storeEra.hear(digest.storeEra);
    if (digest.busy.length > 0) options.onBusy(digest.busy);
    if (digest.loaded !== undefined) options.onLoaded(digest.loaded);
    if (digest.receivedAge !== undefined) {
      options.contact.recordPeerReceived(digest.receivedAge);
    }
    if (digest.isOutOfContact === true) outOfContact.add(peer);
    else outOfContact.delete(peer);
    if (digest.silent.length > 0) options.onSilent(digest.silent);
    if (digest.load !== undefined) {
      const applied = load.applyDigest(peer, digest.load);
      if (applied.isErr()) reject(peer);
    }
    applyCrashes(peer, digest);
    if (digest.statements !== undefined) {
      const isApplied = options.statements.apply(digest.statements, waited);
      if (!isApplied) reject(peer, "malformed statements");
    }
    if (digest.zoneLoad !== undefined) applyZoneLoad(...digest.zoneLoad);
    for (const { replica, salt, parts } of digest.sent) {
      if (options.replicas.find(replica) === undefined) continue;
      const shared = parts.map(([id, tokens]) => ({ id, tokens }));
      cache.expect(replica, salt, shared);
    }
    for (const page of digest.pages) {
      const isNeeded = copies.apply(peer, page);
      if (isNeeded) void fetchStore(peer, page.store);
    }
    for (const news of digest.tables) tables.applyNews(peer, news);
  }

  function applyZoneLoad(from: string, zoneLoad: Delta): void {
    if (from === zone) return;
    const applied = load.applyDigest(zoneKey(from), zoneLoad);
    if (applied.isErr()) return reject(from);
    const known = zoneLoads.get(from);
    const at = clock.monotonic();
    const isPassedOn = known?.isPassedOn ?? true;
    zoneLoads.set(from, { load: known?.load ?? zoneLoad, at, isPassedOn });
  }

  async function fetchStore(peer: string, store: string): Promise<void> {
    const address = registration.find(peer)?.calls;
    const last = storeFetches.get(store) ?? -Infinity;
    const now = clock.monotonic();
    if (address === undefined || now - last < STORE_FETCH_PERIOD) return;
    storeFetches.set(store, now);
    const read = await calls.readStore(address, store);
    if (read.isErr()) {
      logger.log("peer_unreachable", { peer, reason: read.error });
      return;
    }
    copies.replace(peer, store, read.value);
    const parts = read.value.parts.length;
    logger.log("store_copied", { peer, store, parts });
  }

  async function dropExpiredLoads(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(EXPIRY_CHECK_PERIOD, signal);
      const oldest = clock.monotonic() - ZONE_LOAD_EXPIRY;
      for (const [from, { at }] of zoneLoads) {
        if (at >= oldest) continue;
        zoneLoads.delete(from);
        load.removePeer(zoneKey(from));
      }
    }
  }

  return new (class extends PeerMesh {
    override async run(signal: AbortSignal): Promise<void> {
      registration.onChange((listed) => {
        knownNeighborhood = undefined;
        membership.setVmList(
          listed.map(({ name, datagrams, zone }) => ({
            ...{ name, zone, address: datagrams },
            state: "live" as const,
          })),
        );
      });
      await Promise.all([
        membership.run(signal),
        tables.fetchInitialRows(signal),
        dropExpiredLoads(signal),
      ]);
    }

    override announce(): void {
      membership.announce();
      if (!isSingleGroup()) membership.announceToZones();
    }

    override setDraining(): void {
      membership.setDraining(true);
    }

    override rank(duty: string): number {
      const rank = membership.readers(duty, Infinity).indexOf(name);
      return rank < 0 ? membership.live().length : rank;
    }

    override collector(duty: string): string | undefined {
      if (isSingleGroup()) return undefined;
      const ranked = membership.readers(duty, Infinity);
      const collectors = Math.ceil(ranked.length / DAEMONS_PER_COLLECTOR);
      const place = ranked.indexOf(name);
      const chosen = place < collectors
        ? undefined
        : ranked[place % collectors];
      return chosen === undefined
        ? undefined
        : registration.find(chosen)?.calls;
    }

    override liveCount(): number {
      return membership.live().length;
    }

    override neighborhood(): Neighborhood {
      knownNeighborhood ??= measureNeighborhood();
      return knownNeighborhood;
    }

    override listInContact(): readonly PeerAddress[] {
      const found = membership.peers()
        .filter(({ name: peer, state }) =>
          state === "live" && !outOfContact.has(peer)
        )
        .flatMap((peer) => registration.find(peer.name) ?? []);
      return sortRandomly(found, (peer) => peer.zone === zone ? 0 : 1);
    }

    override groupCount(): number {
      if (isSingleGroup()) return 1;
      return new Set(registration.peers().map((peer) => peer.zone)).size;
    }
  })();
}

function receivedField(
  age: Milliseconds | undefined,
): { readonly receivedAge?: Milliseconds } {
  if (age === undefined || age > MAX_RECEIVED_AGE) return {};
  return { receivedAge: age };
}

function zoneKey(zone: string): string {
  return `zone ${zone}`;
}

/** Sorts by rank, and those of one rank randomly. */
function sortRandomly<Item>(
  items: readonly Item[],
  rankOf: (item: Item) => number,
): readonly Item[] {
  return items.map((item) => ({ item, order: rankOf(item) + Math.random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}
