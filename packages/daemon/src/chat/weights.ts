/**
 * Chooses the weight version that serves a request.
 */
import { rankByRendezvous } from "@peridotvalve/rendezvous";
import { type Candidate, isZoneBarred } from "@peridotvalve/routing";

export interface WeightVersionQuery {
  /** Name of the customer and key of the conversation. */
  readonly conversation: string;
  /** Version in the configuration. */
  readonly target: string;
  readonly barredZones: readonly string[];
  /** Replicas that failed earlier attempts. */
  readonly excluded: readonly string[];
  /** Version of a stream of which the caller has already received a part. */
  readonly pinned: string | undefined;
}

/**
 * During a rollout, conversations are divided among the versions in proportion
 * to their ready slots, so that no capacity is idle. With rendezvous hashing
 * each conversation moves only once, from the shrinking version to the growing
 * one. A started stream stays on its version while a replica serves it.
 */
export function planWeightVersion(
  query: WeightVersionQuery,
  candidates: readonly Candidate[],
): string {
  const { conversation, target, excluded, pinned } = query;
  const slots = new Map<string, number>();
  for (const candidate of candidates) {
    const { name, state, weights, availabilityZone } = candidate;
    if (state !== "ready" || excluded.includes(name)) continue;
    if (isZoneBarred(query, availabilityZone)) continue;
    slots.set(weights, (slots.get(weights) ?? 0) + candidate.slots);
  }
  if (pinned !== undefined && slots.has(pinned)) return pinned;
  const versions = [...slots].map(([name, weight]) => ({ name, weight }));
  return rankByRendezvous(conversation, versions)[0]?.name ?? target;
}
