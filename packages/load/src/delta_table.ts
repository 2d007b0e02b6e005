/**
 * A table of numbers that a daemon copies to its peers in small digests. A
 * digest has the entries that changed, with absolute values, and part of a
 * sweep over all keys. Lost digests are repaired by the next complete sweep.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Ok, type Result } from "ts-results-es";
import { packEntry, unpackEntries, type Values } from "./packed.ts";

/** Time from the start of one sweep to the next. */
export const SWEEP_PERIOD: Milliseconds = 10_000;

export interface Delta {
  /** Packed entries with absolute values; none for a key that was removed. */
  readonly c?: string;
  /**
   * Bounds of a part of the sweep: keys above the first and up to the second
   * that are not in `c` are absent. A null upper bound is the end.
   */
  readonly s?: readonly [above: string, upTo: string | null];
}

export interface DeltaSource {
  set(key: string, values: Values): void;
  remove(key: string): void;
  /** Sends the entry again although its values are the same. */
  markChanged(key: string): void;
  /** The next digest, at most so many bytes of JSON; undefined when empty. */
  compose(limit: Bytes): Delta | undefined;
  entries(): ReadonlyMap<string, Values>;
}

/** What surrounds the packed entries in JSON. */
const JSON_OVERHEAD: Bytes = `{"c":""}`.length;
const SWEEP_JSON_OVERHEAD: Bytes = `{"c":"","s":["aaaaa","zzzzz"]}`.length;

/** Bytes of JSON. */
export function measureJson(value: unknown): Bytes {
  return Buffer.byteLength(JSON.stringify(value));
}

function isSame(left: Values | undefined, right: Values): boolean {
  return left?.length === right.length &&
    left.every((value, index) => value === right[index]);
}

export function createDeltaSource(clock: Clock): DeltaSource {
  const entries = new Map<string, Values>();
  // Kept in order of insertion, so that no key waits for ever.
  const changed = new Set<string>();
  let sweepCursor: string | undefined = "";
  let sweepStarted = clock.monotonic();

  /** Packs changed entries, the longest waiting first. */
  function packChanged(limit: Bytes, packed: Map<string, string>): Bytes {
    let used = 0;
    for (const key of [...changed]) {
      const entry = packEntry(key, entries.get(key));
      if (used + entry.length > limit) break;
      used += entry.length;
      packed.set(key, entry);
      changed.delete(key);
    }
    return used;
  }

  /** Continues the sweep; the bounds are undefined when nothing fits. */
  function packSweep(limit: Bytes, packed: Map<string, string>): Delta["s"] {
    const above = sweepCursor;
    if (above === undefined) return undefined;
    const keys = [...entries.keys()].filter((key) => key > above).sort();
    let remaining = limit;
    let last = above;
    for (const key of keys) {
      const entry = packEntry(key, entries.get(key));
      const size = packed.has(key) ? 0 : entry.length;
      if (size > remaining) break;
      remaining -= size;
      packed.set(key, entry);
      changed.delete(key);
      last = key;
    }
    const isComplete = last === (keys.at(-1) ?? above);
    sweepCursor = isComplete ? undefined : last;
    if (isComplete) return [above, null];
    return last === above ? undefined : [above, last];
  }

  function startSweepWhenDue(): void {
    const isDue = clock.monotonic() - sweepStarted >= SWEEP_PERIOD;
    if (sweepCursor !== undefined || !isDue) return;
    sweepCursor = "";
    sweepStarted = clock.monotonic();
  }

  function compose(limit: Bytes): Delta | undefined {
    startSweepWhenDue();
    const isSweeping = sweepCursor !== undefined;
    const available = limit -
      (isSweeping ? SWEEP_JSON_OVERHEAD : JSON_OVERHEAD);
    if (available <= 0) return undefined;
    const packed = new Map<string, string>();
    // Half of the room stays with the sweep, so that changes cannot stop it.
    const used = packChanged(isSweeping ? available / 2 : available, packed);
    const bounds = packSweep(available - used, packed);
    if (bounds === undefined && packed.size === 0) return undefined;
    return {
      ...(packed.size > 0 && { c: [...packed.values()].join("") }),
      ...(bounds !== undefined && { s: bounds }),
    };
  }

  return {
    compose,
    entries: () => entries,
    set(key, values) {
      if (isSame(entries.get(key), values)) return;
      entries.set(key, values);
      changed.add(key);
    },
    remove(key) {
      if (entries.delete(key)) changed.add(key);
    },
    markChanged(key) {
      if (entries.has(key)) changed.add(key);
    },
  };
}

export interface ReceivedEntry {
  readonly values: Values;
  /** When the values were received, on the own monotonic clock. */
  readonly at: Milliseconds;
}

/** The receiving side's copy of one peer's table. */
export interface DeltaCopy {
  /** The error says what is malformed; nothing has changed then. */
  apply(delta: Delta): Result<void, string>;
  entries(): ReadonlyMap<string, ReceivedEntry>;
}

/** Keys that are kept of one peer: twice the replicas and customers planned. */
const MAX_KEYS = 2_000;

export function createDeltaCopy(clock: Clock): DeltaCopy {
  const entries = new Map<string, ReceivedEntry>();

  function removeAbsent(above: string, upTo: string | null): void {
    for (const key of [...entries.keys()]) {
      const isInRange = key > above && (upTo === null || key <= upTo);
      if (isInRange) entries.delete(key);
    }
  }

  return {
    entries: () => entries,
    apply(delta) {
      const unpacked = unpackEntries(delta.c ?? "");
      if (unpacked.isErr()) return unpacked;
      if (delta.s !== undefined) removeAbsent(...delta.s);
      const at = clock.monotonic();
      for (const [key, values] of unpacked.value) {
        if (values === undefined) entries.delete(key);
        else if (entries.size < MAX_KEYS) entries.set(key, { values, at });
      }
      return Ok(undefined);
    },
  };
}
