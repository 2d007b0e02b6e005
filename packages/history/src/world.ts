/**
 * A deployment under observation: what callers, operators and faults share.
 */
import type { Deployment } from "@peridotvalve/testbed";
import { Agent } from "undici";
import type { Recorder } from "./recorder.ts";
import type { Relay } from "./relay.ts";

export interface World {
  readonly deployment: Deployment;
  readonly recorder: Recorder;
  /** Opens a connection for each call, so that none is cut off while idle. */
  readonly agent: Agent;
  /** Names of the daemons that take part. */
  readonly daemons: readonly string[];
  /** Daemons that the platform's balancer does not send to. */
  readonly withdrawn: Set<string>;
  /** Relays in front of the platform, by daemon. */
  readonly relays: ReadonlyMap<string, Relay>;
}

export function createAgent(): Agent {
  return new Agent({ pipelining: 0, connect: { timeout: 5_000 } });
}

/** Daemons that a balancer would send new calls to. */
export function listOpen(world: World): readonly string[] {
  return world.daemons.filter((name) => !world.withdrawn.has(name));
}
