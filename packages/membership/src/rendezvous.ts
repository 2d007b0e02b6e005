/**
 * Rendezvous hashing. Every daemon that sees the same members makes the same
 * choice, and a member that comes or goes moves only its own share.
 */
import { hash } from "node:crypto";

const WEIGHT_BYTES = 6;

/** The members in the order of their weights for a subject. */
export function rankByRendezvous(
  subject: string,
  members: Iterable<string>,
): readonly string[] {
  const weighed = [...members].map((member) => ({
    member,
    weight: weigh(subject, member),
  }));
  weighed.sort((left, right) =>
    right.weight - left.weight || (left.member < right.member ? -1 : 1)
  );
  return weighed.map(({ member }) => member);
}

function weigh(subject: string, member: string): number {
  const digest = hash("sha256", JSON.stringify([subject, member]), "buffer");
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
