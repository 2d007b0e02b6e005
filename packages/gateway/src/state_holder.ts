/**
 * The desired state in force on this daemon. A higher version replaces a lower
 * one and never the reverse.
 */
import {
  createRouteTable,
  type DesiredState,
  type RouteTable,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";

export interface InForce {
  readonly state: DesiredState;
  readonly routes: RouteTable;
}

export abstract class StateHolder {
  abstract current(): InForce | undefined;
  abstract offer(state: DesiredState, source: string): void;
}

export function createStateHolder(logger: EventLogger): StateHolder {
  let inForce: InForce | undefined;

  return new (class extends StateHolder {
    override current(): InForce | undefined {
      return inForce;
    }

    override offer(state: DesiredState, source: string): void {
      if (inForce !== undefined && state.version <= inForce.state.version) {
        return;
      }
      inForce = { state, routes: createRouteTable(state.routes) };
      logger.log("state_adopted", { version: state.version, source });
    }
  })();
}
