/**
 * Where streams began, by the key of the request that brought the first event.
 * The origins of services with several software versions are to be saved outside
 * of the process, as a caller takes a stream up at any daemon, also after all
 * daemons have ended.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface StreamOrigin {
  readonly service: string;
  /** Software version of the replica that wrote the first event. */
  readonly software: string;
}

/** Changes of the saved origins. */
export interface OriginBatch {
  readonly saves: readonly (readonly [key: string, origin: StreamOrigin])[];
  /** Keys of saved origins that have expired. */
  readonly removals: readonly string[];
}

export interface StreamOrigins {
  /** Records the origin of a stream of this daemon. */
  record(key: string, origin: StreamOrigin): void;
  /**
   * Takes an origin that another daemon has given to this one. It needs saving,
   * also where this daemon knows no second version yet, or has given it away.
   */
  collect(key: string, origin: StreamOrigin): void;
  /** True when the origin was given to this daemon. */
  isCollected(key: string): boolean;
  /**
   * True when the origin was given to this daemon after it had been saved or
   * given away here.
   */
  hasReturned(key: string): boolean;
  /** Remembers an origin that another daemon has saved and will remove. */
  remember(key: string, origin: StreamOrigin): void;
  find(key: string): StreamOrigin | undefined;
  /**
   * Takes changes to be saved, at most `limit` together. Removals wait for saves,
   * or for others, so that they cost few calls.
   */
  takeBatch(limit: number): OriginBatch;
  /** Returns a batch that could not be saved. */
  giveBack(batch: OriginBatch): void;
  /** Saves all origins anew, because the saved ones may be lost. */
  renew(): void;
}

export interface StreamOriginsOptions {
  readonly clock: Clock;
  /** Longest time from the begin of a stream until it is taken up. */
  readonly lifetime: Milliseconds;
  /** True when the origins of a service's streams differ or may differ. */
  readonly needsSaving: (service: string) => boolean;
}

interface KnownOrigin {
  readonly origin: StreamOrigin;
  readonly at: Milliseconds;
  /** True when this daemon saves it, as it is its own or was given to it. */
  readonly isOwn: boolean;
  /** True when it was given to this daemon to be saved. */
  readonly isCollected: boolean;
  readonly hasReturned: boolean;
}

/**
 * Origins that a daemon remembers. It has fewer streams at once, and its callers
 * choose the keys.
 */
const MAX_ORIGINS = 20_000;

/** Interval between two batches that only remove origins; none is urgent. */
const REMOVAL_PERIOD: Milliseconds = 5_000;

export function createStreamOrigins(
  { clock, lifetime, needsSaving }: StreamOriginsOptions,
): StreamOrigins {
  /** Oldest first. */
  const known = new Map<string, KnownOrigin>();
  const unsaved = new Set<string>();
  const saved = new Set<string>();
  const expired = new Set<string>();
  let nextRemoval: Milliseconds = -Infinity;

  function drop(key: string): void {
    known.delete(key);
    unsaved.delete(key);
    if (saved.delete(key)) expired.add(key);
  }

  function dropExpired(): void {
    const oldest = clock.monotonic() - lifetime;
    for (const [key, { at }] of known) {
      if (at > oldest && known.size <= MAX_ORIGINS) return;
      drop(key);
    }
  }

  function put(
    key: string,
    origin: StreamOrigin,
    { isOwn = true, isCollected = false, hasReturned = false } = {},
  ): void {
    known.delete(key);
    const at = clock.monotonic();
    known.set(key, { origin, at, isOwn, isCollected, hasReturned });
    expired.delete(key);
    dropExpired();
  }

  return {
    record(key, origin) {
      put(key, origin);
      if (!saved.has(key)) unsaved.add(key);
    },
    collect(key, origin) {
      put(key, origin, { isCollected: true, hasReturned: saved.has(key) });
      unsaved.add(key);
    },
    isCollected: (key) => known.get(key)?.isCollected === true,
    hasReturned: (key) => known.get(key)?.hasReturned === true,
    remember(key, origin) {
      if (known.get(key)?.isOwn !== true) put(key, origin, { isOwn: false });
    },
    find(key) {
      dropExpired();
      return known.get(key)?.origin;
    },
    takeBatch(limit) {
      dropExpired();
      const saves: (readonly [string, StreamOrigin])[] = [];
      // Most streams are of few services, and only in a rollout need saving.
      const needed = new Map<string, boolean>();
      const isNeeded = (service: string) => {
        const isKnown = needed.get(service) ?? needsSaving(service);
        needed.set(service, isKnown);
        return isKnown;
      };
      for (const key of unsaved) {
        if (saves.length >= limit) break;
        const entry = known.get(key);
        if (entry === undefined) continue;
        const { origin, isCollected } = entry;
        if (!isCollected && !isNeeded(origin.service)) continue;
        unsaved.delete(key);
        saved.add(key);
        saves.push([key, origin]);
      }
      const now = clock.monotonic();
      const isDue = saves.length > 0 || expired.size >= limit ||
        now >= nextRemoval;
      const removals = isDue ? [...expired].slice(0, limit - saves.length) : [];
      if (removals.length > 0) nextRemoval = now + REMOVAL_PERIOD;
      for (const key of removals) expired.delete(key);
      return { saves, removals };
    },
    giveBack({ saves, removals }) {
      for (const [key] of saves) {
        // It may have been saved all the same.
        if (known.has(key)) unsaved.add(key);
      }
      for (const key of removals) expired.add(key);
      if (removals.length > 0) nextRemoval = -Infinity;
    },
    renew() {
      for (const [key, { isOwn }] of known) if (isOwn) unsaved.add(key);
    },
  };
}
