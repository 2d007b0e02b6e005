/**
 * Which parts of prompts each replica keeps, from its cache events and from
 * what this daemon has sent there.
 */
import type { Tokens } from "@peridotvalve/types";
import type { PromptPart } from "./work.ts";

/** One change of a cache; 0 tokens when the part was evicted. */
export interface CacheEvent {
  readonly salt: string;
  readonly part: string;
  readonly tokens: Tokens;
}

export abstract class CacheView {
  abstract apply(holder: string, event: CacheEvent): void;
  /** Assumes that the holder will keep the parts; events correct it. */
  abstract expect(
    holder: string,
    salt: string,
    parts: readonly PromptPart[],
  ): void;
  /** Tokens at the start of the prompt that the holder keeps. */
  abstract held(
    holder: string,
    salt: string,
    parts: readonly PromptPart[],
  ): Tokens;
  /** True when the holder keeps the whole part. */
  abstract keeps(holder: string, salt: string, part: PromptPart): boolean;
  /** Tokens of all parts of a holder. */
  abstract total(holder: string): Tokens;
  /** Salts and ids of the parts whose salt is not current. */
  abstract listStale(
    holder: string,
    isCurrent: (salt: string) => boolean,
  ): readonly (readonly [salt: string, part: string])[];
  abstract clear(holder: string): void;
}

/**
 * Parts remembered for one holder; the oldest are forgotten first. A replica
 * with memory for 240,000 tokens keeps a few hundred parts.
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
      const key = keyOf(salt, part);
      if (tokens > 0) set(holder, key, tokens);
      else partsOf(holder).delete(key);
    }

    override expect(
      holder: string,
      salt: string,
      parts: readonly PromptPart[],
    ): void {
      for (const part of parts) {
        set(holder, keyOf(salt, part.id), part.tokens);
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
        const held = known.get(keyOf(salt, id)) ?? 0;
        total += Math.min(held, tokens);
        if (held < tokens) break;
      }
      return total;
    }

    override clear(holder: string): void {
      holders.delete(holder);
    }

    override keeps(holder: string, salt: string, part: PromptPart): boolean {
      const held = holders.get(holder)?.get(keyOf(salt, part.id)) ?? 0;
      return held >= part.tokens;
    }

    override total(holder: string): Tokens {
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

// Salts are made by this project and hold no space.
function keyOf(salt: string, part: string): string {
  return `${salt} ${part}`;
}

function splitKey(key: string): readonly [salt: string, part: string] {
  const space = key.indexOf(" ");
  return [key.slice(0, space), key.slice(space + 1)];
}
