/**
 * The gateway's counters and latency histograms.
 */
import type { Clock } from "@peridotvalve/clock";
import { createRegistry, type Registry } from "@peridotvalve/metrics";
import type { Milliseconds } from "@peridotvalve/types";

export abstract class Meters {
  abstract readonly registry: Registry;
  /** Counts a request by how it ended; 0 as time to its first event is none. */
  abstract recordRequest(
    route: string,
    outcome: string,
    firstEvent: Milliseconds,
  ): void;
  abstract recordStoreCall(kind: string, outcome: string): void;
  abstract render(): string;
}

export interface MetersOptions {
  readonly clock: Clock;
  /** Sets gauges just before they are read. */
  readonly refresh: (registry: Gauges) => void;
}

export interface Gauges {
  set(name: GaugeName, value: number): void;
}

const GAUGES = {
  peridotvalve_requests_in_flight: "Requests that have no final answer yet.",
  peridotvalve_replicas: "Replicas that take requests.",
  peridotvalve_state_version: "Version of the desired state in force.",
  peridotvalve_list_age_ms: "Time since the list of replicas was read.",
  peridotvalve_memory_bytes: "Resident memory of the process.",
  peridotvalve_peers: "Other daemons that are registered.",
} as const;

export type GaugeName = keyof typeof GAUGES;

export function createMeters({ clock, refresh }: MetersOptions): Meters {
  const registry = createRegistry(clock);
  const requests = registry.counter("peridotvalve_requests_total", {
    help: "Requests by route and outcome.",
    labels: ["route", "outcome"],
  });
  const firstEvents = registry.histogram("peridotvalve_first_event_ms", {
    help: "Time from a request to its answer or first event.",
    labels: ["route"],
  });
  const storeCalls = registry.counter("peridotvalve_store_calls_total", {
    help: "Calls of the platform's store by kind and outcome.",
    labels: ["kind", "outcome"],
  });
  const gauges = new Map(
    Object.entries(GAUGES).map((
      [name, help],
    ) => [name, registry.gauge(name, { help })]),
  );

  return new (class extends Meters {
    override readonly registry = registry;

    override recordRequest(
      route: string,
      outcome: string,
      firstEvent: Milliseconds,
    ): void {
      requests.add(1, { route, outcome });
      if (firstEvent > 0) firstEvents.record(firstEvent, { route });
    }

    override recordStoreCall(kind: string, outcome: string): void {
      storeCalls.add(1, { kind, outcome });
    }

    override render(): string {
      refresh({ set: (name, value) => gauges.get(name)?.set(value) });
      return registry.render();
    }
  })();
}
