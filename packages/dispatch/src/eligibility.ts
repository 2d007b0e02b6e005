/**
 * The gate in front of every path on which a request, its response or its cached
 * parts can reach another machine: it says which zones the request may use.
 */
import {
  isZoneAllowed,
  restrictZones,
  type ZoneScope,
} from "@peridotvalve/routing";
import type { Customer, Route } from "./desired_state.ts";

/** What the gate needs to know of a request. */
export interface GatedRequest {
  readonly route: Pick<Route, "allowedRegions">;
  readonly customer?: Pick<Customer, "allowedRegions">;
}

export interface RequestScope extends ZoneScope {
  /** Text that only requests with the same allowed regions share. */
  readonly label: string;
}

/** Why a request may not use replicas that exist. */
export type Barrier = "regions" | "evacuation";

export interface EligibilityOptions {
  /** Region of each zone. */
  readonly regions: ReadonlyMap<string, string>;
  /** The evacuated zones; another set whenever they have changed. */
  readonly evacuated?: () => ReadonlySet<string>;
}

export abstract class Eligibility {
  /** Returns undefined when the request is not restricted to regions. */
  abstract scopeOf(request: GatedRequest): RequestScope | undefined;
  /** The evacuated zones; another set whenever they have changed. */
  abstract evacuated(): ReadonlySet<string>;
  /**
   * Returns true when the zone is in a region that the request may use. Daemons
   * of an evacuated zone take requests as before.
   */
  abstract allowsZone(request: GatedRequest, zone: string): boolean;
  /**
   * Returns what keeps the request from replicas in these zones; undefined when
   * it has its choice.
   */
  abstract barrierOf(
    request: GatedRequest,
    zones: Iterable<string>,
  ): Barrier | undefined;
  /**
   * Returns a check of zones for one decision on the request; undefined when it
   * may use all of them.
   */
  abstract gateOf(
    request: GatedRequest,
  ): ((zone: string) => boolean) | undefined;
}

const NO_ZONES: ReadonlySet<string> = new Set();

/** Stands for the customer of requests that have none. */
const NO_CUSTOMER = {};

export function createEligibility(
  { regions, evacuated = () => NO_ZONES }: EligibilityOptions,
): Eligibility {
  // Routes and customers are replaced with the desired state; so are the entries.
  const scopes = new WeakMap<object, WeakMap<object, RequestScope>>();

  function computeScope(
    { route, customer }: GatedRequest,
  ): RequestScope | undefined {
    const restrictions = [route.allowedRegions, customer?.allowedRegions];
    const scope = restrictZones(regions, restrictions);
    return scope && { ...scope, label: labelRegions(scope.regions) };
  }

  return new (class extends Eligibility {
    override scopeOf(request: GatedRequest): RequestScope | undefined {
      const { route, customer } = request;
      if (!isRestricted(route) && !isRestricted(customer)) return undefined;
      const key = customer ?? NO_CUSTOMER;
      const ofRoute = scopes.get(route);
      const known = ofRoute?.get(key);
      if (known !== undefined) return known;
      const scope = computeScope(request);
      if (scope === undefined) return undefined;
      if (ofRoute === undefined) scopes.set(route, new WeakMap([[key, scope]]));
      else ofRoute.set(key, scope);
      return scope;
    }

    override evacuated(): ReadonlySet<string> {
      return evacuated();
    }

    override allowsZone(request: GatedRequest, zone: string): boolean {
      return isZoneAllowed(this.scopeOf(request), zone);
    }

    override barrierOf(
      request: GatedRequest,
      zones: Iterable<string>,
    ): Barrier | undefined {
      const scope = this.scopeOf(request);
      const closed = evacuated();
      if (scope === undefined && closed.size === 0) return undefined;
      const present = [...new Set(zones)];
      const allowed = present.filter((zone) => isZoneAllowed(scope, zone));
      if (allowed.some((zone) => closed.has(zone))) return "evacuation";
      return allowed.length === 0 && present.length > 0 ? "regions" : undefined;
    }

    override gateOf(
      request: GatedRequest,
    ): ((zone: string) => boolean) | undefined {
      const scope = this.scopeOf(request);
      const closed = evacuated();
      if (scope === undefined && closed.size === 0) return undefined;
      return (zone) => isZoneAllowed(scope, zone) && !closed.has(zone);
    }
  })();
}

function isRestricted(
  subject: { readonly allowedRegions?: readonly string[] } | undefined,
): boolean {
  return subject?.allowedRegions !== undefined &&
    subject.allowedRegions.length > 0;
}

/** The brackets and the comma do not occur in percent-encoded names. */
function labelRegions(names: readonly string[]): string {
  return `[${names.map(encodeName).join(",")}]`;
}

/** Salts travel in headers, so they contain ASCII characters only. */
function encodeName(name: string): string {
  // A lone surrogate cannot be percent-encoded; the buffer replaces it.
  return encodeURIComponent(Buffer.from(name).toString());
}
