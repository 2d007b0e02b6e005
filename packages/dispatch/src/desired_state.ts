/**
 * The operator's desired state: routes, services, customers and limits. It is a
 * read-only value that is replaced as a whole.
 */
import type {
  Bytes,
  Milliseconds,
  RequestRate,
  Tokens,
} from "@peridotvalve/types";

/**
 * Whether requests of a route may be retried: `idempotent` requests may, an
 * `order` never once it may have run, and a `stream` only when its route is
 * resumable.
 */
export type RouteKind = "idempotent" | "order" | "stream";

export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, relative to its other targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum time from a request to its final response. */
  readonly timeout: Milliseconds;
  /** Target for the time to the response, or to the first event of a stream. */
  readonly latencyTarget: Milliseconds;
  /** Target for the longest gap between two events of a stream. */
  readonly eventGapTarget: Milliseconds;
  /** Priority of the requests; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of replicas that may execute one request. */
  readonly maxExecutions: number;
  /** True when requests need no API key. */
  readonly isPublic: boolean;
  /** True when a stream may be resumed after its last event. */
  readonly isResumable: boolean;
  /** Regions to which its requests are restricted; empty or absent: none. */
  readonly allowedRegions?: readonly string[];
}

export interface EngineTraits {
  readonly slots: number;
  /** Memory of one replica for running requests and cached parts. */
  readonly memory: Tokens;
}

/** A store VM that caches prompt parts for the replicas. */
export interface StoreTraits {
  readonly address: string;
  readonly zone: string;
  readonly capacity: Tokens;
  /** Tokens that the store's link transfers per millisecond. */
  readonly tokensPerMillisecond: number;
  /** Latency before each transfer starts. */
  readonly startDelay: Milliseconds;
}

/** What a replica tolerates after its start. */
export interface ColdTraits {
  /** Time after its start for which a replica is cold. */
  readonly duration: Milliseconds;
  /** Requests that a cold replica tolerates from all daemons together. */
  readonly rate: RequestRate;
}

export interface Service {
  readonly name: string;
  /** Connections that one replica accepts from all daemons together. */
  readonly maxConnections: number;
  /** Present for services that run model engines. */
  readonly engine?: EngineTraits;
  /** Present for services that store cached prompt parts. */
  readonly store?: StoreTraits;
  /** Present when replicas of the service are cold after their start. */
  readonly cold?: ColdTraits;
}

export interface Customer {
  readonly name: string;
  /** True when cache blocks are not shared with other customers. */
  readonly isIsolated: boolean;
  /** Overrides the priority of the route. */
  readonly priority?: number;
  /** Regions to which its requests are restricted; empty or absent: none. */
  readonly allowedRegions?: readonly string[];
}

export interface Limits {
  readonly maxHeader: Bytes;
  readonly maxBody: Bytes;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

export interface DesiredState {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Customers by API key; undefined when none are configured. */
  readonly customers?: ReadonlyMap<string, Customer>;
  /** Names of the isolated customers, with or without a key. */
  readonly isolatedCustomers: readonly string[];
  readonly limits: Limits;
}

/** Finds routes by host and longest matching path prefix. */
export abstract class RouteTable {
  abstract find(host: string, path: string): Route | undefined;
}

export function createRouteTable(routes: readonly Route[]): RouteTable {
  const prefixesByHost = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const prefixes = prefixesByHost.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    prefixesByHost.set(route.host, prefixes);
  }

  return new (class extends RouteTable {
    override find(host: string, path: string): Route | undefined {
      const prefixes = prefixesByHost.get(host);
      if (prefixes === undefined) return undefined;
      for (const prefix of prefixesOf(path)) {
        const route = prefixes.get(prefix);
        if (route !== undefined) return route;
      }
      return undefined;
    }
  })();
}

/** Yields the prefixes of a path that end with a slash, longest first. */
function* prefixesOf(path: string): Generator<string> {
  for (
    let end = path.lastIndexOf("/");
    end >= 0;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
  ) {
    yield path.slice(0, end + 1);
  }
}

/**
 * Chooses a target at random, in proportion to the weights. `random` is at
 * least 0 and below 1.
 */
export function chooseTarget(
  route: Pick<Route, "targets">,
  random: number,
): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
