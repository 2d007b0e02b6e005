/**
 * Tracks which prompt parts each replica or store has cached, from cache events
 * and from the requests that this daemon has sent.
 */
import type { Tokens } from "@peridotvalve/types";
import type { PromptPart } from "./dispatch_request.ts";

/** A change of a holder's cache. `tokens` is 0 when the part was evicted. */
export interface CacheEvent {
  readonly salt: string;
  readonly part: string;
  readonly tokens: Tokens;
}

export abstract class CacheView {
  abstract apply(holder: string, event: CacheEvent): void;
  /**
   * Records parts that the holder is expected to cache after a request. Later
   * cache events correct the record.
   */
  abstract expect(
    holder: string,
    salt: string,
    parts: readonly PromptPart[],
  ): void;
  /** Number of cached tokens at the start of the prompt. */
  abstract held(
    holder: string,
    salt: string,
    parts: readonly PromptPart[],
  ): Tokens;
  /** True when the holder has cached the whole part. */
  abstract hasPart(holder: string, salt: string, part: PromptPart): boolean;
  /** Total number of tokens cached by a holder. */
  abstract totalTokens(holder: string): Tokens;
  /**
   * Salts and ids of the cached parts for whose salt `isCurrent` returns false.
   */
  abstract listStale(
    holder: string,
    isCurrent: (salt: string) => boolean,
  ): readonly (readonly [salt: string, part: string])[];
  abstract clear(holder: string): void;
}

/**
 * Maximum number of parts tracked for one holder; the oldest are dropped first.
 * A replica with memory for 240,000 tokens holds a few hundred parts.
 */
const MAX_PARTS = 4_000;

export function createCacheView(): CacheView {
  const holders = new Map<string, Map<string, Tokens>>();

  function partsOf(holder: string): Map<string, Tokens> {
    const known = holders.get(holder);
    if (known !== undefined) return known;
    const parts = new Map<string, Tokens>();
    holders.set(holder, parts);
    return parts;
  }

  function set(holder: string, key: string, tokens: Tokens): void {
    const parts = partsOf(holder);
    parts.delete(key);
    parts.set(key, tokens);
    if (parts.size <= MAX_PARTS) return;
    const oldest = parts.keys().next();
    if (!oldest.done) parts.delete(oldest.value);
  }

  return new (class extends CacheView {
    override apply(holder: string, { salt, part, tokens }: CacheEvent): void {
      const key = composeKey(salt, part);
      if (tokens > 0) set(holder, key, tokens);
      else partsOf(holder).delete(key);
    }

    override expect(
      holder: string,
      salt: string,
      parts: readonly PromptPart[],
    ): void {
      for (const part of parts) {
        set(holder, composeKey(salt, part.id), part.tokens);
      }
    }

    override held(
      holder: string,
      salt: string,
      parts: readonly PromptPart[],
    ): Tokens {
      const known = holders.get(holder);
      if (known === undefined) return 0;
      let total: Tokens = 0;
      for (const { id, tokens } of parts) {
        const held = known.get(composeKey(salt, id)) ?? 0;
        total += Math.min(held, tokens);
        if (held < tokens) break;
      }
      return total;
    }

    override clear(holder: string): void {
      holders.delete(holder);
    }

    override hasPart(holder: string, salt: string, part: PromptPart): boolean {
      const held = holders.get(holder)?.get(composeKey(salt, part.id)) ?? 0;
      return held >= part.tokens;
    }

    override totalTokens(holder: string): Tokens {
      let total: Tokens = 0;
      for (const tokens of holders.get(holder)?.values() ?? []) total += tokens;
      return total;
    }

    override listStale(
      holder: string,
      isCurrent: (salt: string) => boolean,
    ): readonly (readonly [salt: string, part: string])[] {
      const keys = [...holders.get(holder)?.keys() ?? []];
      return keys.map(splitKey).filter(([salt]) => !isCurrent(salt));
    }
  })();
}

// Salts are composed by `saltOf` and contain no space.
function composeKey(salt: string, part: string): string {
  return `${salt} ${part}`;
}

function splitKey(key: string): readonly [salt: string, part: string] {
  const space = key.indexOf(" ");
  return [key.slice(0, space), key.slice(space + 1)];
}
