/**
 * Estimates the prompt bytes that daemons sent to replicas of another region,
 * from the `attempt_started` events in their logs. Responses and KV cache blocks
 * are not counted.
 */
import type { Deployment } from "@peridotvalve/testbed";
import { z } from "zod";
import type { SentRequest } from "../run/send.ts";
import { parseJson } from "../trace/trace.ts";

const BYTES_PER_TOKEN = 4;

const ATTEMPT_STARTED_SCHEMA = z.object({
  context: z.object({
    name: z.literal("attempt_started"),
    request: z.string(),
    upstream: z.string(),
  }),
});

/** Returns the number of lines that each daemon has logged so far. */
export function recordLogPositions(
  deployment: Deployment,
  daemons: readonly string[],
): ReadonlyMap<string, number> {
  return new Map(
    daemons.map((name) => [
      name,
      deployment.processes.get(name)?.lines().length ?? 0,
    ]),
  );
}

/**
 * Counts the bytes of the prompts of `sent` in the log lines after the given
 * positions, with 4 bytes for each token.
 */
export function countLinkBytes(
  deployment: Deployment,
  sent: readonly SentRequest[],
  logPositions: ReadonlyMap<string, number>,
): number {
  const tokens = new Map(
    sent.map(({ requestId, promptTokens }) => [requestId, promptTokens]),
  );
  let bytes = 0;
  for (const [name, position] of logPositions) {
    const lines = deployment.processes.get(name)?.lines().slice(position) ?? [];
    const region = deployment.settings.get(name)?.region;
    for (const line of lines) {
      if (!line.includes("attempt_started")) continue;
      const parsed = ATTEMPT_STARTED_SCHEMA.safeParse(parseJson(line));
      if (!parsed.success) continue;
      const { request, upstream } = parsed.data.context;
      if (regionOf(deployment, upstream) === region) continue;
      bytes += (tokens.get(request) ?? 0) * BYTES_PER_TOKEN;
    }
  }
  return bytes;
}

function regionOf(deployment: Deployment, replica: string): string | undefined {
  const { groups, regions } = deployment.configuration;
  const settings = Object.values(groups)
    .map((group) => group.replicas[replica])
    .find((found) => found !== undefined);
  return Object.entries(regions).find(([, region]) =>
    region.availabilityZones.includes(settings?.availabilityZone ?? "")
  )?.[0];
}
