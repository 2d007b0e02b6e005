/**
 * Clients of the plain services in the current configuration.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Configuration, Milliseconds } from "@peridotvalve/types";
import {
  createHttpPlainService,
  type HttpPlainService,
} from "@peridotvalve/upstreams";

// Period for which an address is tried last after a failure.
const AVOIDANCE_PERIOD: Milliseconds = 3_000;

export interface ServiceDirectory {
  /** Uses the services of a new configuration. */
  apply(configuration: Configuration): void;
  /**
   * The clients of a service in the order in which to try them: round-robin,
   * with the addresses that failed recently at the end.
   */
  list(service: string): readonly HttpPlainService[];
  /** Records that a call to an address failed. */
  recordFailure(address: string): void;
  close(): Promise<void>;
}

export interface ServiceDirectoryOptions {
  readonly clock: Clock;
  /** Called for each call; returns the headers to add to it. */
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

export function createServiceDirectory(
  options: ServiceDirectoryOptions,
): ServiceDirectory {
  const { clock, createHeaders } = options;
  const clients = new Map<string, HttpPlainService>();
  const failedAt = new Map<string, Milliseconds>();
  let services: Configuration["services"] = {};
  // Each service has its own rotation. With a shared one, calls that alternate
  // between two services would always reach the same address of each.
  const rotations = new Map<string, number>();

  function getClient(address: string): HttpPlainService {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = createHttpPlainService({ address, clock, createHeaders });
    clients.set(address, client);
    return client;
  }

  function isAvoided(address: string): boolean {
    const at = failedAt.get(address);
    return at !== undefined && clock.monotonic() - at < AVOIDANCE_PERIOD;
  }

  return {
    apply(configuration) {
      services = configuration.services;
    },
    list(service) {
      const addresses = services[service]?.addresses ?? [];
      if (addresses.length === 0) return [];
      const rotation = ((rotations.get(service) ?? 0) + 1) % addresses.length;
      rotations.set(service, rotation);
      const rotated = [
        ...addresses.slice(rotation),
        ...addresses.slice(0, rotation),
      ];
      const ordered = [
        ...rotated.filter((address) => !isAvoided(address)),
        ...rotated.filter(isAvoided),
      ];
      return ordered.map(getClient);
    },
    recordFailure(address) {
      failedAt.set(address, clock.monotonic());
    },
    async close() {
      await Promise.all([...clients.values()].map((client) => client.close()));
    },
  };
}
