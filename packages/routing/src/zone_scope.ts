/**
 * Decides in which zones a request may be served, cached and stored. A request
 * is restricted by the regions that its route and its customer allow or, in the
 * operators' folder, by the zones from which its customer is barred.
 *
 * The set never widens by accident: regions that no zone belongs to allow
 * nothing, and a zone of unknown region is not allowed to restricted requests.
 */

/** Names of the regions that are allowed; empty or absent: all. */
export type RegionRestriction = readonly string[] | undefined;

/** What a restricted request may use. */
export interface ZoneScope {
  /** The allowed regions that have zones, sorted. */
  readonly regions: readonly string[];
  readonly zones: ReadonlySet<string>;
}

/**
 * Intersects the restrictions. Returns undefined when none of them restricts the
 * request. `regions` has the region of each zone.
 */
export function restrictZones(
  regions: ReadonlyMap<string, string>,
  restrictions: readonly RegionRestriction[],
): ZoneScope | undefined {
  const lists = restrictions.filter((list) => list !== undefined)
    .filter((list) => list.length > 0).map((list) => new Set(list));
  if (lists.length === 0) return undefined;
  const isAllowed = (region: string) => lists.every((list) => list.has(region));
  const allowed = [...regions].filter(([, region]) => isAllowed(region));
  return {
    regions: [...new Set(allowed.map(([, region]) => region))].sort(),
    zones: new Set(allowed.map(([zone]) => zone)),
  };
}

export function isZoneAllowed(
  scope: ZoneScope | undefined,
  zone: string,
): boolean {
  return scope === undefined || scope.zones.has(zone);
}

/** Zones where work must not run, as the operators' folder names them. */
export interface BarredZones {
  readonly barredZones: readonly string[];
}

export function isZoneBarred(
  { barredZones }: BarredZones,
  zone: string,
): boolean {
  return barredZones.includes(zone);
}

/** Regions of the restrictions that no zone belongs to. */
export function listUnknownRegions(
  regions: ReadonlyMap<string, string>,
  restrictions: readonly RegionRestriction[],
): readonly string[] {
  const known = new Set(regions.values());
  const named = new Set(restrictions.flatMap((list) => list ?? []));
  return [...named].filter((region) => !known.has(region)).sort();
}
