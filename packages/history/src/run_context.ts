/**
 * State of one run that callers, operators and fault injection share.
 */
import type { Deployment } from "@peridotvalve/testbed";
import { Agent } from "undici";
import type { Recorder } from "./recorder.ts";
import type { Relay } from "./relay.ts";

export interface RunContext {
  readonly deployment: Deployment;
  readonly recorder: Recorder;
  /** Opens a connection per call, so that no idle connection is closed. */
  readonly agent: Agent;
  /** Names of the daemons in this run. */
  readonly daemons: readonly string[];
  /** Daemons that the load balancer has taken out of rotation. */
  readonly withdrawn: Set<string>;
  /** Relays between a daemon and the platform, by name of the daemon. */
  readonly relays: ReadonlyMap<string, Relay>;
}

export function createAgent(): Agent {
  return new Agent({ pipelining: 0, connect: { timeout: 5_000 } });
}

/** Lists the daemons to which the load balancer sends new calls. */
export function listAvailableDaemons(context: RunContext): readonly string[] {
  return context.daemons.filter((name) => !context.withdrawn.has(name));
}
