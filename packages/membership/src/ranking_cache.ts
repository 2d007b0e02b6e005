/**
 * Caches rendezvous rankings of the live daemons. Rankings are needed for every
 * replica each second, and the set of live daemons changes rarely.
 */
import { rankNamesByRendezvous } from "./rendezvous.ts";

const MAX_RANKINGS = 4_096;

export interface RankingCache {
  /** Ranks the members; a change of the members clears the cache. */
  rank(subject: string, members: readonly string[]): readonly string[];
}

export function createRankingCache(): RankingCache {
  let cachedMembers = "";
  let rankings = new Map<string, readonly string[]>();

  return {
    rank(subject, members) {
      const memberKey = members.join("\0");
      if (memberKey !== cachedMembers || rankings.size >= MAX_RANKINGS) {
        rankings = new Map();
        cachedMembers = memberKey;
      }
      const cached = rankings.get(subject);
      if (cached !== undefined) return cached;
      const ranked = rankNamesByRendezvous(subject, members);
      rankings.set(subject, ranked);
      return ranked;
    },
  };
}
