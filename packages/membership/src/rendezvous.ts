/**
 * Rendezvous hashing of daemon names, all with the same weight.
 */
import * as rendezvous from "@peridotvalve/rendezvous";

/** Returns the members in descending preference for the subject. */
export function rankNamesByRendezvous(
  subject: string,
  members: Iterable<string>,
): readonly string[] {
  const weighted = [...members].map((name) => ({ name, weight: 1 }));
  return rendezvous.rankByRendezvous(subject, weighted)
    .map(({ name }) => name);
}
