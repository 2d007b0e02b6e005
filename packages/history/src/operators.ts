/**
 * Applies configuration changes as an operator does, and records which version
 * each daemon has in force.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { request } from "undici";
import type { ChangeResult, Observation } from "./records.ts";
import type { RunContext } from "./run_context.ts";

const OBSERVE_INTERVAL: Milliseconds = 250;
const OBSERVE_TIMEOUT: Milliseconds = 2_000;
const CHANGE_TIMEOUT: Milliseconds = 12_000;

interface ActiveConfiguration {
  readonly version: number;
  readonly change: string;
  readonly content: {
    readonly limits: { readonly queueLength: number };
  };
}

function operatorAddressOf(context: RunContext, daemon: string): string {
  return context.deployment.settings.get(daemon)?.listeners.operators ?? "";
}

function operatorHeadersOf(
  context: RunContext,
): Readonly<Record<string, string>> {
  return { "authorization": `Bearer ${context.deployment.operatorToken}` };
}

async function readJson<Body>(
  context: RunContext,
  daemon: string,
  path: string,
): Promise<Body | undefined> {
  try {
    const response = await request(
      `http://${operatorAddressOf(context, daemon)}${path}`,
      {
        dispatcher: context.agent,
        headers: operatorHeadersOf(context),
        signal: AbortSignal.timeout(OBSERVE_TIMEOUT),
      },
    );
    if (response.statusCode === 200) return await response.body.json() as Body;
    await response.body.dump();
  } catch {
    // The daemon is down or paused, so there is nothing to observe.
  }
  return undefined;
}

/**
 * Records the version and marker that a daemon has in force. Returns undefined
 * when the daemon does not answer or restarts meanwhile.
 */
export async function observe(
  context: RunContext,
  daemon: string,
): Promise<Observation | undefined> {
  const sent = Date.now();
  const statusBefore = await readJson<{ readonly incarnation: string }>(
    context,
    daemon,
    "/status",
  );
  const active = await readJson<ActiveConfiguration>(
    context,
    daemon,
    "/configuration",
  );
  const statusAfter = await readJson<{ readonly incarnation: string }>(
    context,
    daemon,
    "/status",
  );
  if (statusBefore === undefined || active === undefined) return undefined;
  // After a restart between the reads, the version may belong to either process.
  if (statusBefore.incarnation !== statusAfter?.incarnation) return undefined;
  const observation: Observation = {
    kind: "observed",
    daemon,
    sent,
    received: Date.now(),
    incarnation: statusBefore.incarnation,
    version: active.version,
    change: active.change,
    marker: active.content.limits.queueLength,
  };
  context.recorder.add(observation);
  return observation;
}

/** Observes a daemon repeatedly until the signal aborts. */
export async function observeUntilAborted(
  context: RunContext,
  daemon: string,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await observe(context, daemon);
    await sleep(OBSERVE_INTERVAL);
  }
}

export interface ChangeRequest {
  readonly daemon: string;
  readonly change: string;
  readonly marker: number;
  /** Version that the change replaces; by default the one in force. */
  readonly expect?: number;
}

/**
 * Applies the configuration in force with another marker. Returns undefined
 * when the daemon does not return its configuration.
 */
export async function applyChange(
  context: RunContext,
  { daemon, change, marker, expect }: ChangeRequest,
): Promise<ChangeResult | undefined> {
  const active = await readJson<ActiveConfiguration>(
    context,
    daemon,
    "/configuration",
  );
  if (active === undefined) return undefined;
  const base = expect ?? active.version;
  const limits = { ...active.content.limits, queueLength: marker };
  const body = JSON.stringify({
    content: { ...active.content, limits },
    change,
    expect: base,
  });
  const operation = { type: "change", daemon, change, expect: base, marker };
  return await context.recorder.run(
    operation as typeof operation & { readonly type: "change" },
    () => postChange(context, daemon, body),
  );
}

async function postChange(
  context: RunContext,
  daemon: string,
  body: string,
): Promise<ChangeResult> {
  const unknown = {
    type: "changed",
    result: "unknown",
    version: null,
  } as const;
  try {
    const url = `http://${operatorAddressOf(context, daemon)}/configuration`;
    const response = await request(url, {
      dispatcher: context.agent,
      method: "POST",
      headers: operatorHeadersOf(context),
      body,
      signal: AbortSignal.timeout(CHANGE_TIMEOUT),
    });
    if (response.statusCode !== 200) return unknown;
    const { outcome, version } = await response.body.json() as {
      readonly outcome: ChangeResult["result"];
      readonly version?: number;
    };
    return { type: "changed", result: outcome, version: version ?? null };
  } catch {
    return unknown;
  }
}

/** Records the platform's change history from the first daemon that returns it. */
export async function recordConfiguration(context: RunContext): Promise<void> {
  for (const daemon of context.daemons) {
    const page = await readJson<
      { readonly entries: readonly { version: number; change: string }[] }
    >(context, daemon, "/configuration/history?limit=1000");
    if (page === undefined) continue;
    const { entries } = page;
    return context.recorder.add({ kind: "configuration record", entries });
  }
}
