/**
 * Parts that this daemon has sent to replicas and that its neighbors do not know
 * of yet. When few daemons follow the cache events of replicas, this tells the
 * others where a session has its parts.
 */
import type { CacheView, PromptPart } from "@peridotvalve/dispatch";
import type { Bytes } from "@peridotvalve/types";
import { measureJson, type SentParts } from "./peer_digest.ts";

export interface SentPartsQueue {
  /** Records a request, before its parts are recorded in the cache view. */
  record(replica: string, salt: string, shared: readonly PromptPart[]): void;
  /** The oldest entries that fit into `limit` bytes of JSON. */
  take(limit: Bytes): readonly SentParts[];
}

/** Entries kept for the next heartbeats; older ones are dropped. */
const MAX_ENTRIES = 128;

/** Entries that one heartbeat may have. */
const MAX_TAKEN = 64;

export function createSentPartsQueue(
  { cache, isNeeded }: {
    readonly cache: CacheView;
    /** False when all daemons follow the cache events of replicas. */
    readonly isNeeded: () => boolean;
  },
): SentPartsQueue {
  let waiting: readonly SentParts[] = [];

  return {
    record(replica, salt, shared) {
      if (!isNeeded()) return;
      const isKnown = shared.every((part) =>
        cache.hasPart(replica, salt, part)
      );
      if (isKnown) return;
      const parts = shared.map(({ id, tokens }) => [id, tokens] as const);
      const entry = { replica, salt, parts };
      waiting = [...waiting, entry].slice(-MAX_ENTRIES);
    },
    take(limit) {
      let left = limit;
      const taken: SentParts[] = [];
      for (const entry of waiting.slice(0, MAX_TAKEN)) {
        left -= measureJson([entry.replica, entry.salt, entry.parts]) + 1;
        if (left < 0) break;
        taken.push(entry);
      }
      waiting = waiting.slice(taken.length);
      return taken;
    },
  };
}
