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
import type { EventLogger } from "@peridotvalve/events";

export interface ActiveState {
  readonly state: DesiredState;
  readonly routes: RouteTable;
  /** See `DispatchRequest.cacheGroup`. */
  readonly cacheGroup: string;
}

export abstract class StateHolder {
  abstract current(): ActiveState | undefined;
  abstract offer(state: DesiredState, source: string): void;
}

export function createStateHolder(logger: EventLogger): StateHolder {
  let active: ActiveState | undefined;

  return new (class extends StateHolder {
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
      logger.log("state_adopted", { version: state.version, source });
    }
  })();
}
