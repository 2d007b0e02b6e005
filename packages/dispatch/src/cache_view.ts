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
  /** Forgets all parts of a holder, or those of other salts. */
  abstract clear(holder: string): void;
  abstract retain(holders: ReadonlySet<string>): void;
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

    override retain(present: ReadonlySet<string>): void {
      for (const holder of holders.keys()) {
        if (!present.has(holder)) holders.delete(holder);
      }
    }
  })();
}

function keyOf(salt: string, part: string): string {
  return `${salt} ${part}`;
}
