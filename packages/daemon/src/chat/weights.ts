/**
 * The weight version for which a request is planned.
 */
import { rankByRendezvous } from "@peridotvalve/rendezvous";
import type { Candidate } from "@peridotvalve/routing";

export interface WeightsQuestion {
  /** Key of the conversation within the customer. */
  readonly conversation: string;
  /** Version that the configuration wants. */
  readonly target: string;
  readonly barredZones: readonly string[];
  /** Replicas that failed earlier attempts. */
  readonly excluded: readonly string[];
  /** Version of the stream that the caller has a part of. */
  readonly begun: string | undefined;
}

/**
 * During a roll-out the conversations are divided among the versions by their
 * ready slots, so that no capacity is idle. By rendezvous hashing a
 * conversation moves once, from the version that shrinks to the one that grows.
 * A stream that has begun stays with its version where a replica has it.
 */
export function planWeights(
  question: WeightsQuestion,
  candidates: readonly Candidate[],
): string {
  const { conversation, target, barredZones, excluded, begun } = question;
  const slots = new Map<string, number>();
  for (const candidate of candidates) {
    const { name, state, weights, availabilityZone } = candidate;
    if (state !== "ready" || excluded.includes(name)) continue;
    if (barredZones.includes(availabilityZone)) continue;
    slots.set(weights, (slots.get(weights) ?? 0) + candidate.slots);
  }
  if (begun !== undefined && slots.has(begun)) return begun;
  const versions = [...slots].map(([name, weight]) => ({ name, weight }));
  return rankByRendezvous(conversation, versions)[0]?.name ?? target;
}
