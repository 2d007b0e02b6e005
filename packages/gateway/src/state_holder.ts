/**
 * Holds the desired state that is in force on this daemon. Only a state with a
 * higher version replaces it.
 */
import {
  createRouteTable,
  type DesiredState,
  nameCacheGroup,
  type RouteTable,
} from "@peridotvalve/dispatch";
import { listUnknownRegions } from "@peridotvalve/routing";
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import { STREAM_LIFETIME } from "./stream_records.ts";
import { createStreamRoutes, type StreamRoutes } from "./stream_routes.ts";

export interface ActiveState {
  readonly state: DesiredState;
  readonly routes: RouteTable;
  /** See `DispatchRequest.cacheGroup`. */
  readonly cacheGroup: string;
}

export abstract class StateHolder {
  abstract readonly streamRoutes: StreamRoutes;
  abstract current(): ActiveState | undefined;
  abstract offer(state: DesiredState, source: string): void;
}

/** Services whose streams callers may take up. */
export function listStreamServices(
  active: ActiveState | undefined,
): readonly string[] {
  const routes = active?.state.routes ?? [];
  const resumable = routes.filter(({ isResumable }) => isResumable);
  return [
    ...new Set(
      resumable.flatMap(({ targets }) => targets.map(({ service }) => service)),
    ),
  ];
}

/** Longest list of regions in the log. */
const MAX_NAMED_REGIONS = 20;

export function createStateHolder(
  clock: Clock,
  logger: EventLogger,
  /** Region of each zone of the settings. */
  regions: ReadonlyMap<string, string>,
): StateHolder {
  let active: ActiveState | undefined;

  function logUnknownRegions({ version, routes, customers }: DesiredState) {
    const restricted = [...routes, ...customers?.values() ?? []];
    const unknown = listUnknownRegions(
      regions,
      restricted.map(({ allowedRegions }) => allowedRegions),
    );
    if (unknown.length === 0) return;
    const names = unknown.slice(0, MAX_NAMED_REGIONS).join(", ");
    logger.log("allowed_region_unknown", { version, regions: names });
  }

  return new (class extends StateHolder {
    override readonly streamRoutes = createStreamRoutes({
      ...{ clock, lifetime: STREAM_LIFETIME },
    });

    override current(): ActiveState | undefined {
      return active;
    }

    override offer(state: DesiredState, source: string): void {
      if (active !== undefined && state.version <= active.state.version) {
        return;
      }
      active = {
        state,
        routes: createRouteTable(state.routes),
        cacheGroup: nameCacheGroup(state.isolatedCustomers),
      };
      this.streamRoutes.adopt(state);
      logger.log("state_adopted", { version: state.version, source });
      logUnknownRegions(state);
    }
  })();
}
