/**
 * One daemon between callers and replicas: puts the parts together, starts
 * them, and stops them in order.
 */
import {
  createCacheView,
  createLoadView,
  createPlacement,
  createReplicaTable,
  createTransferPlanner,
  createWaitingRoom,
  createWeightTargets,
  isOutdatedSalt,
  readSalt,
  type ReplicaEntry,
  type StoreTraits,
} from "@peridotvalve/dispatch";
import { createLease } from "@peridotvalve/lease";
import { createUdpTransport } from "@peridotvalve/membership";
import { rankByRendezvous } from "@peridotvalve/rendezvous";
import type { FeedRow } from "@peridotvalve/tables";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type { Server } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { createCacheCleaner } from "./cache_cleaner.ts";
import { type CacheHolder, createCacheFeed } from "./cache_feed.ts";
import { createChannels } from "./channels.ts";
import { createFollower } from "./follower.ts";
import { createFront } from "./front.ts";
import { createMeters } from "./meters.ts";
import type { Address, GatewayParts } from "./parts.ts";
import { createPeers } from "./peers.ts";
import { createRegistration } from "./registration.ts";
import { createReplicaClock } from "./replica_clock.ts";
import { createRelay } from "./relay.ts";
import { createRetryBudget } from "./retry_budget.ts";
import { createRollouts } from "./rollouts.ts";
import { createStatusServer, listen } from "./status_server.ts";
import { createStateHolder } from "./state_holder.ts";

export abstract class Gateway {
  /** Counts a call of the platform's store in the metrics. */
  abstract recordStoreCall(kind: string, outcome: string): void;
  abstract start(): Promise<Result<void, string>>;
  /** Finishes what is in flight and closes; resolves when all is done. */
  abstract stop(reason: string): Promise<void>;
}

/** The store answers a waiting call at the latest after this time. */
const STATE_WAIT: Milliseconds = 1_500;

/**
 * Entries change with every heartbeat of every replica, so they are read at a
 * pace of their own that leaves time for their bound on leaving replicas.
 */
const REPLICAS_PAUSE: Milliseconds = 900;
const DAEMONS_WAIT: Milliseconds = 10_000;

/** Daemons that read the cache events of one replica themselves. */
const CACHE_READERS = 10;

/** Time in which the balancer notices that a daemon is not ready. */
const NOTICE: Milliseconds = 3_000;
/** The process ends this long before it would be killed. */
const GRACE_MARGIN: Milliseconds = 700;
const DRAIN_LOOK: Milliseconds = 50;

/** Extra time between the orders of two daemons. */
const LEASE_MARGIN: Milliseconds = 300;
/** Time for which a holder may act after a renewal was sent. */
const LEASE_USE: Milliseconds = 1_000;
const STORE_TIMEOUT: Milliseconds = 900;

/**
 * Part of the slack that all daemons use together, and daemons that may be
 * there without being known here.
 */
const SLACK_SHARE = 0.6;
const SPARES = 4;

/** Connections kept by one daemon to one replica, at least. */
const LEAST_CONNECTIONS = 3;
const CONNECTION_SHARE = 0.85;
const USUAL_CONNECTIONS = 8;

/** A replica is avoided so long after the last word that it loads weights. */
const BUSY_AVOIDANCE: Milliseconds = 700;

/** A replica that was heard since then is not taken as silent here. */
const SILENCE: Milliseconds = 900;

const DAEMON_TABLE = "daemons";

/** Why attempts end that are still open at the end of the grace time. */
const STOPPING = "the daemon stops";

export function createGateway(parts: GatewayParts): Gateway {
  const { settings, clock, logger, dialect, codec, control } = parts;
  const stopping = new AbortController();
  const holder = createStateHolder(logger);
  const channels = createChannels();
  const cache = createCacheView();
  const load = createLoadView(clock);
  const weights = createWeightTargets({
    clock,
    patience: settings.weightPatience,
  });
  let isDraining = false;
  let replicasKnown = false;
  let operatorKnown = false;

  const replicaClock = createReplicaClock(clock);
  const transfers = createTransferPlanner({
    clock,
    cache,
    stores: answeringStores,
    regions: settings.origin.regions,
  });

  const replicas = createReplicaTable({
    clock,
    onChange(change, { entry }) {
      logger.log("replica_changed", {
        service: entry.service,
        change,
        address: entry.address,
      }, { upstream: entry.id });
      if (change === "gone") channels.forget(entry.address);
      if (change === "gone" || change === "restarted") cache.clear(entry.id);
      if (change !== "weights") cacheFeed.refresh();
    },
  });

  const operator = createFollower({
    clock,
    logger,
    feed: parts.feed,
    table: codec.operatorTable,
    wait: STATE_WAIT,
    pause: 0,
    onSnapshot(rows) {
      for (const row of rows) takeOperatorRow(row, !operatorKnown);
      operatorKnown = true;
    },
    onChange(rows) {
      for (const row of rows) takeOperatorRow(row, false);
    },
  });
  const entries = createFollower({
    clock,
    logger,
    feed: parts.feed,
    table: codec.replicaTable,
    wait: 0,
    pause: REPLICAS_PAUSE,
    onContact: () => replicas.noteContact(),
    onSnapshot(rows) {
      replicasKnown = true;
      replicas.replaceAll(rows.flatMap(readEntry));
    },
    onChange(rows, removed) {
      for (const key of removed) replicas.remove(key);
      for (const row of rows) {
        const [entry] = readEntry(row);
        if (entry === undefined) replicas.remove(row.key);
        else replicas.put(entry);
      }
    },
  });
  const registration = createRegistration({
    clock,
    logger,
    store: parts.store,
    table: DAEMON_TABLE,
    self: {
      name: settings.name,
      host: settings.datagrams.host,
      datagrams: textOf(settings.datagrams),
      calls: textOf(settings.peers),
    },
    seeds: settings.seeds.map((seed) => ({
      name: textOf(seed),
      host: seed.host,
      datagrams: textOf({ host: seed.host, port: settings.datagrams.port }),
      calls: textOf(seed),
    })),
  });
  const daemons = createFollower({
    clock,
    logger,
    feed: parts.feed,
    table: DAEMON_TABLE,
    wait: DAEMONS_WAIT,
    pause: 0,
    onSnapshot: (rows) => registration.takeAll(rows),
    onChange: (rows, removed) => registration.takeChanges(rows, removed),
  });
  const peerCount = () => Math.max(1, registration.peers().length);

  const placement = createPlacement({
    replicas,
    load,
    cache,
    weights,
    origin: settings.origin,
    memoryOf,
    transfers,
  });
  const budget = createRetryBudget({
    clock,
    ratio: settings.retryRatio,
    window: settings.retryWindow,
    allowance: () =>
      Math.max(1, settings.retrySlack * SLACK_SHARE / (peerCount() + SPARES)),
  });
  const room = createWaitingRoom(clock);
  const meters = createMeters(clock, () => ({
    inFlight: front.inFlight(),
    peers: peerCount() - 1,
    waiting: room.size(),
    stateVersion: holder.current()?.state.version ?? 0,
    stateAge: clock.monotonic() - operator.lastContact(),
    listAge: clock.monotonic() - entries.lastContact(),
    replicas: replicas.all().map(({ entry, weights: known }) => ({
      service: entry.service,
      state: entry.state,
      weights: [...known].map((pair) => pair.join("@")).join(" "),
    })),
    retriesLeft: new Map(
      [...holder.current()?.state.services.keys() ?? []]
        .map((service) => [service, budget.left(service)]),
    ),
  }));
  const relay = createRelay({
    clock,
    logger,
    dialect,
    channels,
    replicas,
    load,
    cache,
    weights,
    placement,
    room,
    meters,
    budget,
    transfers,
    replicaClock,
    connectionsOf,
    stopped: stopping.signal,
  });
  const front = createFront({
    clock,
    logger,
    dialect,
    holder,
    relay,
    meters,
    requestIdHeader: parts.requestIdHeader,
  });
  const cacheFeed = createCacheFeed({
    clock,
    logger,
    control,
    cache,
    replicaClock,
    holders: listHolders,
  });
  const cleaner = createCacheCleaner({
    clock,
    logger,
    cache,
    control,
    stores: listStores,
    epochOf: (store) => cacheFeed.epochOf(store),
    isUnused(salt, age) {
      const known = readSalt(salt);
      if (known === undefined) return false;
      const { model, version } = known;
      return isOutdatedSalt(salt, weights, age) &&
        replicas.all().every((replica) =>
          (replica.weights.get(model) ?? Infinity) > version
        );
    },
    turn() {
      const names = registration.peers().map(({ name }) => ({
        name,
        weight: 1,
      }));
      const turns = rankByRendezvous("cache cleaner", names);
      const turn = turns.findIndex(({ name }) => name === settings.name);
      return turn < 0 ? names.length : turn;
    },
  });
  const lease = createLease({
    platform: parts.store,
    clock: parts.leaseClock,
    name: "rollouts",
    holder: settings.name,
    duration: settings.leaseDuration + LEASE_MARGIN + LEASE_USE,
    margin: settings.leaseDuration + LEASE_MARGIN,
    timeout: STORE_TIMEOUT,
  });
  const rollouts = createRollouts({
    clock,
    logger,
    lease,
    holder: settings.name,
    replicas,
    weights,
    control,
    patience: settings.weightPatience,
    handover: settings.leaseDuration + LEASE_MARGIN,
    onLoading() {
      avoidBusy(rollouts.loading());
      peers?.announce();
    },
    mayContend: () => !isDraining,
  });
  const servers: Server[] = [];

  function avoidBusy(ids: readonly string[]): void {
    for (const id of ids) replicas.avoid(id, BUSY_AVOIDANCE);
  }

  function listStores(): readonly StoreTraits[] {
    const services = holder.current()?.state.services.values() ?? [];
    return [...services].flatMap(({ store }) => store ?? []);
  }

  function answeringStores(): readonly StoreTraits[] {
    return listStores().filter(({ address }) =>
      cacheFeed.epochOf(address) !== undefined
    );
  }

  function listHolders(): readonly CacheHolder[] {
    if (peerCount() > CACHE_READERS) return [];
    const engines = replicas.all()
      .filter(({ entry }) => entry.weights.size > 0)
      .map(({ entry: { id, address } }) => ({ id, address }));
    const stores = listStores().map(({ address }) => ({
      id: address,
      address,
    }));
    return [...engines, ...stores];
  }

  function memoryOf(service: string): Tokens {
    const known = holder.current()?.state.services.get(service);
    return known?.engine?.memory ?? Infinity;
  }

  /** The connections of a replica are shared evenly by the daemons. */
  function connectionsOf(service: string): number {
    const known = holder.current()?.state.services.get(service);
    if (known === undefined) return USUAL_CONNECTIONS;
    const share = known.maxConnections * CONNECTION_SHARE / (peerCount() + 1);
    return Math.max(LEAST_CONNECTIONS, Math.floor(share));
  }

  function takeOperatorRow({ key, value }: FeedRow, isOld: boolean): void {
    if (codec.isState(key)) {
      const state = codec.readState(value);
      if (state.isOk()) {
        holder.offer(state.value, "store");
        cacheFeed.refresh();
      } else logger.log("state_rejected", { reason: state.error });
      return;
    }
    const named = codec.readWeights(key, value);
    if (named === undefined) return;
    const { model, version } = named;
    if (version <= weights.target(model)) return;
    weights.name(model, version, { isOld });
    logger.log("weights_named", { model, version });
  }

  function readEntry({ key, value }: FeedRow): readonly ReplicaEntry[] {
    const entry = codec.readEntry(key, value);
    if (entry.isOk()) return [entry.value];
    logger.log("entry_rejected", { key, reason: entry.error });
    return [];
  }

  const isReady = () =>
    !isDraining && holder.current() !== undefined && replicasKnown;

  function openStatusServer(): Server {
    return createStatusServer({
      readyPath: parts.readyPath,
      isReady,
      metricsPath: settings.metrics?.path,
      renderMetrics: () => meters.render(),
    });
  }

  async function openServers(): Promise<Result<void, string>> {
    const peerServer = peers?.server;
    const ready = openStatusServer();
    const wanted: (readonly [Server, Address])[] = [
      [front.server, settings.front],
      [ready, settings.ready],
    ];
    if (peerServer !== undefined) wanted.push([peerServer, settings.peers]);
    if (settings.metrics !== undefined) {
      wanted.push([openStatusServer(), settings.metrics]);
    }
    for (const [server, address] of wanted) {
      const opened = await listen(server, address);
      if (opened.isErr()) return opened;
      servers.push(server);
    }
    return Ok(undefined);
  }

  let peers: ReturnType<typeof createPeers> | undefined;

  async function openPeers(): Promise<Result<void, string>> {
    const transport = await createUdpTransport(settings.datagrams);
    if (transport.isErr()) return Err(String(transport.error));
    peers = createPeers({
      clock,
      logger,
      name: settings.name,
      transport: transport.value,
      load,
      tables: new Map([
        [codec.operatorTable, operator],
        [codec.replicaTable, entries],
        [DAEMON_TABLE, daemons],
      ]),
      peers: () => registration.peers(),
      busy() {
        const loading = rollouts.loading();
        avoidBusy(loading);
        return loading;
      },
      onBusy: avoidBusy,
      silent: () => replicas.silent(),
      // Only a cut between the peer and the replica leaves it audible here.
      onSilent: (ids) =>
        avoidBusy(ids.filter((id) => replicas.silence(id) > SILENCE)),
    });
    return Ok(undefined);
  }

  function startTasks(): void {
    const { signal } = stopping;
    const tasks: readonly Promise<void>[] = [
      operator.run(signal),
      entries.run(signal),
      daemons.run(signal),
      registration.run(signal),
      rollouts.run(signal),
      cleaner.run(signal),
      meters.watchEventLoop(signal),
      ...(peers === undefined ? [] : [peers.run(signal)]),
    ];
    for (const task of tasks) {
      task.catch((error: unknown) => {
        logger.log("handler_failed", { reason: String(error) });
      });
    }
  }

  return new (class extends Gateway {
    override recordStoreCall(kind: string, outcome: string): void {
      meters.recordStoreCall(kind, outcome);
    }

    override async start(): Promise<Result<void, string>> {
      const opened = await openPeers();
      if (opened.isErr()) return opened;
      startTasks();
      return await openServers();
    }

    override async stop(reason: string): Promise<void> {
      if (isDraining) return;
      isDraining = true;
      const started = clock.monotonic();
      const inFlight = front.inFlight();
      logger.log("drain_started", { reason, inFlight });
      front.closeBehindAnswers();
      const end = started + settings.grace - GRACE_MARGIN;
      await clock.sleep(Math.min(NOTICE, settings.grace / 2));
      front.server.close();
      front.server.closeIdleConnections();
      while (front.inFlight() > 0 && clock.monotonic() < end) {
        await clock.sleep(DRAIN_LOOK);
        front.server.closeIdleConnections();
      }
      const elapsed = clock.monotonic() - started;
      logger.log("drain_finished", { elapsed });
      stopping.abort();
      cacheFeed.stop();
      for (const server of servers) server.close();
      await Promise.race([channels.close(STOPPING), clock.sleep(DRAIN_LOOK)]);
    }
  })();
}

function textOf({ host, port }: Address): string {
  return `${host}:${port}`;
}
