/**
 * An approximate index of which replica caches which block. Its entries are
 * hints from this daemon's dispatches and from cache events, which can be late
 * or incomplete. A wrong entry costs only a recomputation.
 *
 * The index is a set-associative table of fixed size in typed arrays. Each
 * block hash selects a set of eight entries, of which the oldest is
 * overwritten. An entry refers to a holder, which is one incarnation of a
 * replica with one weight version, so a restart or a weight swap invalidates
 * all its entries at once.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";

/** The prefix of a prompt that one replica probably caches. */
export interface PrefixMatch {
  /** Number of leading blocks. */
  readonly blocks: number;
  /** Estimated probability in 0..1 that the replica still caches them. */
  readonly confidence: number;
}

/** One incarnation of a replica with one weight version. */
export interface Holder {
  readonly replica: string;
  /** Absent until a report contains it; the first one known is then adopted. */
  readonly incarnation?: string;
  readonly weights: string;
}

export interface CacheEventBatch {
  readonly events: readonly {
    readonly kind: "stored" | "removed";
    readonly block: string;
  }[];
  /** True if events before these were lost. */
  readonly gap: boolean;
}

export abstract class PrefixIndex {
  /** Replicas that probably cache a prefix of the blocks, by replica name. */
  abstract find(
    blocks: readonly string[],
    weights: string,
  ): ReadonlyMap<string, PrefixMatch>;

  /** Records that a prompt with these blocks was sent to the holder. */
  abstract recordDispatch(holder: Holder, blocks: readonly string[]): void;

  /** Records cache events of the holder. */
  abstract recordEvents(holder: Holder, batch: CacheEventBatch): void;

  /** Invalidates entries of the replica's other incarnations and weights. */
  abstract recordHolder(holder: Holder): void;

  /** Invalidates all entries of a replica. */
  abstract forget(replica: string): void;

  /** Memory of the table, which is constant. */
  abstract byteLength(): Bytes;
}

export interface PrefixIndexOptions {
  readonly clock: Clock;
  /** Number of entries; rounded up to a multiple of the set size. */
  readonly capacity: number;
  /** Time in which confidence decreases by half. */
  readonly halfLife?: Milliseconds;
}

/** Entries in one set. */
const WAYS = 8;

/**
 * Conversations return after minutes to days and engines evict within tens of
 * minutes under load.
 */
const DEFAULT_HALF_LIFE: Milliseconds = 15 * 60_000;

/** Factor per gap, since lost events may include the removal of any block. */
const GAP_FACTOR = 0.5;

/** Entries with less confidence would not change a decision. */
const MINIMUM_CONFIDENCE = 0.02;

/** Below 1, because a dispatch can still fail after it was recorded. */
const DISPATCH_CONFIDENCE = 0.9;

const HEX_DIGITS = 8;
const NO_HOLDER = 0;

interface HolderState {
  readonly id: number;
  readonly replica: string;
  readonly weights: string;
  incarnation: string | undefined;
  /** Times of the latest gaps in seconds, newest last. */
  readonly gaps: Milliseconds[];
}

/** More gaps than this reduce any confidence below the minimum. */
const MAX_GAPS = 6;

interface TableAddress {
  readonly set: number;
  readonly tag: number;
}

export function createPrefixIndex(options: PrefixIndexOptions): PrefixIndex {
  const { clock } = options;
  const halfLife = options.halfLife ?? DEFAULT_HALF_LIFE;
  const sets = Math.max(1, Math.ceil(options.capacity / WAYS));
  const tags = new Uint32Array(sets * WAYS);
  const holders = new Uint32Array(sets * WAYS);
  // Seconds since creation; 32-bit floats are exact to 0.1 s for ten days.
  const times = new Float32Array(sets * WAYS);
  const byDispatch = new Uint8Array(sets * WAYS);
  const start = clock.monotonic();
  const currentHolders = new Map<string, HolderState>();
  const holdersById = new Map<number, HolderState>();
  let lastId = NO_HOLDER;

  function elapsedSeconds(): number {
    return (clock.monotonic() - start) / 1_000;
  }

  function locate(block: string): TableAddress {
    const high = Number.parseInt(block.slice(0, HEX_DIGITS), 16) || 0;
    const low = block.slice(HEX_DIGITS, 2 * HEX_DIGITS);
    return { set: high % sets, tag: Number.parseInt(low, 16) || 0 };
  }

  function resolveHolder(holder: Holder): HolderState {
    const known = currentHolders.get(holder.replica);
    if (known !== undefined && isSameHolder(known, holder)) {
      known.incarnation ??= holder.incarnation;
      return known;
    }
    if (known !== undefined) holdersById.delete(known.id);
    lastId += 1;
    const state = {
      id: lastId,
      replica: holder.replica,
      weights: holder.weights,
      incarnation: holder.incarnation,
      gaps: [],
    };
    currentHolders.set(holder.replica, state);
    holdersById.set(state.id, state);
    return state;
  }

  function findSlot(address: TableAddress, holder: number): number | undefined {
    const first = address.set * WAYS;
    for (let slot = first; slot < first + WAYS; slot += 1) {
      if (tags[slot] === address.tag && holders[slot] === holder) return slot;
    }
    return undefined;
  }

  /** The slot of a stale entry, or the oldest one of the set. */
  function findVictim(address: TableAddress): number {
    const first = address.set * WAYS;
    let oldest = first;
    for (let slot = first; slot < first + WAYS; slot += 1) {
      if (!holdersById.has(holders[slot]!)) return slot;
      if (times[slot]! < times[oldest]!) oldest = slot;
    }
    return oldest;
  }

  function store(
    state: HolderState,
    block: string,
    fromDispatch: boolean,
  ): void {
    const address = locate(block);
    const known = findSlot(address, state.id);
    const slot = known ?? findVictim(address);
    tags[slot] = address.tag;
    holders[slot] = state.id;
    times[slot] = elapsedSeconds();
    byDispatch[slot] = fromDispatch ? 1 : 0;
  }

  function remove(state: HolderState, block: string): void {
    const slot = findSlot(locate(block), state.id);
    if (slot !== undefined) holders[slot] = NO_HOLDER;
  }

  function confidenceOf(slot: number, state: HolderState): number {
    const age = (elapsedSeconds() - times[slot]!) * 1_000;
    const decayed = 2 ** (-Math.max(0, age) / halfLife);
    const gaps = state.gaps.filter((at) => at >= times[slot]!).length;
    const base = byDispatch[slot] === 1 ? DISPATCH_CONFIDENCE : 1;
    return base * decayed * GAP_FACTOR ** gaps;
  }

  /**
   * Extends the prefixes that end directly before the block. Blocks after a
   * hole are useless, and engines may evict the first blocks of a prompt but
   * keep the last.
   */
  function extend(
    block: string,
    depth: { readonly blocks: number; readonly weights: string },
    found: Map<string, PrefixMatch>,
  ): boolean {
    let isExtended = false;
    const address = locate(block);
    const first = address.set * WAYS;
    for (let slot = first; slot < first + WAYS; slot += 1) {
      if (tags[slot] !== address.tag) continue;
      const state = holdersById.get(holders[slot]!);
      if (state === undefined || state.weights !== depth.weights) continue;
      const before = found.get(state.replica);
      if ((before?.blocks ?? 0) !== depth.blocks - 1) continue;
      const own = confidenceOf(slot, state);
      const confidence = Math.min(before?.confidence ?? 1, own);
      if (confidence < MINIMUM_CONFIDENCE) continue;
      found.set(state.replica, { blocks: depth.blocks, confidence });
      isExtended = true;
    }
    return isExtended;
  }

  return new (class extends PrefixIndex {
    override find(
      blocks: readonly string[],
      weights: string,
    ): ReadonlyMap<string, PrefixMatch> {
      const found = new Map<string, PrefixMatch>();
      for (const [index, block] of blocks.entries()) {
        if (!extend(block, { blocks: index + 1, weights }, found)) break;
      }
      return found;
    }

    override recordDispatch(holder: Holder, blocks: readonly string[]): void {
      const state = resolveHolder(holder);
      for (const block of blocks) store(state, block, true);
    }

    override recordEvents(holder: Holder, batch: CacheEventBatch): void {
      const state = resolveHolder(holder);
      if (batch.gap) {
        state.gaps.push(elapsedSeconds());
        if (state.gaps.length > MAX_GAPS) state.gaps.shift();
      }
      for (const event of batch.events) {
        if (event.kind === "stored") store(state, event.block, false);
        else remove(state, event.block);
      }
    }

    override recordHolder(holder: Holder): void {
      resolveHolder(holder);
    }

    override forget(replica: string): void {
      const known = currentHolders.get(replica);
      if (known === undefined) return;
      holdersById.delete(known.id);
      currentHolders.delete(replica);
    }

    override byteLength(): Bytes {
      return tags.byteLength + holders.byteLength + times.byteLength +
        byDispatch.byteLength;
    }
  })();
}

function isSameHolder(known: HolderState, holder: Holder): boolean {
  if (known.weights !== holder.weights) return false;
  if (known.incarnation === undefined) return true;
  return holder.incarnation === undefined ||
    known.incarnation === holder.incarnation;
}
