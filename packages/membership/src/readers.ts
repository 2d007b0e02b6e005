/**
 * Cached rendezvous choices over the live set. Questions about every replica
 * come each second, and the live set changes rarely.
 */
import { rankByRendezvous } from "./rendezvous.ts";

const MAX_CACHED = 4_096;

export interface Readers {
  rank(subject: string, members: readonly string[]): readonly string[];
}

export function createReaders(): Readers {
  let basis = "";
  let cache = new Map<string, readonly string[]>();

  return {
    rank(subject, members) {
      const key = members.join("\0");
      if (key !== basis || cache.size >= MAX_CACHED) {
        cache = new Map();
        basis = key;
      }
      const cached = cache.get(subject);
      if (cached !== undefined) return cached;
      const ranked = rankByRendezvous(subject, members);
      cache.set(subject, ranked);
      return ranked;
    },
  };
}
