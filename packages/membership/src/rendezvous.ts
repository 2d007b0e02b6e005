/**
 * Rendezvous hashing over names of daemons, which all have the same weight.
 */
import * as rendezvous from "@peridotvalve/rendezvous";

/** The members in the order of their preference for a subject. */
export function rankByRendezvous(
  subject: string,
  members: Iterable<string>,
): readonly string[] {
  const weighed = [...members].map((name) => ({ name, weight: 1 }));
  return rendezvous.rankByRendezvous(subject, weighed)
    .map(({ name }) => name);
}
