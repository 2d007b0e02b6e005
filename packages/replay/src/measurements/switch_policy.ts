/**
 * Changes the placement policy of a running deployment and waits until every
 * daemon has adopted the new configuration.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Deployment } from "@peridotvalve/testbed";
import type { Policy } from "./scenarios.ts";

const POLL_INTERVAL_MILLISECONDS = 100;
const ADOPTION_TIMEOUT_MILLISECONDS = 15_000;

/**
 * Throws when the configuration is not applied, or when a daemon has not adopted
 * it within 15 s.
 */
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
  const hosts = change.daemons.map((name) =>
    deployment.settings.get(name)?.listeners.operators ?? ""
  );
  const headers = { authorization: `Bearer ${deployment.operatorToken}` };
  const response = await fetch(`http://${hosts[0]}/configuration`, {
    method: "POST",
    headers,
    body: JSON.stringify({ content, change: change.id, author: "measure" }),
  });
  const { outcome, version } = await response.json() as {
    readonly outcome: string;
    readonly version?: number;
  };
  if (version === undefined) throw new Error(`policy change: ${outcome}`);
  const end = performance.now() + ADOPTION_TIMEOUT_MILLISECONDS;
  for (const host of hosts) {
    for (;;) {
      const status = await fetch(`http://${host}/status`, { headers });
      const adopted = await status.json() as {
        readonly version: number | null;
      };
      if ((adopted.version ?? -1) >= version) break;
      if (performance.now() > end) throw new Error(`${host} did not update`);
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }
}
