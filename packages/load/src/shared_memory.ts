/**
 * Memory of prompt parts that several running requests of a replica share. Each
 * part takes it once, from the start of the first request to the end of the
 * last.
 */
import type { Tokens } from "@peridotvalve/types";

export interface SharedPart {
  /** Unique within the replica's cache. */
  readonly key: string;
  readonly tokens: Tokens;
}

export interface SharedMemory {
  /** Tokens of the parts that running requests hold at the replica. */
  held(replica: string, parts: readonly SharedPart[]): Tokens;
  /** Returns the tokens that were not held before. */
  add(replica: string, parts: readonly SharedPart[]): Tokens;
  /** Returns the tokens that are no longer held. */
  remove(replica: string, parts: readonly SharedPart[]): Tokens;
}

export function createSharedMemory(): SharedMemory {
  /** Running requests by part, for replicas that have any. */
  const holders = new Map<string, Map<string, number>>();

  return {
    held(replica, parts) {
      const counts = holders.get(replica);
      if (counts === undefined) return 0;
      return sumTokens(parts.filter(({ key }) => counts.has(key)));
    },
    add(replica, parts) {
      const counts = holders.get(replica) ?? new Map<string, number>();
      if (parts.length > 0) holders.set(replica, counts);
      const added = parts.filter(({ key }) => !counts.has(key));
      for (const { key } of parts) counts.set(key, (counts.get(key) ?? 0) + 1);
      return sumTokens(added);
    },
    remove(replica, parts) {
      const counts = holders.get(replica);
      const removed = parts.filter(({ key }) => {
        const left = (counts?.get(key) ?? 0) - 1;
        if (left > 0) counts?.set(key, left);
        return left <= 0 && counts?.delete(key) === true;
      });
      if (counts?.size === 0) holders.delete(replica);
      return sumTokens(removed);
    },
  };
}

function sumTokens(parts: readonly SharedPart[]): Tokens {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
