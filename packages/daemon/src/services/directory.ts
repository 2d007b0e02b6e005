/**
 * Clients of the plain services in the configuration in force.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Configuration, Milliseconds } from "@peridotvalve/types";
import {
  createHttpPlainService,
  type HttpPlainService,
} from "@peridotvalve/upstreams";

// An address that failed is tried last for this long.
const AVOID_TIME: Milliseconds = 3_000;

export interface ServiceDirectory {
  /** Follows a configuration. */
  apply(configuration: Configuration): void;
  /** The clients of a service in the order in which to try them. */
  list(service: string): readonly HttpPlainService[];
  /** Notes that an address could not be reached or stayed silent. */
  noteFailure(address: string): void;
  close(): Promise<void>;
}

export interface ServiceDirectoryOptions {
  readonly clock: Clock;
  /** Headers of every call, made anew for each. */
  readonly createHeaders: () => Readonly<Record<string, string>>;
}

export function createServiceDirectory(
  options: ServiceDirectoryOptions,
): ServiceDirectory {
  const { clock, createHeaders } = options;
  const clients = new Map<string, HttpPlainService>();
  const failedAt = new Map<string, Milliseconds>();
  let services: Configuration["services"] = {};
  // One turn for each service: with a common one, calls that alternate
  // between two services would all go to the same address of each.
  const turns = new Map<string, number>();

  function clientOf(address: string): HttpPlainService {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = createHttpPlainService({ address, clock, createHeaders });
    clients.set(address, client);
    return client;
  }

  function isAvoided(address: string): boolean {
    const at = failedAt.get(address);
    return at !== undefined && clock.monotonic() - at < AVOID_TIME;
  }

  return {
    apply(configuration) {
      services = configuration.services;
    },
    list(service) {
      const addresses = services[service]?.addresses ?? [];
      if (addresses.length === 0) return [];
      const turn = ((turns.get(service) ?? 0) + 1) % addresses.length;
      turns.set(service, turn);
      const turned = [...addresses.slice(turn), ...addresses.slice(0, turn)];
      const ordered = [
        ...turned.filter((address) => !isAvoided(address)),
        ...turned.filter(isAvoided),
      ];
      return ordered.map(clientOf);
    },
    noteFailure(address) {
      failedAt.set(address, clock.monotonic());
    },
    async close() {
      await Promise.all([...clients.values()].map((client) => client.close()));
    },
  };
}
