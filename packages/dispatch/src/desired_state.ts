/**
 * What the operator wants: routes, services, customers and limits, as one
 * read-only value that is replaced as a whole.
 */
import type { Bytes, Milliseconds, Tokens } from "@peridotvalve/types";

/**
 * What may be repeated: an `idempotent` call, nothing of an `order`, and of a
 * `stream` only what its route says can be resumed.
 */
export type RouteKind = "idempotent" | "order" | "stream";

export interface Target {
  readonly service: string;
  /** Relative part of the route's requests. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly Target[];
  /** Longest time from a request to its final answer. */
  readonly timeout: Milliseconds;
  /** Time to the answer, or to the first event of a stream. */
  readonly latencyTarget: Milliseconds;
  /** Longest pause between two events of a stream that is on time. */
  readonly longestPause: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Replicas on which one request may run. */
  readonly maxRuns: number;
  /** True when no key is asked for. */
  readonly isPublic: boolean;
  /** True when a stream may be continued behind its last event. */
  readonly isResumable: boolean;
}

export interface EngineTraits {
  readonly slots: number;
  /** Memory of one replica for running prompts and cached parts. */
  readonly memory: Tokens;
}

/** A store VM that keeps parts of prompts for the replicas. */
export interface StoreTraits {
  readonly address: string;
  readonly zone: string;
  readonly capacity: Tokens;
  /** Tokens that its link carries in a millisecond. */
  readonly tokensPerMillisecond: number;
  /** Time before each transfer starts. */
  readonly startDelay: Milliseconds;
}

export interface Service {
  readonly name: string;
  /** Connections that one replica accepts from all daemons together. */
  readonly maxConnections: number;
  /** Present for services of model engines. */
  readonly engine?: EngineTraits;
  /** Present for stores of kept cache. */
  readonly store?: StoreTraits;
}

export interface Customer {
  readonly name: string;
  /** True when no other customer may use cache blocks of this one. */
  readonly isIsolated: boolean;
  /** Takes precedence over the route's. */
  readonly priority?: number;
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
  /** By key; undefined when no customers are configured. */
  readonly customers?: ReadonlyMap<string, Customer>;
  readonly limits: Limits;
}

/** A lookup of routes by host and longest prefix. */
export abstract class RouteTable {
  abstract find(host: string, path: string): Route | undefined;
}

export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const prefixes = byHost.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    byHost.set(route.host, prefixes);
  }

  return new (class extends RouteTable {
    override find(host: string, path: string): Route | undefined {
      const prefixes = byHost.get(host);
      if (prefixes === undefined) return undefined;
      for (const prefix of prefixesOf(path)) {
        const route = prefixes.get(prefix);
        if (route !== undefined) return route;
      }
      return undefined;
    }
  })();
}

/** The prefixes of a path that end with a slash, longest first. */
function* prefixesOf(path: string): Generator<string> {
  for (
    let end = path.lastIndexOf("/");
    end >= 0;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
  ) {
    yield path.slice(0, end + 1);
  }
}

/** Chooses a target by weight; `draw` is in 0..1. */
export function chooseTarget(route: Route, draw: number): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
