/**
 * Assembles one daemon and runs it until its graceful shutdown.
 */
import { createSendGate } from "@peridotvalve/admission";
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
import {
  type Configuration,
  type Milliseconds,
  SECOND,
} from "@peridotvalve/types";
import { Ok, type Result } from "ts-results-es";
import { createAdmissions } from "./admissions.ts";
import { createCache } from "./cache/cache.ts";
import { followCacheEvents } from "./cache/events.ts";
import { recordLinkUse } from "./cache/link.ts";
import { createLegacyProxy } from "./callers/legacy.ts";
import { handleChat, handleModels } from "./chat/handler.ts";
import {
  createConfigurationSource,
  FOLDER_CHANGE_ID,
  readBootstrapConfiguration,
  validateContent,
} from "./configuration_source.ts";
import { createFleet } from "./fleet/fleet.ts";
import { createPauseDetector } from "./fleet/pause_detector.ts";
import { pollFleetReports } from "./fleet/report_polling.ts";
import { createSlownessByKind } from "./fleet/slowness_by_kind.ts";
import { createGauges } from "./gauges.ts";
import { createIntake } from "./http/intake.ts";
import { readVmLimits } from "./http/vm.ts";
import { createLatencyWindows } from "./latency_windows.ts";
import { closeWithin, openListeners } from "./listeners.ts";
import { runClaimSweeping } from "./maintenance/claim_sweeping.ts";
import { createMeters } from "./meters.ts";
import {
  createOperatorHandlers,
  handleNotFound,
} from "./operators/handlers.ts";
import { createPeerNetwork } from "./peers/peer_network.ts";
import { createRpcHandler } from "./peers/rpc.ts";
import { createStamps } from "./peers/stamps.ts";
import { createPlacements } from "./placements.ts";
import { runRollouts } from "./rollouts/rollouts.ts";
import type { Runtime } from "./runtime.ts";
import { createServiceDirectory } from "./services/directory.ts";
import { handleService } from "./services/handler.ts";
import { createDrain } from "./shutdown.ts";
import { type DaemonStatus, readStatus } from "./status.ts";

/** Interval at which readers poll the platform's VM list, which may lag. */
const VM_LIST_POLL_INTERVAL: Milliseconds = 2_000;

/**
 * Number of intervals between two reads of the VM list by a daemon that is not
 * a reader. Heartbeats tell such a daemon about leaving replicas.
 */
const VM_LIST_INTERVALS_FOR_OTHERS = 150;

const PLATFORM_TIMEOUT: Milliseconds = 1_000;

/**
 * Time after which an idle listener closes its remaining connections by force.
 * A connection with a partial request header is neither idle nor counted as
 * pending work, so it would stay open.
 */
const CLOSE_GRACE_PERIOD: Milliseconds = 1_000;

/** Room for 250,000 prompts of a few blocks each, at 16 bytes an entry. */
const MAX_TRACKED_BLOCKS = 262_144;

export interface Daemon {
  readonly addresses: {
    readonly callers: string;
    readonly peers: string;
    readonly operators: string;
  };
  /** Completes pending requests up to the shutdown limits, then stops. */
  stop(reason: string): Promise<void>;
}

export interface DaemonOptions {
  readonly version?: string;
  /** Writes one log line; defaults to standard output. */
  readonly write?: (line: string) => void;
  /** Replaces the system clock in tests. */
  readonly clock?: Clock;
}

/** Returns an error if a listener or the peer socket cannot be opened. */
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
    level: toEventLevel(settings.logLevel),
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

  // The components below reference each other; none is used before all exist.
  const content = (): Configuration | undefined =>
    configuration.current()?.content;
  const regionOf = (zone: string): string =>
    Object.entries(content()?.regions ?? {})
      .find(([, region]) => region.availabilityZones.includes(zone))?.[0] ?? "";

  const isInRegion = (zone: string): boolean =>
    regionOf(zone) === settings.region;
  const tracker = createLoadTracker(clock);
  const created = await createPeerNetwork({
    settings,
    clock,
    hybridClock,
    stamps,
    log,
    tracker,
    onAnnounce: ({ peer: _, address, version }) =>
      configuration.announce(version, address),
    headReadAge: () => configuration.readAge(),
    onHeadRead: (age) => configuration.recordPeerRead(age),
    onUpstreamLeaving: (leaving) => fleet.recordLeaving(leaving),
    listLeaving: () => fleet.listLeaving(),
  });
  if (created.isErr()) return created;
  const peerNetwork = created.value;
  const { membership } = peerNetwork;

  const configuration: ConfigurationWatch = await createConfigurationSource(
    settings.bootstrapFolder,
    {
      platform,
      clock,
      isReader: () => membership.isReader("configuration", READERS_PER_ZONE),
      peerReadLimit: () =>
        Math.max(MIN_PEER_READ_LIMIT, 2 * membership.interval() + SECOND),
      peers: peerNetwork.addresses,
      fetchFromPeer: peerNetwork.fetchConfiguration,
      bootstrap: () => readBootstrapConfiguration(settings.bootstrapFolder),
      check: validateContent,
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
    tracker,
    slowness,
    log,
    availabilityZone: settings.availabilityZone,
    regionOf,
    onLeaving: (leaving) => membership.announceUpstreamLeaving(leaving),
    resumedAt: pauses.resumedAt,
    createHeaders: stamps.headers,
  });
  const prefixIndex = createPrefixIndex({
    clock,
    capacity: MAX_TRACKED_BLOCKS,
  });
  const linkBudget = createLinkBudget({
    clock,
    bytesPerSecond: () => {
      const settled = content()?.link;
      return settled === undefined ? 0 : settled.bytesPerSecond * settled.share;
    },
    liveDaemons: peerNetwork.countLiveDaemons,
    shareOf: (customer) => content()?.customers[customer]?.share ?? 1,
  });
  const link = recordLinkUse(linkBudget, {
    record(customer, bytes) {
      tracker.recordLinkBytes(customer, bytes);
      meters.linkBytes.add(bytes);
    },
    onRefused: (customer, bytes) =>
      log("link_budget_spent", { bytes }, { customer }),
    used: () => peerNetwork.linkRate(isInRegion),
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
    liveDaemons: peerNetwork.countLiveDaemons,
    readyReplicas: (group) => fleet.readyCount(group),
  });
  const placements = createPlacements({
    prefixIndex,
    link,
    random: createRandomSource(Date.now() | 0),
    origin: settings,
  });
  const drain = createDrain(clock);
  const intake = createIntake({ clock, log, vm: readVmLimits(settings) });
  /** What is wrong with the list of VMs; empty while nothing is. */
  let vmListFault = "";
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
    prefixIndex,
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
    firstTokenLatencies: createLatencyWindows(clock),
    sendGate: createSendGate({ clock }),
    drain,
    intake,
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
  const status = (): DaemonStatus => readStatus(runtime, peerNetwork);
  const opened = await openListeners(runtime, {
    callers: {
      "POST /v1/chat/completions": (exchange) => handleChat(runtime, exchange),
      "GET /v1/models": (exchange) => handleModels(runtime, exchange),
      "* /services/:path*": (exchange) => handleService(runtime, exchange),
      "* /:path*": handleNotFound,
    },
    peers: {
      "POST /rpc": createRpcHandler({
        "configuration.fetch": () => configuration.current() ?? null,
        "daemon.status": status,
        "events.read": (params) => ring.read(parseAfter(params)),
      }, { secret: settings.peerSecret, clock, stamps }),
    },
    operators: createOperatorHandlers({
      runtime,
      platform,
      ring,
      status,
      refreshGauges: gauges.refresh,
      readVersions: () =>
        peerNetwork.readVersions({
          name: settings.name,
          address: settings.listeners.peers,
          version: configuration.current()?.version,
        }),
    }),
  });
  if (opened.isErr()) {
    intake.close();
    await Promise.all([peerNetwork.close(), platform.close()]);
    return opened;
  }
  const listeners = opened.value;
  configuration.subscribe(({ content: now }) =>
    listeners.callers.setHeadersTimeout(now.limits.headersTimeout)
  );
  log("process_started", { version: options.version ?? "unknown" });
  peerNetwork.start();
  void pollVmList();
  void pauses.run(stopped.signal);
  void pollFleetReports({
    clock,
    tracker,
    fleet,
    availabilityZone: settings.availabilityZone,
    // A draining daemon does not read load reports for its peers. Without a
    // live peer it keeps reading for its own requests, because their replicas
    // would otherwise appear dead.
    isReader: (subject, count) =>
      membership.isReader(subject, count) ||
      (drain.isDraining() && membership.live().length === 0),
  }, stopped.signal);
  void followCacheEvents({
    clock,
    fleet,
    prefixIndex,
    log,
    availabilityZone: settings.availabilityZone,
    isReader: (subject, count) => membership.isReader(subject, count),
  }, stopped.signal);
  const leasedTaskOptions = {
    clock,
    platform,
    tracker,
    fleet,
    log,
    content,
    version: () => readVersion(configuration),
    holder: incarnation,
    leaseDuration: settings.leaseDuration,
    isReader: (subject: string, count: number) =>
      membership.isReader(subject, count),
  };
  // A draining daemon releases its leases at once, so that peers take over.
  void runRollouts(leasedTaskOptions, drain.started);
  void runClaimSweeping(leasedTaskOptions, drain.started);
  await configuration.start();
  if (configuration.current() !== undefined) log("process_ready", {});

  async function pollVmList(): Promise<void> {
    for (let period = 0; !stopped.signal.aborted; period += 1) {
      const isDue = period % VM_LIST_INTERVALS_FOR_OTHERS === 0 ||
        isVmListReader();
      if (isDue) await readVmList();
      await clock.sleep(VM_LIST_POLL_INTERVAL, stopped.signal);
    }
  }

  /**
   * The readers rotate with each interval. A list of 1,090 VMs is 118 KB; read
   * every 2 s by one daemon it would be several times the traffic that a daemon
   * may spend on control.
   */
  function isVmListReader(): boolean {
    const interval = Math.floor(clock.now() / VM_LIST_POLL_INTERVAL);
    return membership.isReader(`vms/${interval}`, READERS_PER_ZONE);
  }

  /** Logs what is wrong with the list when that has changed. */
  function reportVmList(reason: string): void {
    if (reason !== "" && reason !== vmListFault) {
      log("vm_list_unreadable", { reason });
    }
    vmListFault = reason;
  }

  async function readVmList(): Promise<void> {
    const list = await platform.readVms(PLATFORM_TIMEOUT);
    if (list.isErr()) return reportVmList(list.error.reason);
    const { vms, malformed } = list.value;
    reportVmList(malformed === 0 ? "" : `${malformed} entries are malformed`);
    peerNetwork.setVmList(vms);
    fleet.applyVmList(vms);
  }

  async function stop(reason: string): Promise<void> {
    const startedAt = clock.monotonic();
    log("drain_started", { reason, inFlight: drain.pending() });
    drain.start();
    membership.setDraining(true);
    // The load balancer sends requests until it sees the failed readiness check.
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
      await clock.sleep(CLOSE_GRACE_PERIOD);
      // A request may have arrived on a connection that was still open.
      if (isComplete) await drain.waitUntilIdle(settings.shutdown.limit);
    });
    await Promise.all(
      [listeners.peers, listeners.operators].map((listener) =>
        closeWithin(
          listener,
          listener.close(),
          () => clock.sleep(CLOSE_GRACE_PERIOD),
        )
      ),
    );
    await listeners.stopBroker();
    gauges.stop();
    intake.close();
    await Promise.all([
      peerNetwork.close(),
      fleet.close(),
      cache.close(),
      runtime.services.close(),
      runtime.legacy.close(),
      platform.close(),
    ]);
    log("drain_finished", { elapsed: clock.monotonic() - startedAt });
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

/** The operators' folder has no version, so it never lags behind a head. */
function readVersion(configuration: ConfigurationWatch): number {
  const current = configuration.current();
  if (current?.change === FOLDER_CHANGE_ID) return Number.POSITIVE_INFINITY;
  return current?.version ?? -1;
}

/** Daemons per availability zone that poll the head and the VM list. */
const READERS_PER_ZONE = 2;

/**
 * Age of the newest read of the head that a peer has told of, after which each
 * daemon reads it. The heartbeats of a large zone are further apart; one of them
 * may be lost.
 */
const MIN_PEER_READ_LIMIT: Milliseconds = 3 * SECOND;

function parseAfter(params: unknown): number {
  const after = (params as { readonly after?: unknown } | undefined)?.after;
  return typeof after === "number" ? after : 0;
}

function toEventLevel(
  level: ProcessSettings["logLevel"],
): "debug" | "info" | "warn" | "error" {
  if (level === "trace") return "debug";
  return level === "fatal" ? "error" : level;
}
