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
  /** Holders that have cached the whole part. */
  abstract holdersOf(salt: string, part: PromptPart): readonly string[];
  /** The cached parts of a holder. */
  abstract list(holder: string): readonly CacheEvent[];
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

interface Holder {
  /** Tokens by key, in order of their last use. */
  readonly parts: Map<string, Tokens>;
  tokens: Tokens;
}

export interface CacheViewOptions {
  /**
   * Memory of a holder that evicts the least recently used parts. Parts beyond
   * it are dropped from the view, because not every eviction is reported.
   */
  readonly memoryOf?: (holder: string) => Tokens;
}

export function createCacheView(
  { memoryOf = () => Infinity }: CacheViewOptions = {},
): CacheView {
  const holders = new Map<string, Holder>();
  /** Names of the holders by part, so that a look does not visit all holders. */
  const holdersByPart = new Map<string, Set<string>>();

  function holderOf(name: string): Holder {
    const known = holders.get(name);
    if (known !== undefined) return known;
    const holder: Holder = { parts: new Map(), tokens: 0 };
    holders.set(name, holder);
    return holder;
  }

  function remove(name: string, key: string): void {
    const holder = holders.get(name);
    const tokens = holder?.parts.get(key);
    if (holder === undefined || tokens === undefined) return;
    holder.parts.delete(key);
    holder.tokens -= tokens;
    const names = holdersByPart.get(key);
    names?.delete(name);
    if (names?.size === 0) holdersByPart.delete(key);
  }

  function set(name: string, key: string, tokens: Tokens): void {
    remove(name, key);
    const holder = holderOf(name);
    holder.parts.set(key, tokens);
    holder.tokens += tokens;
    const names = holdersByPart.get(key);
    if (names === undefined) holdersByPart.set(key, new Set([name]));
    else names.add(name);
    const memory = memoryOf(name);
    while (holder.parts.size > MAX_PARTS || holder.tokens > memory) {
      const oldest = holder.parts.keys().next();
      if (oldest.done || oldest.value === key) return;
      remove(name, oldest.value);
    }
  }

  function tokensOf(name: string, key: string): Tokens {
    return holders.get(name)?.parts.get(key) ?? 0;
  }

  return new (class extends CacheView {
    override apply(holder: string, { salt, part, tokens }: CacheEvent): void {
      const key = composeKey(salt, part);
      if (tokens > 0) set(holder, key, tokens);
      else remove(holder, key);
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
      const known = holders.get(holder)?.parts;
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
      for (const key of [...holders.get(holder)?.parts.keys() ?? []]) {
        remove(holder, key);
      }
      holders.delete(holder);
    }

    override hasPart(holder: string, salt: string, part: PromptPart): boolean {
      return tokensOf(holder, composeKey(salt, part.id)) >= part.tokens;
    }

    override holdersOf(salt: string, part: PromptPart): readonly string[] {
      const key = composeKey(salt, part.id);
      return [...holdersByPart.get(key) ?? []].filter((name) =>
        tokensOf(name, key) >= part.tokens
      );
    }

    override list(holder: string): readonly CacheEvent[] {
      return [...holders.get(holder)?.parts ?? []].map(([key, tokens]) => {
        const [salt, part] = splitKey(key);
        return { salt, part, tokens };
      });
    }

    override totalTokens(holder: string): Tokens {
      return holders.get(holder)?.tokens ?? 0;
    }

    override listStale(
      holder: string,
      isCurrent: (salt: string) => boolean,
    ): readonly (readonly [salt: string, part: string])[] {
      const keys = [...holders.get(holder)?.parts.keys() ?? []];
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
