/**
 * The KV cache of an engine: a fixed number of slots with LRU eviction. The
 * memory of an evicted block is reused immediately.
 */
import type { BlockName } from "@peridotvalve/types";

export interface CachedBlock {
  readonly name: BlockName;
  readonly bytes: Buffer;
  /** Reference count; a block with pins is not evicted. */
  pins: number;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly block: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

export interface BlockCache {
  /** Returns the block and marks it as most recently used. */
  find(name: BlockName): CachedBlock | undefined;
  /**
   * Copies the content into a slot. Returns the block, or undefined when all
   * blocks are pinned.
   */
  insert(name: BlockName, content: Buffer): CachedBlock | undefined;
  clear(): void;
  readonly used: () => number;
  /** Events after a sequence number, at least `minimumAge` milliseconds old. */
  listEvents(after: number, minimumAge: number): readonly CacheEvent[];
  /** Sequence number of the oldest event that is kept. */
  readonly firstEvent: () => number;
  /** Discards the oldest events, which readers see as a gap. */
  dropEvents(count: number): void;
}

const MAX_EVENTS = 4_096;

export function createBlockCache(
  limits: { readonly blocks: number; readonly blockBytes: number },
): BlockCache {
  // Maps keep insertion order: the first entry is the least recently used.
  const entries = new Map<string, CachedBlock>();
  const freeSlots: Buffer[] = [];
  let events: CacheEvent[] = [];
  let sequence = 0;

  function record(kind: CacheEvent["kind"], block: string): void {
    sequence += 1;
    events.push({ sequence, kind, block, at: performance.now() });
    if (events.length > MAX_EVENTS) events = events.slice(-MAX_EVENTS / 2);
  }

  function evict(): void {
    for (const [key, entry] of entries) {
      if (entry.pins > 0) continue;
      entries.delete(key);
      freeSlots.push(entry.bytes);
      record("removed", entry.name.block);
      return;
    }
  }

  function takeSlot(): Buffer | undefined {
    if (entries.size >= limits.blocks) evict();
    if (entries.size >= limits.blocks) return undefined;
    return freeSlots.pop() ?? Buffer.alloc(limits.blockBytes);
  }

  return {
    find(name) {
      const key = keyOf(name);
      const entry = entries.get(key);
      if (entry === undefined) return undefined;
      entries.delete(key);
      entries.set(key, entry);
      return entry;
    },
    insert(name, content) {
      const key = keyOf(name);
      const existing = entries.get(key);
      if (existing !== undefined) return existing;
      const bytes = takeSlot();
      if (bytes === undefined) return undefined;
      content.copy(bytes);
      const entry: CachedBlock = { name, bytes, pins: 0 };
      entries.set(key, entry);
      record("stored", name.block);
      return entry;
    },
    clear() {
      for (const [key, entry] of entries) {
        // Running sequences still use the memory of pinned blocks.
        if (entry.pins === 0) freeSlots.push(entry.bytes);
        entries.delete(key);
        record("removed", entry.name.block);
      }
    },
    used: () => entries.size,
    listEvents(after, minimumAge) {
      const cutoff = performance.now() - minimumAge;
      return events.filter((event) =>
        event.sequence > after && event.at <= cutoff
      );
    },
    firstEvent: () => events[0]?.sequence ?? sequence + 1,
    dropEvents(count) {
      events = events.slice(count);
    },
  };
}

function keyOf(name: BlockName): string {
  return JSON.stringify([name.customer, name.weights, name.block]);
}
