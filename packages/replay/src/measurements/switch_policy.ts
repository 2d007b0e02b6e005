/**
 * Applies a configuration with another placement policy and waits until every
 * daemon has adopted it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Deployment } from "@peridotvalve/testbed";
import type { Policy } from "./scenarios.ts";

const PAUSE = 100;
const LIMIT = 15_000;

export async function switchPolicy(
  deployment: Deployment,
  change: {
    readonly daemons: readonly string[];
    readonly policy: Policy;
    readonly id: string;
  },
): Promise<void> {
  const { configuration } = deployment;
  const content = {
    ...configuration,
    policy: { ...configuration.policy, placement: change.policy },
  };
  const listeners = change.daemons.map((name) =>
    deployment.settings.get(name)?.listeners.operators ?? ""
  );
  const headers = { authorization: `Bearer ${deployment.operatorToken}` };
  const answer = await fetch(`http://${listeners[0]}/configuration`, {
    method: "POST",
    headers,
    body: JSON.stringify({ content, change: change.id, author: "measure" }),
  });
  const { outcome, version } = await answer.json() as {
    readonly outcome: string;
    readonly version?: number;
  };
  if (version === undefined) throw new Error(`configuration ${outcome}`);
  const end = performance.now() + LIMIT;
  for (const listener of listeners) {
    for (;;) {
      const status = await fetch(`http://${listener}/status`, { headers });
      const held = await status.json() as { readonly version: number | null };
      if ((held.version ?? -1) >= version) break;
      if (performance.now() > end) throw new Error(`${listener} lags behind`);
      await sleep(PAUSE);
    }
  }
}
