/**
 * The gateway's counters, gauges and latency histograms. Each label has a small
 * set of values, which bounds the number of series.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Forecast } from "@peridotvalve/dispatch";
import { createRegistry } from "@peridotvalve/metrics";
import {
  type Milliseconds,
  type RequestRate,
  SECOND,
} from "@peridotvalve/types";
import { createForecastMeters } from "./forecast_meters.ts";
import type { IntakeReadings } from "./intake.ts";
import { STAGES, type StageTimes } from "./stage_clock.ts";

/** How a request ended. */
export interface RequestRecord {
  /** Name of the route; empty when no route matched. */
  readonly route: string;
  readonly outcome: "answered" | "refused" | "lost" | "abandoned";
  /** The status of the response, or the reason why there was none. */
  readonly reason: string;
  /** Time to the response or its first event; 0 when there was none. */
  readonly firstEvent?: Milliseconds;
  /** Longest time between two events of a stream; 0 for one event. */
  readonly maxEventGap?: Milliseconds;
}

export interface ReplicaCount {
  readonly service: string;
  readonly state: string;
  /** Weight versions by model, as `model@version`. */
  readonly weights: string;
}

/** A replica that names the rate of requests that it takes. */
export interface ReplicaLimit {
  readonly service: string;
  readonly limit: RequestRate;
}

/** Gauge values, read when the page is rendered. */
export interface Readings {
  readonly inFlight: number;
  readonly peers: number;
  readonly stateVersion: number;
  readonly stateAge: Milliseconds;
  readonly listAge: Milliseconds;
  readonly waiting: number;
  readonly replicas: readonly ReplicaCount[];
  readonly evacuatedZones?: number;
  readonly limits?: readonly ReplicaLimit[];
  /** Service of each cold replica. */
  readonly cold?: readonly string[];
  readonly intake?: IntakeReadings;
  /** Retries that the budget allows now, by service. */
  readonly retriesLeft: ReadonlyMap<string, number>;
}

export abstract class Meters {
  abstract recordRequest(request: RequestRecord): void;
  abstract recordAttempt(service: string, outcome: string): void;
  /** Records how long a request waited for a replica with free capacity. */
  abstract recordWait(route: string, wait: Milliseconds): void;
  /** Records that a request waits, as only cold replicas can take it. */
  abstract recordColdWait(service: string): void;
  /** Records the time in each stage that the request has entered. */
  abstract recordStages(route: string, times: Partial<StageTimes>): void;
  /** Records what was expected of a prompt when it was placed. */
  abstract recordForecast(route: string, forecast: Forecast): void;
  abstract recordRetry(service: string): void;
  abstract recordStoreCall(kind: string, outcome: string): void;
  /** Samples by how much timers run late, until the signal aborts. */
  abstract watchEventLoop(signal: AbortSignal): Promise<void>;
  /** Renders the page in the Prometheus text format. */
  abstract render(): string;
}

/** Interval between samples of the event loop delay. */
const LOOP_PERIOD: Milliseconds = 500;

/** Reported age of data that has never been read. */
const MAX_AGE: Milliseconds = 1e9;

const GAUGES = {
  peridotvalve_requests_in_flight: "Requests that have no final answer yet.",
  peridotvalve_requests_waiting: "Prompts that wait for a replica with room.",
  peridotvalve_state_version: "Version of the desired state in force.",
  peridotvalve_state_age_ms: "Time since the operator's table was read.",
  peridotvalve_list_age_ms: "Time since the list of replicas was read.",
  peridotvalve_memory_bytes: "Resident memory of the process.",
  peridotvalve_held_bytes: "Memory held for bodies and responses.",
  peridotvalve_held_bytes_limit: "Limit of the memory for them; 0 for none.",
  peridotvalve_bodies_waiting: "Bodies that wait for memory.",
  peridotvalve_peers: "Other daemons that are registered.",
  peridotvalve_evacuated_zones: "Zones to whose replicas nothing is sent.",
} as const;

/**
 * Texts that are searched for in a reason, with the label of each. The first
 * match counts; connection errors have many texts and are the default.
 */
const REASON_LABELS: readonly (readonly [word: string, label: string])[] = [
  ["allowed regions", "region"],
  ["evacuated zones", "evacuated"],
  ["shutting down", "stopping"],
  ["prompt part", "crashing part"],
  ["the request crashes", "crashing request"],
  ["the request may crash", "crashing request"],
  ["no retries left", "retry budget"],
  ["too many wait", "too many wait"],
  ["no room", "no room"],
  ["no replica", "no replica"],
  ["daemon stops", "stopping"],
  ["timeout", "timeout"],
  ["silent", "silent"],
  ["refused with", "replica refused"],
  ["replica answered", "replica failed"],
  ["another request", "wrong answer"],
  ["without a request id", "wrong answer"],
  ["without a seal", "wrong answer"],
  ["within an event", "broken off"],
  ["resumed with", "not resumed"],
  ["no route", "no route"],
  ["unknown key", "unknown key"],
  ["too long", "too long"],
  ["no memory", "no memory"],
  ["small pieces", "small pieces"],
  ["body stalled", "body stalled"],
  ["broken off", "broken off"],
  ["no desired state", "no desired state"],
  ["no service", "no service"],
];

/**
 * Returns the label of a reason. Statuses are their own label; unmatched texts
 * count as connection errors.
 */
export function classifyReason(reason: string): string {
  if (reason === "" || /^\d{3}$/.test(reason)) return reason;
  const found = REASON_LABELS.find(([word]) => reason.includes(word));
  return found?.[1] ?? "connection";
}

export function createMeters(
  clock: Clock,
  read: () => Readings,
): Meters {
  const registry = createRegistry(clock);
  const requests = registry.counter("peridotvalve_requests_total", {
    help: "Requests by route, outcome and reason.",
    labels: ["route", "outcome", "reason"],
  });
  const attempts = registry.counter("peridotvalve_attempts_total", {
    help: "Attempts at replicas by service and outcome.",
    labels: ["service", "outcome"],
  });
  const retries = registry.counter("peridotvalve_retries_total", {
    help: "Attempts after the first, taken from the retry budget.",
    labels: ["service"],
  });
  const retriesLeft = registry.gauge("peridotvalve_retries_left", {
    help: "Attempts after the first that the budget allows now.",
    labels: ["service"],
  });
  const firstEvents = registry.histogram("peridotvalve_first_event_ms", {
    help: "Time from a request to its answer or first event.",
    labels: ["route"],
  });
  const pauses = registry.histogram("peridotvalve_longest_pause_ms", {
    help: "Longest time between two events of a stream.",
    labels: ["route"],
  });
  const waits = registry.histogram("peridotvalve_queue_wait_ms", {
    help: "Time for which a prompt waited for a replica with room.",
    labels: ["route"],
  });
  const stages = registry.histogram("peridotvalve_stage_seconds", {
    help: "Time that requests spent in each stage.",
    labels: ["route", "stage"],
    unit: SECOND,
  });
  /** Created when first needed: most deployments make no forecasts. */
  let forecasts: ReturnType<typeof createForecastMeters> | undefined;
  const storeCalls = registry.counter("peridotvalve_store_calls_total", {
    help: "Calls of the platform's store by kind and outcome.",
    labels: ["kind", "outcome"],
  });
  const replicas = registry.gauge("peridotvalve_replicas", {
    help: "Replicas of the list by service, state and weight versions.",
    labels: ["service", "state", "weights"],
  });
  const limitedReplicas = registry.gauge("peridotvalve_limited_replicas", {
    help: "Replicas that name the rate of requests that they take.",
    labels: ["service"],
  });
  const limitedRate = registry.gauge("peridotvalve_limited_rate", {
    help: "Requests per second that the limited replicas take together.",
    labels: ["service"],
  });
  const coldReplicas = registry.gauge("peridotvalve_cold_replicas", {
    help: "Replicas that tolerate few requests, as they may have just started.",
    labels: ["service"],
  });
  const coldWaits = registry.counter("peridotvalve_cold_waits_total", {
    help: "Waits of requests that only cold replicas could take.",
    labels: ["service"],
  });
  const connections = registry.gauge("peridotvalve_connections", {
    help: "Open connections by listener.",
    labels: ["listener"],
  });
  const closedConnections = registry.gauge(
    "peridotvalve_connections_closed",
    {
      help: "Connections closed for a limit since the start, by reason.",
      labels: ["reason"],
    },
  );
  const loopDelays = registry.histogram("peridotvalve_event_loop_delay_ms", {
    help: "Time by which timers run late.",
  });
  const gauges = new Map(
    Object.entries(GAUGES).map((
      [name, help],
    ) => [name, registry.gauge(name, { help })]),
  );

  function set(name: keyof typeof GAUGES, value: number): void {
    gauges.get(name)?.set(value);
  }

  function refresh(readings: Readings): void {
    set("peridotvalve_requests_in_flight", readings.inFlight);
    set("peridotvalve_requests_waiting", readings.waiting);
    set("peridotvalve_state_version", readings.stateVersion);
    set("peridotvalve_state_age_ms", Math.min(readings.stateAge, MAX_AGE));
    set("peridotvalve_list_age_ms", Math.min(readings.listAge, MAX_AGE));
    set("peridotvalve_memory_bytes", process.memoryUsage.rss());
    set("peridotvalve_peers", readings.peers);
    set("peridotvalve_evacuated_zones", readings.evacuatedZones ?? 0);
    if (readings.intake !== undefined) refreshIntake(readings.intake);
    replicas.clear();
    for (const { service, state, weights } of readings.replicas) {
      replicas.add(1, { service, state, weights });
    }
    limitedReplicas.clear();
    limitedRate.clear();
    for (const { service, limit } of readings.limits ?? []) {
      limitedReplicas.add(1, { service });
      limitedRate.add(limit, { service });
    }
    coldReplicas.clear();
    for (const service of readings.cold ?? []) coldReplicas.add(1, { service });
    retriesLeft.clear();
    for (const [service, left] of readings.retriesLeft) {
      retriesLeft.set(left, { service });
    }
  }

  function refreshIntake(intake: IntakeReadings): void {
    const { held, heldLimit, waiting } = intake;
    set("peridotvalve_held_bytes", held);
    set(
      "peridotvalve_held_bytes_limit",
      Number.isFinite(heldLimit) ? heldLimit : 0,
    );
    set("peridotvalve_bodies_waiting", waiting);
    connections.clear();
    for (const [listener, open] of intake.connections) {
      connections.add(open, { listener });
    }
    closedConnections.clear();
    for (const [reason, count] of intake.closed) {
      closedConnections.add(count, { reason });
    }
  }

  return new (class extends Meters {
    override recordRequest(request: RequestRecord): void {
      const { route, outcome, firstEvent = 0, maxEventGap = 0 } = request;
      const reason = classifyReason(request.reason);
      requests.add(1, { route, outcome, reason });
      if (firstEvent > 0) firstEvents.record(firstEvent, { route });
      if (maxEventGap > 0) pauses.record(maxEventGap, { route });
    }

    override recordAttempt(service: string, outcome: string): void {
      attempts.add(1, { service, outcome });
    }

    override recordWait(route: string, wait: Milliseconds): void {
      waits.record(wait, { route });
    }

    override recordColdWait(service: string): void {
      coldWaits.add(1, { service });
    }

    override recordStages(route: string, times: Partial<StageTimes>): void {
      for (const stage of STAGES) {
        const { [stage]: time = 0 } = times;
        if (time > 0) stages.record(time, { route, stage });
      }
    }

    override recordForecast(route: string, forecast: Forecast): void {
      forecasts ??= createForecastMeters(registry);
      forecasts.record(route, forecast);
    }

    override recordRetry(service: string): void {
      retries.add(1, { service });
    }

    override recordStoreCall(kind: string, outcome: string): void {
      storeCalls.add(1, { kind, outcome });
    }

    override async watchEventLoop(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        const due = clock.monotonic() + LOOP_PERIOD;
        await clock.sleep(LOOP_PERIOD, signal);
        if (!signal.aborted) {
          loopDelays.record(Math.max(0, clock.monotonic() - due));
        }
      }
    }

    override render(): string {
      refresh(read());
      return registry.render();
    }
  })();
}
