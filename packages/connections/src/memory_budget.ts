/**
 * The memory of a process that is for what its peers send: bodies that are read
 * or kept, and buffered responses.
 *
 * Memory counts until it is free. V8 frees a long buffer only when it collects
 * garbage of the old generation, which it does after about 64 MiB of them, more
 * than a small machine has. So a long buffer counts until it is collected, and
 * the budget collects when room is short. It also collects after a number of bytes
 * of the short pieces in which Node.js hands out a body and which are not kept.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { ByteBudget } from "./byte_budget.ts";

export interface MemoryBudget extends ByteBudget {
  readonly limit: Bytes;
  taken(): Bytes;
  /** Gives the bytes of a buffer back when the buffer has been collected. */
  giveBackCollected(buffer: Uint8Array, bytes: Bytes): void;
  /** Records a piece of received data that is not kept. */
  recordPiece(bytes: Bytes): void;
  /** Collects garbage soon if dropped buffers hold room. */
  seekRoom(): void;
  /** Collects garbage. */
  collect(): void;
  /** Calls the listener once when bytes have been given back. */
  onRoom(listener: () => void): () => void;
}

export interface MemoryBudgetOptions {
  readonly clock: Clock;
  /** Default: no limit. */
  readonly limit?: Bytes;
  /** Default: the collector of V8. */
  readonly collect?: () => void;
}

/**
 * Share of the budget that pieces which are not kept may have before they are
 * collected. Without a collection, those of fast uploads held 50 MiB. One of only
 * the young generation, at each 2, 4 or 8 MiB, left as much.
 */
const PIECE_SHARE = 1 / 2;

/** Size of the objects that describe one piece. */
const PIECE_OVERHEAD: Bytes = 400;

/** A collection takes 10 to 40 ms. */
const COLLECTION_PERIOD: Milliseconds = 250;

/** Length from which dropped buffers count until they are collected. */
const MIN_COLLECTED: Bytes = 64 * 1_024;

export function createMemoryBudget(
  { clock, limit = Infinity, collect = collectGarbage }: MemoryBudgetOptions,
): MemoryBudget {
  const maxPieces = limit * PIECE_SHARE;
  let taken: Bytes = 0;
  let dropped: Bytes = 0;
  let pieces: Bytes = 0;
  let collectedAt = -Infinity;
  let isCollecting = false;
  const listeners = new Set<() => void>();
  const registry = new FinalizationRegistry<Bytes>((bytes) => {
    dropped -= bytes;
    budget.giveBack(bytes);
  });

  function collectSoon(): void {
    if (isCollecting || dropped === 0) return;
    isCollecting = true;
    const wait = Math.max(
      0,
      collectedAt + COLLECTION_PERIOD -
        clock.monotonic(),
    );
    // Outside the present call, whose variables would keep buffers alive.
    setTimeout(() => {
      isCollecting = false;
      collectNow();
    }, wait).unref();
  }

  function collectNow(): void {
    collectedAt = clock.monotonic();
    pieces = 0;
    collect();
  }

  const budget: MemoryBudget = {
    limit,
    taken: () => taken,
    tryTake(bytes) {
      if (taken + bytes > limit) {
        collectSoon();
        return false;
      }
      taken += bytes;
      return true;
    },
    giveBack(bytes) {
      if (bytes === 0) return;
      taken -= bytes;
      if (listeners.size === 0) return;
      const waiting = [...listeners];
      listeners.clear();
      for (const listener of waiting) listener();
    },
    giveBackCollected(buffer, bytes) {
      if (limit === Infinity || bytes < MIN_COLLECTED) {
        return budget.giveBack(bytes);
      }
      dropped += bytes;
      registry.register(buffer.buffer, bytes);
      if (listeners.size > 0) collectSoon();
    },
    recordPiece(bytes) {
      pieces += bytes + PIECE_OVERHEAD;
      if (pieces >= maxPieces) collectNow();
    },
    seekRoom: collectSoon,
    collect: collectNow,
    onRoom(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  return budget;
}

let collector: (() => void) | undefined;

function collectGarbage(): void {
  if (collector === undefined) {
    // The function exists only in contexts made while the flag is set.
    setFlagsFromString("--expose-gc");
    collector = runInNewContext("gc") as () => void;
    setFlagsFromString("--no-expose-gc");
  }
  collector();
}
