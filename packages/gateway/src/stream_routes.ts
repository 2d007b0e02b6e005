/**
 * Finds the service at which a stream began. A route may lead to several
 * services; for a resumable one the id of the request decides among them, so that
 * each daemon finds the service of a stream that its caller takes up. For some
 * time after the desired state has changed the targets of a route, a stream may
 * have begun by the earlier ones. Origins are saved during that time.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  chooseTarget,
  type DesiredState,
  type Route,
  type RouteTarget,
} from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";
import { hash } from "node:crypto";

/** What of a route decides where its streams begin. */
export type StreamRoute = Pick<Route, "host" | "prefix" | "targets">;

export interface StreamRoutes {
  /** Takes the desired state that is in force from now on. */
  adopt(state: Pick<DesiredState, "routes">): void;
  /**
   * The services at which the stream that a request began may have begun.
   * Without a request these are all services of the route.
   */
  servicesOf(
    route: StreamRoute,
    request: string | undefined,
  ): readonly string[];
  /** True when the route does not tell whether a stream began at the service. */
  isAmbiguous(service: string): boolean;
}

export interface StreamRoutesOptions {
  readonly clock: Clock;
  /** Longest time from the begin of a stream until it is taken up. */
  readonly lifetime: Milliseconds;
}

interface FormerTargets {
  readonly targets: readonly RouteTarget[];
  readonly until: Milliseconds;
}

/** Hexadecimal digits of a hash that give the place of a request in [0, 1). */
const PLACE_DIGITS = 12;

/** Chooses the service of a request; that of a resumable stream by its id. */
export function chooseService(
  route: Route,
  request: string,
): string | undefined {
  const isNamed = route.isResumable && request !== "";
  const place = isNamed ? placeOf(request) : Math.random();
  return chooseTarget(route, place);
}

export function createStreamRoutes(
  { clock, lifetime }: StreamRoutesOptions,
): StreamRoutes {
  let routes: readonly Route[] = [];
  /** By host and prefix, as these select the route of a request. */
  const former = new Map<string, readonly FormerTargets[]>();
  /** Time until which streams of a service may have begun at another one. */
  let ambiguousUntil: ReadonlyMap<string, Milliseconds> = new Map();

  function listFormer(route: StreamRoute): readonly FormerTargets[] {
    const now = clock.monotonic();
    return (former.get(keyOf(route)) ?? []).filter(({ until }) => now < until);
  }

  function addFormer(route: StreamRoute, entries: readonly FormerTargets[]) {
    const key = keyOf(route);
    const all = new Map<string, FormerTargets>();
    for (const entry of [...former.get(key) ?? [], ...entries]) {
      const shares = sharesOf(entry.targets);
      const until = Math.max(all.get(shares)?.until ?? 0, entry.until);
      all.set(shares, { targets: entry.targets, until });
    }
    former.set(key, [...all.values()]);
  }

  function recordChanges(next: readonly Route[]): void {
    // A request that is placed in time has its first event within a lifetime.
    const until = clock.monotonic() + 2 * lifetime;
    const nextShares = new Map(
      next.map((route) => [keyOf(route), sharesOf(route.targets)]),
    );
    for (const route of routes) {
      const { targets } = route;
      if (nextShares.get(keyOf(route)) === sharesOf(targets)) continue;
      addFormer(route, [{ targets, until }]);
    }
    for (const route of next) {
      for (const source of findSources(route, { before: routes, next })) {
        const earlier = former.get(keyOf(source)) ?? [];
        addFormer(route, [{ targets: source.targets, until }, ...earlier]);
      }
    }
    const now = clock.monotonic();
    for (const [key, all] of former) {
      const left = all.filter((each) => now < each.until);
      if (left.length === 0) former.delete(key);
      else former.set(key, left);
    }
  }

  function findAmbiguous(): ReadonlyMap<string, Milliseconds> {
    const found = new Map<string, Milliseconds>();
    for (const route of routes) {
      const shares = sharesOf(route.targets);
      const times = listFormer(route)
        .filter(({ targets }) => sharesOf(targets) !== shares)
        .map(({ until }) => until);
      if (times.length === 0) continue;
      for (const { service } of route.targets) {
        found.set(service, Math.max(found.get(service) ?? 0, ...times));
      }
    }
    return found;
  }

  return {
    adopt(state) {
      const next = state.routes.filter(({ isResumable }) => isResumable);
      recordChanges(next);
      routes = next;
      ambiguousUntil = findAmbiguous();
    },
    servicesOf(route, request) {
      const possible = [route, ...listFormer(route)];
      const services = possible.flatMap(({ targets }) =>
        request === undefined
          ? targets.map(({ service }) => service)
          : chooseTarget({ targets }, placeOf(request)) ?? []
      );
      return [...new Set(services)];
    },
    isAmbiguous: (service) =>
      clock.monotonic() < (ambiguousUntil.get(service) ?? -Infinity),
  };
}

function keyOf({ host, prefix }: Omit<StreamRoute, "targets">): string {
  return `${host} ${prefix}`;
}

/**
 * Finds the routes with other prefixes that led requests of a route before: the
 * one with the longest shorter prefix if the route is new, and longer ones that
 * are gone.
 */
function findSources(
  { host, prefix }: StreamRoute,
  { before, next }: {
    readonly before: readonly Route[];
    readonly next: readonly Route[];
  },
): readonly Route[] {
  const related = before.filter((route) => route.host === host);
  const isNew = !related.some((route) => route.prefix === prefix);
  const shorter = related.filter((route) => prefix.startsWith(route.prefix))
    .sort((one, other) => other.prefix.length - one.prefix.length);
  const longer = related.filter((route) =>
    route.prefix !== prefix && route.prefix.startsWith(prefix) &&
    !next.some((each) => keyOf(each) === keyOf(route))
  );
  return [...isNew ? shorter.slice(0, 1) : [], ...longer];
}

/** Names the share of the requests that each service gets. */
function sharesOf(targets: readonly RouteTarget[]): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  return JSON.stringify(
    targets.map(({ service, weight }) => [service, weight / (total || 1)]),
  );
}

/** Callers choose the ids of their requests, so a hash spreads them evenly. */
function placeOf(request: string): number {
  const digits = hash("sha256", `target ${request}`, "hex")
    .slice(0, PLACE_DIGITS);
  return Number.parseInt(digits, 16) / 16 ** PLACE_DIGITS;
}
