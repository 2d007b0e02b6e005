/**
 * Passes the contents of followed stores on to daemons that do not follow them.
 * The follower numbers the events of each store and sends them in pages; a
 * receiver that has missed a page asks for the whole contents.
 *
 * A request must not fetch a part that is only being written again after a
 * restart of its store. A receiver therefore uses a store only while it knows of
 * a recent read by the follower, and for a new epoch `isSettled` is false until
 * no daemon can still believe in the one before.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { CacheEvent, CacheView } from "./cache_view.ts";

/** Consecutive events of one store. */
export interface JournalPage {
  readonly store: string;
  /** Identifies a run of the store; it changes with a restart. */
  readonly epoch: number;
  /** Number of the first event. */
  readonly first: number;
  /** Time since the follower's newest read. */
  readonly age: Milliseconds;
  readonly events: readonly CacheEvent[];
}

/** All parts of one store, as of the event before `next`. */
export interface JournalDump {
  readonly epoch: number;
  readonly next: number;
  readonly parts: readonly CacheEvent[];
}

export interface CacheJournal {
  /** Records a read of a store, also one without events. */
  record(store: string, epoch: number, events: readonly CacheEvent[]): void;
  /** Stops passing a store on, because it could not be read. */
  forget(store: string): void;
  /** The next pages, of about `limit` bytes of JSON. */
  compose(limit: Bytes): readonly JournalPage[];
  dump(store: string): JournalDump | undefined;
}

interface Journal {
  readonly epoch: number;
  /** Number of the first event of `unsent`. */
  first: number;
  unsent: CacheEvent[];
  readAt: Milliseconds;
}

/** Unsent events above which receivers take the whole contents instead. */
const MAX_UNSENT = 100;

/** JSON around a page and around an event, with their numbers. */
const PAGE_BYTES: Bytes = 50;
const EVENT_BYTES: Bytes = 16;

export function createCacheJournal(
  { clock, cache }: { readonly clock: Clock; readonly cache: CacheView },
): CacheJournal {
  const journals = new Map<string, Journal>();

  return {
    record(store, epoch, events) {
      const known = journals.get(store);
      const readAt = clock.monotonic();
      const journal: Journal = known?.epoch === epoch
        ? known
        : { epoch, first: 0, unsent: [], readAt };
      journals.set(store, journal);
      journal.readAt = readAt;
      journal.unsent.push(...events);
      if (journal.unsent.length <= MAX_UNSENT) return;
      journal.first += journal.unsent.length;
      journal.unsent = [];
    },
    forget: (store) => void journals.delete(store),
    compose(limit) {
      const pages: JournalPage[] = [];
      let left = limit;
      for (const [store, journal] of journals) {
        const { epoch, first, unsent } = journal;
        left -= PAGE_BYTES;
        if (left < 0) break;
        let count = 0;
        for (const { salt, part } of unsent) {
          left -= EVENT_BYTES + salt.length + part.length;
          if (left < 0) break;
          count += 1;
        }
        const age = clock.monotonic() - journal.readAt;
        const events = unsent.slice(0, count);
        pages.push({ store, epoch, first, age, events });
        journal.first += count;
        journal.unsent = unsent.slice(count);
        // The next call starts with another store.
        journals.delete(store);
        journals.set(store, journal);
        if (left < 0) break;
      }
      return pages;
    },
    dump(store) {
      const journal = journals.get(store);
      if (journal === undefined) return undefined;
      const { epoch, first, unsent } = journal;
      return { epoch, next: first + unsent.length, parts: cache.list(store) };
    },
  };
}

export interface StoreCopies {
  /**
   * Takes a page of a follower. Returns true when the whole contents are needed
   * from this follower.
   */
  apply(follower: string, page: JournalPage): boolean;
  /** Takes the whole contents of a store from a follower. */
  replace(follower: string, store: string, dump: JournalDump): void;
  /** Records a read of a store by this daemon. */
  recordRead(store: string, epoch: number): void;
  /** Records that this daemon cannot read a store. */
  recordLoss(store: string): void;
  /** Epoch of a store that was read recently; otherwise undefined. */
  epochOf(store: string): number | undefined;
  /** False while a daemon may still believe in an earlier epoch. */
  isSettled(store: string): boolean;
}

interface Copy {
  readonly follower: string;
  readonly epoch: number;
  /** Time from which the store may be written to. */
  readonly settledAt: Milliseconds;
  /** Number of the next event. */
  next: number;
  readAt: Milliseconds;
  isComplete: boolean;
}

/** Age of the newest read of a store above which it is not used. */
const MAX_READ_AGE: Milliseconds = 2_000;

/** Longest time for which a replica waits for parts of a store. */
export const MAX_FETCH: Milliseconds = 2_000;

/** Time after which no fetch from an earlier epoch can be under way. */
const SETTLING_TIME: Milliseconds = MAX_READ_AGE + MAX_FETCH;

/**
 * Shorter time for the first epoch that a daemon knows of, which is seldom new:
 * others have stopped using the one before.
 */
const FIRST_SETTLING_TIME: Milliseconds = MAX_READ_AGE;

const SELF = "";

export function createStoreCopies(
  { clock, cache }: { readonly clock: Clock; readonly cache: CacheView },
): StoreCopies {
  const copies = new Map<string, Copy>();

  function isFresh(copy: Copy): boolean {
    return clock.monotonic() - copy.readAt <= MAX_READ_AGE;
  }

  /** Starts a copy from a follower; parts of another epoch are dropped. */
  function start(
    store: string,
    { follower, epoch }: Pick<Copy, "follower" | "epoch">,
  ): Copy {
    const known = copies.get(store);
    const isKnown = known?.epoch === epoch;
    if (!isKnown) cache.clear(store);
    const settling = known === undefined ? FIRST_SETTLING_TIME : SETTLING_TIME;
    const copy: Copy = {
      ...{ follower, epoch, next: 0, readAt: -Infinity, isComplete: false },
      settledAt: isKnown ? known.settledAt : clock.monotonic() + settling,
    };
    copies.set(store, copy);
    return copy;
  }

  return {
    apply(follower, { store, epoch, first, age, events }) {
      const known = copies.get(store);
      const isOther = known !== undefined && known.follower !== follower;
      if (isOther && isFresh(known)) return false;
      const copy = known?.follower === follower && known.epoch === epoch
        ? known
        : start(store, { follower, epoch });
      copy.readAt = Math.max(copy.readAt, clock.monotonic() - age);
      if (first > copy.next) copy.isComplete = false;
      // Parts that are known in spite of a gap are still in the store.
      for (const event of events.slice(Math.max(0, copy.next - first))) {
        cache.apply(store, event);
      }
      const isStart = copy.next === 0 && first === 0;
      if (isStart) copy.isComplete = true;
      if (copy.isComplete) {
        copy.next = Math.max(copy.next, first + events.length);
      }
      return !copy.isComplete;
    },
    replace(follower, store, { epoch, next, parts }) {
      const known = copies.get(store);
      if (known?.follower !== follower || known.epoch !== epoch) return;
      cache.clear(store);
      for (const part of parts) cache.apply(store, part);
      known.next = next;
      known.isComplete = true;
    },
    recordRead(store, epoch) {
      const known = copies.get(store);
      const copy = known?.follower === SELF && known.epoch === epoch
        ? known
        : start(store, { follower: SELF, epoch });
      copy.readAt = clock.monotonic();
      copy.isComplete = true;
    },
    recordLoss(store) {
      const known = copies.get(store);
      if (known?.follower === SELF) known.readAt = -Infinity;
    },
    epochOf(store) {
      const copy = copies.get(store);
      return copy !== undefined && isFresh(copy) ? copy.epoch : undefined;
    },
    isSettled(store) {
      const copy = copies.get(store);
      return copy !== undefined && clock.monotonic() >= copy.settledAt;
    },
  };
}
