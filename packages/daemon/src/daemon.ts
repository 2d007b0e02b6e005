/**
 * Assembles one daemon from its parts and runs it to its graceful shutdown.
 */
import { randomUUID } from "node:crypto";
import { createClaims } from "@peridotvalve/claims";
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { ConfigurationWatch } from "@peridotvalve/configuration";
import {
  createEventLogger,
  createEventRing,
  createHybridClock,
} from "@peridotvalve/events";
import { createLoadTracker } from "@peridotvalve/load";
import { createHttpPlatform } from "@peridotvalve/tables";
import { createAttemptBudget } from "@peridotvalve/retries";
import {
  createLinkBudget,
  createPrefixIndex,
  createRandomSource,
  createSlownessDetector,
} from "@peridotvalve/routing";
import type { ProcessSettings } from "@peridotvalve/settings";
import type { Configuration, Milliseconds } from "@peridotvalve/types";
import { Ok, type Result } from "ts-results-es";
import { createAdmissions } from "./admissions.ts";
import { createCache } from "./cache/cache.ts";
import { followCacheEvents } from "./cache/events.ts";
import { recordLinkUse } from "./cache/link.ts";
import { createLegacyProxy } from "./callers/legacy.ts";
import { handleChat, handleModels } from "./chat/handler.ts";
import {
  checkContent,
  createConfigurationSource,
  FOLDER_CHANGE,
  readBootstrap,
} from "./configuration_source.ts";
import { createFleet } from "./fleet/fleet.ts";
import { createPauseDetector } from "./fleet/pause_detector.ts";
import { pollFleetReports } from "./fleet/report_polling.ts";
import { createSlownessByKind } from "./fleet/slowness_by_kind.ts";
import { createGauges } from "./gauges.ts";
import { createLatencyWindows } from "./latency_windows.ts";
import { closeWithin, openListeners } from "./listeners.ts";
import { runClaimSweeping } from "./maintenance/claim_sweeping.ts";
import { createMeters } from "./meters.ts";
import {
  answerNotFound,
  createOperatorHandlers,
} from "./operators/handlers.ts";
import { createNeighbours } from "./peers/neighbours.ts";
import { createRpcHandler } from "./peers/rpc.ts";
import { createStamps } from "./peers/stamps.ts";
import { createPlacements } from "./placements.ts";
import { runRollouts } from "./rollouts/rollouts.ts";
import type { Runtime } from "./runtime.ts";
import { createServiceDirectory } from "./services/directory.ts";
import { handleService } from "./services/handler.ts";
import { createDrain } from "./shutdown.ts";
import { type DaemonStatus, readStatus } from "./status.ts";

/** Interval at which the platform's lagging VM list is read. */
const VM_LIST_INTERVAL: Milliseconds = 2_000;

/**
 * Daemons that are not readers take the list once in so many intervals. Leaving
 * replicas reach them in heartbeats.
 */
const VM_LIST_PERIODS = 150;

const PLATFORM_TIMEOUT: Milliseconds = 1_000;

/**
 * Time in which a listener without work closes its connections. A connection
 * with half a request header is neither idle nor counted as work.
 */
const CLOSE_GRACE: Milliseconds = 1_000;

/** Blocks of 250,000 prompts at a few blocks each, at 16 bytes an entry. */
const BELIEF_CAPACITY = 262_144;

export interface Daemon {
  readonly addresses: {
    readonly callers: string;
    readonly peers: string;
    readonly operators: string;
  };
  /** Ends all work without cutting off a request, then stops. */
  stop(reason: string): Promise<void>;
}

export interface DaemonOptions {
  readonly version?: string;
  /** Writes one line of the log; standard output by default. */
  readonly write?: (line: string) => void;
  /** Replaces the system clock in tests. */
  readonly clock?: Clock;
}

export async function createDaemon(
  settings: ProcessSettings,
  options: DaemonOptions = {},
): Promise<Result<Daemon, string>> {
  const clock = options.clock ?? createSystemClock();
  const incarnation = `${settings.name}/${randomUUID()}`;
  const hybridClock = createHybridClock(clock);
  const ring = createEventRing();
  const logger = createEventLogger({
    process: { name: settings.name, incarnation },
    clock: hybridClock,
    level: toLevel(settings.logLevel),
    ring,
    ...(options.write === undefined ? {} : { write: options.write }),
  });
  const log = logger.log.bind(logger);
  const stamps = createStamps(hybridClock, log);
  const platform = createHttpPlatform({
    address: `http://${settings.platform}`,
    clock,
    createHeaders: stamps.headers,
  });
  const stopped = new AbortController();

  // The parts below refer to each other; each is only used after all exist.
  const content = (): Configuration | undefined =>
    configuration.current()?.content;
  const regionOf = (zone: string): string =>
    Object.entries(content()?.regions ?? {})
      .find(([, region]) => region.availabilityZones.includes(zone))?.[0] ?? "";

  const isInRegion = (zone: string): boolean =>
    regionOf(zone) === settings.region;
  const board = createLoadTracker(clock);
  const created = await createNeighbours({
    settings,
    clock,
    hybridClock,
    stamps,
    log,
    board,
    onAnnounce: ({ peer: _, address, version }) =>
      configuration.announce(version, address),
    onUpstreamLeaving: (leaving) => fleet.recordLeaving(leaving),
    listLeaving: () => fleet.listLeaving(),
  });
  if (created.isErr()) return created;
  const neighbours = created.value;
  const { membership } = neighbours;

  const configuration: ConfigurationWatch = await createConfigurationSource(
    settings.bootstrapFolder,
    {
      platform,
      clock,
      isReader: () => membership.isReader("configuration", READERS),
      silence: () => membership.silence(),
      peers: neighbours.addresses,
      fetchFromPeer: neighbours.fetchConfiguration,
      bootstrap: () => readBootstrap(settings.bootstrapFolder),
      check: checkContent,
      report(note) {
        if (note.kind === "adopted") {
          const change = configuration.current()?.change ?? "";
          const { version, source } = note;
          return log("configuration_adopted", { version, change, source });
        }
        if (note.kind === "rejected") {
          const { version, reason } = note;
          return log("configuration_rejected", { version, reason });
        }
        log("head_unreadable", { reason: note.reason });
      },
    },
  );

  const meters = createMeters(clock);
  const slowness = createSlownessByKind(() =>
    createSlownessDetector({ clock })
  );
  const pauses = createPauseDetector(clock);
  const fleet = createFleet({
    clock,
    board,
    slowness,
    log,
    availabilityZone: settings.availabilityZone,
    regionOf,
    onLeaving: (leaving) => membership.announceUpstreamLeaving(leaving),
    resumedAt: pauses.resumedAt,
    createHeaders: stamps.headers,
  });
  const beliefs = createPrefixIndex({ clock, capacity: BELIEF_CAPACITY });
  const linkBudget = createLinkBudget({
    clock,
    bytesPerSecond: () => {
      const settled = content()?.link;
      return settled === undefined ? 0 : settled.bytesPerSecond * settled.share;
    },
    liveDaemons: neighbours.countLive,
    shareOf: (customer) => content()?.customers[customer]?.share ?? 1,
  });
  const link = recordLinkUse(linkBudget, {
    record(customer, bytes) {
      board.recordLinkBytes(customer, bytes);
      meters.linkBytes.add(bytes);
    },
    onSpent: (customer, bytes) =>
      log("link_budget_spent", { bytes }, { customer }),
    used: () => neighbours.linkRate(isInRegion),
  });
  const cache = createCache({
    clock,
    log,
    link,
    origin: settings,
    regionOf,
    onBlock: (kind) => meters.blocks.add(1, { kind }),
  });
  const admissions = createAdmissions({
    clock,
    content,
    liveDaemons: neighbours.countLive,
    readyReplicas: (group) => fleet.readyCount(group),
  });
  const placements = createPlacements({
    beliefs,
    link,
    random: createRandomSource(Date.now() | 0),
    origin: settings,
  });
  const drain = createDrain(clock);
  const claims = createClaims({
    platform,
    clock,
    owner: incarnation,
    stamps,
  });
  const runtime: Runtime = {
    settings,
    incarnation,
    clock,
    configuration,
    fleet,
    beliefs,
    link,
    cache,
    services: createServiceDirectory({
      clock,
      createHeaders: stamps.headers,
    }),
    legacy: createLegacyProxy(),
    claims,
    retryBudget: createAttemptBudget({
      ratio: () => (content()?.policy.retryPercent ?? 0) / 100,
    }),
    hedgeBudget: createAttemptBudget({
      ratio: () => (content()?.policy.hedgePercent ?? 0) / 100,
    }),
    firstTokens: createLatencyWindows(clock),
    drain,
    meters,
    log,
    admissionOf: admissions.of,
    placementOf: placements.of,
  };
  configuration.subscribe(({ version, content: now }) => {
    fleet.apply(now);
    cache.apply(now);
    runtime.services.apply(now);
    admissions.apply(now);
    membership.setVersion(version);
  });

  const gauges = createGauges({
    registry: meters.registry,
    clock,
    configuration,
    membership,
  });
  const status = (): DaemonStatus => readStatus(runtime, neighbours);
  const opened = await openListeners(runtime, {
    callers: {
      "POST /v1/chat/completions": (exchange) => handleChat(runtime, exchange),
      "GET /v1/models": (exchange) => handleModels(runtime, exchange),
      "* /services/:path*": (exchange) => handleService(runtime, exchange),
      "* /:path*": answerNotFound,
    },
    peers: {
      "POST /rpc": createRpcHandler({
        "configuration.fetch": () => configuration.current() ?? null,
        "daemon.status": status,
        "events.read": (params) => ring.read(afterOf(params)),
      }, { secret: settings.peerSecret, clock, stamps }),
    },
    operators: createOperatorHandlers({
      runtime,
      platform,
      ring,
      status,
      refreshGauges: gauges.refresh,
      readVersions: () =>
        neighbours.readVersions({
          name: settings.name,
          address: settings.listeners.peers,
          version: configuration.current()?.version,
        }),
    }),
  });
  if (opened.isErr()) {
    await Promise.all([neighbours.close(), platform.close()]);
    return opened;
  }
  const listeners = opened.value;
  configuration.subscribe(({ content: now }) =>
    listeners.callers.setHeadersTimeout(now.limits.headersTimeout)
  );
  log("process_started", { version: options.version ?? "unknown" });
  neighbours.start();
  void followVmList();
  void pauses.run(stopped.signal);
  void pollFleetReports({
    clock,
    board,
    fleet,
    availabilityZone: settings.availabilityZone,
    // A draining daemon is no reader for others. Without a live peer it goes
    // on reading for its own requests, whose replicas would seem dead.
    isReader: (subject, count) =>
      membership.isReader(subject, count) ||
      (drain.isDraining() && membership.live().length === 0),
  }, stopped.signal);
  void followCacheEvents({
    clock,
    fleet,
    beliefs,
    log,
    availabilityZone: settings.availabilityZone,
    isReader: (subject, count) => membership.isReader(subject, count),
  }, stopped.signal);
  const owned = {
    clock,
    platform,
    board,
    fleet,
    log,
    content,
    version: () => readVersion(configuration),
    holder: incarnation,
    leaseDuration: settings.leaseDuration,
    isReader: (subject: string, count: number) =>
      membership.isReader(subject, count),
  };
  // A draining daemon gives its leases up at once; others go on.
  void runRollouts(owned, drain.started);
  void runClaimSweeping(owned, drain.started);
  await configuration.start();
  if (configuration.current() !== undefined) log("process_ready", {});

  async function followVmList(): Promise<void> {
    for (let period = 0; !stopped.signal.aborted; period += 1) {
      const isDue = period % VM_LIST_PERIODS === 0 || isVmListReader();
      if (isDue) await readVmList();
      await clock.sleep(VM_LIST_INTERVAL, stopped.signal);
    }
  }

  /**
   * The readers change with each interval: a list of 1,090 VMs is 118 KB, which
   * every 2 s is several times what control may cost a daemon.
   */
  function isVmListReader(): boolean {
    const interval = Math.floor(clock.now() / VM_LIST_INTERVAL);
    return membership.isReader(`vms/${interval}`, READERS);
  }

  async function readVmList(): Promise<void> {
    const list = await platform.readVms(PLATFORM_TIMEOUT);
    if (list.isErr()) return;
    const { vms } = list.value;
    neighbours.setListed(vms);
    fleet.applyVmList(vms);
  }

  async function stop(reason: string): Promise<void> {
    const begun = clock.monotonic();
    log("drain_started", { reason, inFlight: drain.pending() });
    drain.start();
    membership.setDraining(true);
    // The balancer goes on sending until it has seen the readiness fall.
    await clock.sleep(settings.shutdown.balancerDelay);
    const closed = listeners.callers.close();
    await drain.waitForRequests(settings.shutdown.requestLimit);
    const isComplete = await drain.waitUntilIdle(settings.shutdown.limit, {
      background: () => claims.idle(),
    });
    if (!isComplete) {
      log("drain_limit_reached", {
        requests: drain.pending("request"),
        outcomes: drain.pending("outcome"),
        claimRows: claims.pending(),
      });
    }
    stopped.abort();
    configuration.stop();
    await closeWithin(listeners.callers, closed, async () => {
      await clock.sleep(CLOSE_GRACE);
      // A request may have arrived on a connection that was still open.
      if (isComplete) await drain.waitUntilIdle(settings.shutdown.limit);
    });
    await Promise.all(
      [listeners.peers, listeners.operators].map((listener) =>
        closeWithin(listener, listener.close(), () => clock.sleep(CLOSE_GRACE))
      ),
    );
    await listeners.stopBroker();
    gauges.stop();
    await Promise.all([
      neighbours.close(),
      fleet.close(),
      cache.close(),
      runtime.services.close(),
      runtime.legacy.close(),
      platform.close(),
    ]);
    log("drain_finished", { elapsed: clock.monotonic() - begun });
    log("process_stopped", { reason });
  }

  return Ok({
    addresses: {
      callers: listeners.callers.address(),
      peers: listeners.peers.address(),
      operators: listeners.operators.address(),
    },
    stop,
  });
}

/** The folder of the operators has no version and is never behind a head. */
function readVersion(configuration: ConfigurationWatch): number {
  const current = configuration.current();
  if (current?.change === FOLDER_CHANGE) return Number.POSITIVE_INFINITY;
  return current?.version ?? -1;
}

/** Daemons of an availability zone that read the head and the VM list. */
const READERS = 2;

function afterOf(params: unknown): number {
  const after = (params as { readonly after?: unknown } | undefined)?.after;
  return typeof after === "number" ? after : 0;
}

function toLevel(
  level: ProcessSettings["logLevel"],
): "debug" | "info" | "warn" | "error" {
  if (level === "trace") return "debug";
  return level === "fatal" ? "error" : level;
}
