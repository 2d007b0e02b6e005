/**
 * A daemon between callers and replicas: creates its components, starts them,
 * and stops them in order.
 */
import {
  createReplicaContact,
  createSendGate,
  createShutdownAdmission,
} from "@peridotvalve/admission";
import type { Neighborhood } from "@peridotvalve/backpressure";
import {
  createAnswerTimes,
  createCacheJournal,
  createCacheView,
  createEligibility,
  createPlacement,
  createPlacementQueue,
  createPrefillRates,
  createReplicaTable,
  createStoreCopies,
  createTransferPlanner,
  createWeightTargets,
  isOutdatedSalt,
  listSoftware,
  readSalt,
  type StoreTraits,
} from "@peridotvalve/dispatch";
import { createLease } from "@peridotvalve/lease";
import { createLoadView } from "@peridotvalve/load";
import { createUdpTransport } from "@peridotvalve/membership";
import { rankByRendezvous } from "@peridotvalve/rendezvous";
import { createCrashEvidence, createWindowBudget } from "@peridotvalve/retries";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import { setMaxListeners } from "node:events";
import type { Server } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { createCacheCleaner } from "./cache_cleaner.ts";
import { createCacheFeed } from "./cache_feed.ts";
import { createConnectionPools } from "./connection_pools.ts";
import { watchContact } from "./contact_watch.ts";
import { createCrashGuard } from "./crash_guard.ts";
import { takeChangedSettings } from "./changed_settings.ts";
import { createDetour } from "./detour.ts";
import { createEvacuations } from "./evacuations.ts";
import { createFleetPosition } from "./fleet_position.ts";
import { createFollowedCaches } from "./followed_caches.ts";
import { createFollowedTables, DAEMON_TABLE } from "./followed_tables.ts";
import { createFrontend } from "./frontend.ts";
import { createLoopLag } from "./loop_lag.ts";
import { createMeters } from "./meters.ts";
import { createOperatorRows } from "./operator_rows.ts";
import type { Address, GatewayOptions, GatewaySettings } from "./options.ts";
import { createPeerClient, createPeerServer } from "./peer_calls.ts";
import {
  createPeerMesh,
  DAEMONS_PER_COLLECTOR,
  type PeerMesh,
} from "./peer_mesh.ts";
import { refusesConnections } from "./refusal.ts";
import { createRegistration } from "./registration.ts";
import type { ColdTimeRecorder } from "./replica_control.ts";
import { createReplicaPace } from "./replica_pace.ts";
import { createReplicaClock } from "./replica_clock.ts";
import { createRelay } from "./relay.ts";
import { createRollouts } from "./rollouts.ts";
import { createSentPartsQueue } from "./sent_parts.ts";
import { createSoftwareRecords } from "./software_record.ts";
import { createStatusServer, listen } from "./status_server.ts";
import { createStateHolder, listStreamServices } from "./state_holder.ts";
import { createStreamRecords, STREAM_LIFETIME } from "./stream_records.ts";
import { createTrialTurns } from "./trial_turns.ts";

export abstract class Gateway {
  /** Counts a call to the platform's store in the metrics. */
  abstract recordStoreCall(kind: string, outcome: string): void;
  /** Records how much longer a replica stays cold, as it has answered. */
  abstract readonly recordColdTime: ColdTimeRecorder;
  /**
   * Takes changed settings; returns the names of those that have changed and
   * need a restart.
   */
  abstract applySettings(next: GatewaySettings): readonly string[];
  abstract start(): Promise<Result<void, string>>;
  /** Drains the requests in flight and closes; resolves when done. */
  abstract stop(reason: string): Promise<void>;
}

/** Time after a start in which the neighbors become known. */
const DISCOVERY_TIME: Milliseconds = 1_500;

/** Time within which the load balancer notices that a daemon is not ready. */
const READINESS_NOTICE: Milliseconds = 3_000;
/** Time left to exit before the process is killed by the platform. */
const GRACE_MARGIN: Milliseconds = 700;
const DRAIN_POLL_PERIOD: Milliseconds = 50;

/** Additional time between the weight orders of two daemons. */
const LEASE_HANDOVER_MARGIN: Milliseconds = 300;
/** Time for which a holder may act after it sent a renewal. */
const LEASE_USABLE_TIME: Milliseconds = 1_000;
const STORE_TIMEOUT: Milliseconds = 900;

/**
 * Share of the retry slack that the daemons use together, and the number of
 * daemons that may exist without being known here.
 */
const SLACK_SHARE = 0.6;
const SPARE_DAEMONS = 4;

/** Minimum number of connections from one daemon to one replica. */
const MIN_CONNECTIONS = 3;
const CONNECTION_SHARE = 0.85;
const DEFAULT_CONNECTIONS = 8;

/**
 * Time for which a replica is avoided after the last report that it loads
 * weights.
 */
const BUSY_AVOIDANCE: Milliseconds = 700;

/** A replica that sent data within this time is not treated as silent here. */
const MAX_LOCAL_SILENCE: Milliseconds = 900;

/** Duty of saving the records of streams. */
const STREAM_DUTY = "stream records";

/** Least time between two tries to place the prompts that wait. */
const PASS_SPACING: Milliseconds = 4;

/** Reason of attempts that are still open at the end of the grace period. */
const STOPPING = "the daemon stops";

export function createGateway(options: GatewayOptions): Gateway {
  const { clock, logger, headerCodec, codec, control } = options;
  let { settings } = options;
  const stopController = new AbortController();
  // Each task of the daemon waits for the signal.
  setMaxListeners(0, stopController.signal);
  const holder = createStateHolder(clock, logger, settings.topology.regions);
  const { regions } = settings.topology;
  const evacuations = createEvacuations({
    ...{ clock, logger, codec, regions },
    table: () => tables.operator,
  });
  const eligibility = createEligibility({
    regions,
    evacuated: evacuations.zones,
  });
  const pools = createConnectionPools((at) => crashGuard.recordDisconnect(at));
  const cache = createCacheView({ memoryOf: memoryOfHolder });
  const load = createLoadView(clock, {
    sharesRate: (id) => pace.sharesRate(id),
  });
  const journal = createCacheJournal({ clock, cache });
  const copies = createStoreCopies({ clock, cache });
  const peerClient = createPeerClient(clock, options.intake.peers);
  const weights = createWeightTargets({
    ...{ clock, suspendAwareClock: options.leaseClock },
    unheardSince: () => loopLag.unheardSince(),
    patience: () => settings.weightGracePeriod,
  });
  let isDraining = false;
  let hasReplicaList = false;
  let mesh: PeerMesh | undefined;
  /** True when the live neighbors of this daemon should be known. */
  let isDiscovered = false;

  const replicaClock = createReplicaClock(clock);
  const prefillRates = createPrefillRates({ now: () => clock.monotonic() });
  const shutdown = createShutdownAdmission(clock);
  const transfers = createTransferPlanner({
    clock,
    cache,
    prefillRate: prefillRates.rateOf,
    stores: listReachableStores,
    maySave: (address) => copies.isSettled(address),
    regions: settings.topology.regions,
  });

  const contact = createReplicaContact(clock);
  const replicas = createReplicaTable({
    clock,
    onReceived(id, since) {
      contact.recordReceived();
      coldReplicas.recordReceived(id, since);
    },
    onSilent: (entry, silence) => coldReplicas.suspect(entry, silence),
    onChange(change, { entry }) {
      logger.log("replica_changed", {
        service: entry.service,
        change,
        address: entry.address,
      }, { upstream: entry.id });
      if (change === "gone") pools.remove(entry.address);
      if (change === "gone" || change === "restarted") cache.clear(entry.id);
      if (change !== "weights") cacheFeed.refresh();
    },
    leavingSince: (entry) => statements.find(entry, "leaving")?.since,
    isPushingBack: (entry) => pushback.isActive(entry),
    drainLimit: () => settings.drainLimit,
  });

  const pace = createReplicaPace({
    ...{ clock, logger, load, replicas },
    neighborhood: listNeighborhood,
    position: createFleetPosition({
      registration: { peers: () => registration.peers() },
      ...{ name: settings.name, zone: settings.topology.zone },
      isListed: () => tables.daemons.version() > 0,
    }),
    tolerance: () => settings.coldTolerance,
    coldTraitsOf: (service) =>
      holder.current()?.state.services.get(service)?.cold,
    announce: () => mesh?.announce(),
  });
  const { statements, pushback, coldReplicas, limits, places } = pace;

  const registration = createRegistration({
    clock,
    logger,
    store: options.store,
    table: DAEMON_TABLE,
    self: {
      name: settings.name,
      zone: settings.topology.zone,
      host: settings.datagrams.host,
      datagrams: formatAddress(settings.datagrams),
      calls: formatAddress(settings.peers),
    },
    seeds: settings.seeds.map((seed) => ({
      name: formatAddress(seed),
      // Not known before the daemon's own row has been read.
      zone: "",
      host: seed.host,
      datagrams: formatAddress({
        host: seed.host,
        port: settings.datagrams.port,
      }),
      calls: formatAddress(seed),
    })),
  });
  options.storeEra.onReturn(() => {
    replicas.recordListReturn();
    software.renew();
    streams.renew();
    registration.renew();
    mesh?.announce();
  });
  const rank = (duty: string) => mesh?.rank(duty) ?? 0;
  const tables = createFollowedTables({
    ...{ clock, logger, codec, settings, replicas, registration, coldReplicas },
    feed: options.feed,
    rank,
    onOperatorRow: createOperatorRows({
      ...{ logger, codec, holder, weights },
      onState: () => cacheFeed.refresh(),
    }),
    onOperatorRows: evacuations.refresh,
    onReplicasKnown: () => hasReplicaList = true,
    onDaemonsRead: () => cacheFeed.refresh(),
  });
  const peerCount = () => Math.max(1, registration.peers().length);

  const followedCaches = createFollowedCaches({
    replicas,
    rank,
    stores: listStores,
    daemons: peerCount,
    groups: () => mesh?.groupCount() ?? 1,
    knowsDaemons: () => tables.daemons.version() > 0,
    knowsNeighbors: () => isDiscovered,
  });
  const placement = createPlacement({
    ...{ replicas, load, cache, weights, memoryOf, transfers },
    topology: settings.topology,
    eligibility,
    prefillRate: prefillRates.rateOf,
    slownessOf: prefillRates.slownessOf,
    mixedPrompts: () => settings.mixedPrompts,
    now: () => clock.monotonic(),
    onForecast: (route, forecast) => meters.recordForecast(route, forecast),
    knowsCaches: followedCaches.includesReplicas,
    hasRoom: pace.hasRoom,
    mayBegin: (service, version) =>
      software.stateOf(service, version) === "recorded",
  });
  const budget = createWindowBudget({
    clock,
    ratio: () => settings.retryRatio,
    window: settings.retryWindow,
    allowance: () =>
      Math.max(
        1,
        settings.retrySlack * SLACK_SHARE / (peerCount() + SPARE_DAEMONS),
      ),
  });
  const loopLag = createLoopLag(clock, options.leaseClock);
  const queue = createPlacementQueue(clock, {
    ...{ isLate: loopLag.isLate, isFair: () => settings.mixedPrompts },
    spacing: () => settings.mixedPrompts ? PASS_SPACING : 0,
  });
  const sentParts = createSentPartsQueue({
    cache,
    isNeeded: () => !followedCaches.includesReplicas(),
  });
  const meters = createMeters(clock, () => ({
    inFlight: frontend.inFlight(),
    intake: options.intake.readings(),
    peers: peerCount() - 1,
    waiting: queue.size(),
    stateVersion: holder.current()?.state.version ?? 0,
    stateAge: clock.monotonic() - tables.operator.lastContact(),
    listAge: clock.monotonic() - tables.replicas.lastContact(),
    replicas: replicas.all().map(({ entry, weights: known }) => ({
      service: entry.service,
      state: entry.state,
      weights: [...known].map((pair) => pair.join("@")).join(" "),
    })),
    evacuatedZones: evacuations.zones().size,
    limits: pace.listLimits(),
    cold: pace.listCold(),
    retriesLeft: new Map(
      [...holder.current()?.state.services.keys() ?? []]
        .map((service) => [service, budget.left(service)]),
    ),
  }));
  const crashes = createCrashEvidence({
    ...{ clock, hasTurn: createTrialTurns(() => mesh) },
    onProven: (suspect, count) => crashGuard.recordProof(suspect, count),
    onCondemned: (verdict) => crashGuard.recordVerdict(verdict),
    onLifted: (key) => crashGuard.recordRelease(key),
  });
  const crashGuard = createCrashGuard({
    ...{ clock, logger, crashes, replicas, refuses: refusesConnections },
    announce: () => mesh?.announce(),
    stopped: stopController.signal,
  });
  const software = createSoftwareRecords({
    ...{ clock, logger, store: options.store, name: settings.name },
    ...{ suspendAwareClock: options.leaseClock, storeEra: options.storeEra },
    services: () => listStreamServices(holder.current()),
    versionsOf: (service) => listSoftware(replicas.all(), service),
    usableVersionsOf: (service) =>
      listSoftware(replicas.usable(service), service),
    ...{ lifetime: STREAM_LIFETIME, isRemover: () => rank(STREAM_DUTY) === 0 },
  });
  const streams = createStreamRecords({
    ...{ clock, logger, store: options.store, name: settings.name },
    ...{ software, routes: holder.streamRoutes },
    writers: () =>
      (mesh?.groupCount() ?? 1) === 1
        ? peerCount()
        : Math.ceil(peerCount() / DAEMONS_PER_COLLECTOR),
    collector: () => mesh?.collector(STREAM_DUTY),
    neighbor: () => mesh?.listInContact()[0]?.calls,
    send: peerClient.sendStreams,
    rank: () => rank(STREAM_DUTY),
  });
  const relay = createRelay({
    ...{ clock, logger, headerCodec, pools, replicas, statements, pushback },
    ...{ limits, coldReplicas, places, load, cache, weights, placement },
    ...{ queue, meters, memory: options.intake.responses },
    budget,
    transfers,
    sentParts,
    prefillRates,
    answerTimes: createAnswerTimes(clock),
    shutdown,
    replicaClock,
    maxConnectionsOf,
    loopLag,
    sendGate: createSendGate({ clock }),
    crashGuard,
    contact,
    detour: createDetour({
      ...{ clock, logger, pools, headerCodec, eligibility },
      neighbors: () => mesh?.listInContact() ?? [],
    }),
    ...{ streams, software },
    stopped: stopController.signal,
  });
  const frontend = createFrontend({
    clock,
    logger,
    headerCodec,
    holder,
    relay,
    meters,
    contact,
    intake: options.intake,
    requestIdHeader: options.requestIdHeader,
  });
  const cacheFeed = createCacheFeed({
    clock,
    logger,
    control,
    cache,
    journal,
    copies,
    replicaClock,
    holders: followedCaches.list,
  });
  const cacheCleaner = createCacheCleaner({
    clock,
    logger,
    cache,
    control,
    stores: listStores,
    epochOf: (store) => copies.epochOf(store),
    isUnused(salt, age) {
      const known = readSalt(salt);
      if (known === undefined) return false;
      const { model, version } = known;
      return isOutdatedSalt(salt, weights, age) &&
        replicas.all().every((replica) =>
          (replica.weights.get(model) ?? Infinity) > version
        );
    },
    rank() {
      const names = registration.peers().map(({ name }) => ({
        name,
        weight: 1,
      }));
      const ranking = rankByRendezvous("cache cleaner", names);
      const rank = ranking.findIndex(({ name }) => name === settings.name);
      return rank < 0 ? names.length : rank;
    },
  });
  const lease = createLease({
    platform: options.store,
    clock: options.leaseClock,
    contenderClock: clock,
    name: "rollouts",
    holder: settings.name,
    duration: settings.leaseDuration + LEASE_HANDOVER_MARGIN +
      LEASE_USABLE_TIME,
    margin: settings.leaseDuration + LEASE_HANDOVER_MARGIN,
    timeout: STORE_TIMEOUT,
    storeAge: () => options.storeEra.age(),
  });
  const rollouts = createRollouts({
    clock,
    logger,
    lease,
    holder: settings.name,
    replicas,
    weights,
    control,
    patience: () => settings.weightGracePeriod,
    handoverDelay: settings.leaseDuration + LEASE_HANDOVER_MARGIN,
    onLoading() {
      avoidBusy(rollouts.loading());
      mesh?.announce();
    },
    rank: () => rank("rollouts"),
    mayContend: () => !isDraining && !contact.isLost(),
  });
  const servers: Server[] = [];

  function avoidBusy(ids: readonly string[]): void {
    for (const id of ids) replicas.avoid(id, BUSY_AVOIDANCE);
  }

  function listNeighborhood(): Neighborhood {
    return mesh?.neighborhood() ?? {
      zone: settings.topology.zone,
      ...{ isWholeFleet: true, members: peerCount(), live: 1 },
      ...{ rank: 0, fleetShare: 1 },
    };
  }

  function listStores(): readonly StoreTraits[] {
    const services = holder.current()?.state.services.values() ?? [];
    return [...services].flatMap(({ store }) => store ?? []);
  }

  function listReachableStores(): readonly StoreTraits[] {
    return listStores().filter(({ address }) =>
      copies.epochOf(address) !== undefined
    );
  }

  /** Stores keep all parts; a replica evicts what exceeds its memory. */
  function memoryOfHolder(holder: string): Tokens {
    const replica = replicas.find(holder);
    return replica === undefined ? Infinity : memoryOf(replica.entry.service);
  }

  function memoryOf(service: string): Tokens {
    const known = holder.current()?.state.services.get(service);
    return known?.engine?.memory ?? Infinity;
  }

  /** Divides the connections of a replica evenly between the daemons. */
  function maxConnectionsOf(service: string): number {
    const known = holder.current()?.state.services.get(service);
    if (known === undefined) return DEFAULT_CONNECTIONS;
    const share = known.maxConnections * CONNECTION_SHARE / (peerCount() + 1);
    return Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  const isReady = () =>
    !isDraining && holder.current() !== undefined && hasReplicaList &&
    !contact.isLost();

  function openStatusServer(listener: "ready" | "metrics"): Server {
    return createStatusServer({
      ...{ readyPath: options.readyPath, intake: options.intake, listener },
      isReady,
      metricsPath: settings.metrics?.path,
      renderMetrics: () => meters.render(),
    });
  }

  async function openServers(): Promise<Result<void, string>> {
    const peerServer = createPeerServer({
      ...{ tables: tables.byName, intake: options.intake },
      dumpStore: (store) => journal.dump(store),
      collect: streams.collect,
      onError: (error) =>
        logger.log("handler_failed", { reason: String(error) }),
    });
    const ready = openStatusServer("ready");
    const bindings: (readonly [Server, Address])[] = [
      [frontend.server, settings.front],
      [ready, settings.ready],
    ];
    bindings.push([peerServer, settings.peers]);
    bindings.push([frontend.neighborServer, settings.datagrams]);
    if (settings.metrics !== undefined) {
      bindings.push([openStatusServer("metrics"), settings.metrics]);
    }
    for (const [server, address] of bindings) {
      const opened = await listen(server, address);
      if (opened.isErr()) return opened;
      servers.push(server);
    }
    return Ok(undefined);
  }

  async function openMesh(): Promise<Result<void, string>> {
    const bound = { ...settings.datagrams, clock: options.leaseClock };
    const transport = await createUdpTransport(bound);
    if (transport.isErr()) return Err(String(transport.error));
    mesh = createPeerMesh({
      clock,
      logger,
      name: settings.name,
      zone: settings.topology.zone,
      transport: transport.value,
      calls: peerClient,
      registration,
      tables: tables.byName,
      load,
      replicas,
      cache,
      journal,
      copies,
      sentParts,
      crashes,
      statements: {
        apply: (news, waited) => statements.apply(news, waited),
        // What looks like the end of a replica is the cut of this daemon.
        compose: (limit) =>
          contact.isLost() ? undefined : statements.compose(limit),
      },
      contact,
      storeEra: options.storeEra,
      passesStoresOn: () => !followedCaches.includesReplicas(),
      busy() {
        const loading = rollouts.loading();
        avoidBusy(loading);
        return loading;
      },
      onBusy: avoidBusy,
      takeLoaded: () => rollouts.takeLoaded(),
      onLoaded(loaded) {
        for (const { replica, model, version } of loaded) {
          replicas.recordWeights(replica, model, version);
        }
      },
      // When this daemon still receives data from a replica, the network
      // between the peer and that replica has failed; the replica stays in use
      // here.
      onSilent: (ids) =>
        avoidBusy(ids.filter((id) => replicas.silence(id) > MAX_LOCAL_SILENCE)),
      onChange: () => cacheFeed.refresh(),
    });
    return Ok(undefined);
  }

  async function followCachesAfterDiscovery(
    signal: AbortSignal,
  ): Promise<void> {
    await clock.sleep(DISCOVERY_TIME, signal);
    isDiscovered = true;
    if (!signal.aborted) cacheFeed.refresh();
  }

  function startTasks(): void {
    const { signal } = stopController;
    const tasks: readonly Promise<void>[] = [
      ...[...tables.byName.values()].map((table) => table.run(signal)),
      registration.run(signal),
      rollouts.run(signal),
      software.run(signal),
      streams.run(signal),
      cacheCleaner.run(signal),
      meters.watchEventLoop(signal),
      followCachesAfterDiscovery(signal),
      loopLag.run(signal),
      watchContact(
        { clock, logger, contact, replicas, pushback, control },
        signal,
      ),
      ...(mesh === undefined ? [] : [mesh.run(signal)]),
    ];
    for (const task of tasks) {
      task.catch((error: unknown) => {
        logger.log("handler_failed", { reason: String(error) });
      });
    }
  }

  function logDrainEnd(elapsed: Milliseconds): void {
    const requests = frontend.inFlight();
    if (requests === 0) return logger.log("drain_finished", { elapsed });
    logger.log("drain_limit_reached", { requests, outcomes: 0, claimRows: 0 });
  }

  return new (class extends Gateway {
    override recordStoreCall(kind: string, outcome: string): void {
      meters.recordStoreCall(kind, outcome);
    }

    override recordColdTime = coldReplicas.recordHealth;

    override applySettings(next: GatewaySettings): readonly string[] {
      const taken = takeChangedSettings(settings, next);
      settings = taken.settings;
      return taken.needRestart;
    }

    override async start(): Promise<Result<void, string>> {
      const opened = await openMesh();
      if (opened.isErr()) return opened;
      startTasks();
      return await openServers();
    }

    override async stop(reason: string): Promise<void> {
      if (isDraining) return;
      isDraining = true;
      const started = clock.monotonic();
      const inFlight = frontend.inFlight();
      logger.log("drain_started", { reason, inFlight });
      frontend.disableKeepAlive();
      mesh?.setDraining();
      const end = started + settings.grace - GRACE_MARGIN;
      shutdown.begin(end);
      await clock.sleep(Math.min(READINESS_NOTICE, settings.grace / 2));
      // A late process runs its timers before it reads what waits.
      await frontend.readBacklog();
      frontend.closeIntake();
      while (frontend.inFlight() > 0 && clock.monotonic() < end) {
        await clock.sleep(DRAIN_POLL_PERIOD);
        frontend.closeIntake();
      }
      logDrainEnd(clock.monotonic() - started);
      stopController.abort();
      cacheFeed.stop();
      peerClient.close();
      for (const server of servers) server.close();
      await Promise.race([
        pools.close(STOPPING),
        clock.sleep(DRAIN_POLL_PERIOD),
      ]);
    }
  })();
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
