/**
 * The blocks of a store VM in a memory and a disk tier. The buffer of a freed
 * block is reused for the next block of the same length. A read may therefore
 * return a mix of two blocks (a torn read), which only the checksum reveals.
 */
import { randomUUID } from "node:crypto";

export interface TableEntry {
  readonly generation: string;
  readonly checksum: string;
  readonly bytes: Buffer;
  tier: "memory" | "disk";
}

export interface TableStats {
  readonly incarnation: string;
  readonly memoryBytes: number;
  readonly memoryLimit: number;
  readonly diskBytes: number;
  readonly diskLimit: number;
  readonly blocks: number;
}

export interface BlockTable {
  readonly incarnation: () => string;
  /** Returns the block and marks it as most recently used. */
  find(key: string): TableEntry | undefined;
  /**
   * Reserves memory for a new block of `length` bytes. Returns undefined when
   * both tiers are full.
   */
  reserve(length: number): Buffer | undefined;
  /** Frees reserved memory that was not committed. */
  release(bytes: Buffer): void;
  /** Publishes a complete block under a new generation. */
  commit(key: string, block: { bytes: Buffer; checksum: string }): TableEntry;
  remove(key: string): void;
  /** Removes all blocks and changes the incarnation, as a restart does. */
  clear(): void;
  stats(): TableStats;
}

/** The limits are in bytes. */
export function createBlockTable(
  limits: { readonly memoryLimit: number; readonly diskLimit: number },
): BlockTable {
  const { memoryLimit, diskLimit } = limits;
  // Maps keep insertion order: the first entry is the least recently used.
  const entries = new Map<string, TableEntry>();
  const freeBuffers = new Map<number, Buffer[]>();
  let incarnation = randomUUID() as string;
  let lastGeneration = 0;
  let reserved = 0;

  function sumBytes(tier: TableEntry["tier"]): number {
    const held = [...entries.values()].filter((entry) => entry.tier === tier);
    return held.reduce((sum, entry) => sum + entry.bytes.length, 0);
  }

  function recycle(bytes: Buffer): void {
    const list = freeBuffers.get(bytes.length) ?? [];
    list.push(bytes);
    freeBuffers.set(bytes.length, list);
  }

  /**
   * Moves the least recently used blocks to disk until `length` bytes fit into
   * memory. Returns false when they don't fit.
   */
  function spillToDisk(length: number): boolean {
    for (const entry of entries.values()) {
      if (sumBytes("memory") + reserved + length <= memoryLimit) return true;
      if (entry.tier === "disk") continue;
      if (sumBytes("disk") + entry.bytes.length > diskLimit) return false;
      entry.tier = "disk";
    }
    return sumBytes("memory") + reserved + length <= memoryLimit;
  }

  return {
    incarnation: () => incarnation,
    find(key) {
      const entry = entries.get(key);
      if (entry === undefined) return undefined;
      entries.delete(key);
      entries.set(key, entry);
      return entry;
    },
    reserve(length) {
      if (!spillToDisk(length)) return undefined;
      reserved += length;
      return freeBuffers.get(length)?.pop() ?? Buffer.alloc(length);
    },
    release(bytes) {
      reserved -= bytes.length;
      recycle(bytes);
    },
    commit(key, block) {
      reserved -= block.bytes.length;
      const old = entries.get(key);
      if (old !== undefined) recycle(old.bytes);
      lastGeneration += 1;
      const generation = `${incarnation}-${lastGeneration}`;
      const entry: TableEntry = { ...block, generation, tier: "memory" };
      entries.delete(key);
      entries.set(key, entry);
      return entry;
    },
    remove(key) {
      const entry = entries.get(key);
      if (entry === undefined) return;
      entries.delete(key);
      recycle(entry.bytes);
    },
    clear() {
      for (const entry of entries.values()) recycle(entry.bytes);
      entries.clear();
      incarnation = randomUUID();
      lastGeneration = 0;
    },
    stats: () => ({
      incarnation,
      memoryBytes: sumBytes("memory"),
      memoryLimit,
      diskBytes: sumBytes("disk"),
      diskLimit,
      blocks: entries.size,
    }),
  };
}
