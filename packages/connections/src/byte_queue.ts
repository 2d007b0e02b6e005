/**
 * Queue of received bytes. A peer may send a body in chunks of one byte, and each
 * received chunk costs a buffer object of over 100 bytes, so small chunks are
 * copied into shared blocks. The memory of a queue then follows from the number
 * of its bytes alone. A long chunk that fills its buffer is kept as it is.
 */
import type { Bytes } from "@peridotvalve/types";

export interface ByteQueue {
  readonly size: Bytes;
  /** The bytes of the chunk must not change afterwards. */
  push(chunk: Uint8Array): void;
  /** Removes the oldest bytes; undefined when the queue is empty. */
  shift(): Uint8Array | undefined;
  /** Removes all bytes and returns them in one piece. */
  drain(): Buffer;
  clear(): void;
}

/** Length up to which a block takes further chunks. */
const MAX_BLOCK: Bytes = 64 * 1_024;

/** Length from which a chunk is kept without a copy. */
const MIN_KEPT: Bytes = 16 * 1_024;

export function createByteQueue(): ByteQueue {
  const complete: Uint8Array[] = [];
  let tail = Buffer.alloc(0);
  let tailSize: Bytes = 0;
  let size: Bytes = 0;

  function completeTail(): void {
    if (tailSize > 0) complete.push(tail.subarray(0, tailSize));
    tail = Buffer.alloc(0);
    tailSize = 0;
  }

  /** Makes room in the last block, whose length at least doubles. */
  function reserve(length: Bytes): void {
    const needed = tailSize + length;
    if (needed <= tail.length) return;
    const doubled = Math.min(MAX_BLOCK, tail.length * 2);
    const grown = Buffer.allocUnsafe(Math.max(needed, doubled));
    tail.copy(grown, 0, 0, tailSize);
    tail = grown;
  }

  /** True when keeping the chunk as it is costs at most twice its length. */
  function isDense(chunk: Uint8Array): boolean {
    return chunk.length >= MIN_KEPT &&
      chunk.length * 2 >= chunk.buffer.byteLength;
  }

  return {
    get size() {
      return size;
    },
    push(chunk) {
      size += chunk.length;
      if (isDense(chunk)) {
        completeTail();
        complete.push(chunk);
        return;
      }
      if (tailSize + chunk.length > MAX_BLOCK) completeTail();
      reserve(chunk.length);
      tail.set(chunk, tailSize);
      tailSize += chunk.length;
    },
    shift() {
      if (complete.length === 0) completeTail();
      const oldest = complete.shift();
      size -= oldest?.length ?? 0;
      return oldest;
    },
    drain() {
      completeTail();
      const all = Buffer.concat(complete);
      this.clear();
      return all;
    },
    clear() {
      complete.length = 0;
      tail = Buffer.alloc(0);
      tailSize = 0;
      size = 0;
    },
  };
}
