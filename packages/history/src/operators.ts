/**
 * Operators that change the configuration, and observers that read what the
 * daemons have.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { request } from "undici";
import type { Changed, Observed } from "./records.ts";
import type { World } from "./world.ts";

const OBSERVE_INTERVAL: Milliseconds = 250;
const OBSERVE_LIMIT: Milliseconds = 2_000;
const CHANGE_LIMIT: Milliseconds = 12_000;

interface HeldConfiguration {
  readonly version: number;
  readonly change: string;
  readonly content: {
    readonly limits: { readonly queueLength: number };
  };
}

function addressOf(world: World, daemon: string): string {
  return world.deployment.settings.get(daemon)?.listeners.operators ?? "";
}

function headersOf(world: World): Readonly<Record<string, string>> {
  return { "authorization": `Bearer ${world.deployment.operatorToken}` };
}

async function read<Body>(
  world: World,
  daemon: string,
  path: string,
): Promise<Body | undefined> {
  try {
    const answer = await request(`http://${addressOf(world, daemon)}${path}`, {
      dispatcher: world.agent,
      headers: headersOf(world),
      signal: AbortSignal.timeout(OBSERVE_LIMIT),
    });
    if (answer.statusCode === 200) return await answer.body.json() as Body;
    await answer.body.dump();
  } catch {
    // The daemon is down or paused; there is nothing to observe.
  }
  return undefined;
}

/** Reads the version and the marker that a daemon has in force. */
export async function observe(
  world: World,
  daemon: string,
): Promise<Observed | undefined> {
  const sent = Date.now();
  const status = await read<{ readonly incarnation: string }>(
    world,
    daemon,
    "/status",
  );
  const held = await read<HeldConfiguration>(world, daemon, "/configuration");
  const again = await read<{ readonly incarnation: string }>(
    world,
    daemon,
    "/status",
  );
  if (status === undefined || held === undefined) return undefined;
  // A restart between the reads would give the version to the wrong process.
  if (status.incarnation !== again?.incarnation) return undefined;
  const observed: Observed = {
    kind: "observed",
    daemon,
    sent,
    received: Date.now(),
    incarnation: status.incarnation,
    version: held.version,
    change: held.change,
    marker: held.content.limits.queueLength,
  };
  world.recorder.add(observed);
  return observed;
}

/** Observes a daemon until the signal aborts. */
export async function observeForever(
  world: World,
  daemon: string,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await observe(world, daemon);
    await sleep(OBSERVE_INTERVAL);
  }
}

export interface ChangeRequest {
  readonly daemon: string;
  readonly change: string;
  readonly marker: number;
  /** The version that the change replaces; the one in force when absent. */
  readonly expect?: number;
}

/** Applies the configuration in force with another marker. */
export async function applyChange(
  world: World,
  { daemon, change, marker, expect }: ChangeRequest,
): Promise<Changed | undefined> {
  const held = await read<HeldConfiguration>(world, daemon, "/configuration");
  if (held === undefined) return undefined;
  const base = expect ?? held.version;
  const limits = { ...held.content.limits, queueLength: marker };
  const body = JSON.stringify({
    content: { ...held.content, limits },
    change,
    expect: base,
  });
  const operation = { type: "change", daemon, change, expect: base, marker };
  return await world.recorder.run(
    operation as typeof operation & { readonly type: "change" },
    () => postChange(world, daemon, body),
  );
}

async function postChange(
  world: World,
  daemon: string,
  body: string,
): Promise<Changed> {
  const unknown = {
    type: "changed",
    result: "unknown",
    version: null,
  } as const;
  try {
    const url = `http://${addressOf(world, daemon)}/configuration`;
    const answer = await request(url, {
      dispatcher: world.agent,
      method: "POST",
      headers: headersOf(world),
      body,
      signal: AbortSignal.timeout(CHANGE_LIMIT),
    });
    if (answer.statusCode !== 200) return unknown;
    const { outcome, version } = await answer.body.json() as {
      readonly outcome: Changed["result"];
      readonly version?: number;
    };
    return { type: "changed", result: outcome, version: version ?? null };
  } catch {
    return unknown;
  }
}

/** Records the platform's history of changes, read through any daemon. */
export async function recordConfiguration(world: World): Promise<void> {
  for (const daemon of world.daemons) {
    const page = await read<
      { readonly entries: readonly { version: number; change: string }[] }
    >(world, daemon, "/configuration/history?limit=1000");
    if (page === undefined) continue;
    const { entries } = page;
    return world.recorder.add({ kind: "configuration record", entries });
  }
}
