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
  touch(key: string): void;
  /** The next digest, at most so many bytes of JSON; undefined when empty. */
  compose(limit: Bytes): Delta | undefined;
  entries(): ReadonlyMap<string, Values>;
}

/** What surrounds the packed entries in JSON. */
const FRAME: Bytes = `{"c":""}`.length;
const SWEEP_FRAME: Bytes = `{"c":"","s":["aaaaa","zzzzz"]}`.length;

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
  let sweepAbove: string | undefined = "";
  let sweepStarted = clock.monotonic();

  /** Packs changed entries, the longest waiting first. */
  function takeChanged(limit: Bytes, into: Map<string, string>): Bytes {
    let used = 0;
    for (const key of [...changed]) {
      const entry = packEntry(key, entries.get(key));
      if (used + entry.length > limit) break;
      used += entry.length;
      into.set(key, entry);
      changed.delete(key);
    }
    return used;
  }

  /** Continues the sweep; the bounds are undefined when nothing fits. */
  function takeSweep(limit: Bytes, into: Map<string, string>): Delta["s"] {
    const above = sweepAbove;
    if (above === undefined) return undefined;
    const keys = [...entries.keys()].filter((key) => key > above).sort();
    let room = limit;
    let last = above;
    for (const key of keys) {
      const entry = packEntry(key, entries.get(key));
      const cost = into.has(key) ? 0 : entry.length;
      if (cost > room) break;
      room -= cost;
      into.set(key, entry);
      changed.delete(key);
      last = key;
    }
    const isComplete = last === (keys.at(-1) ?? above);
    sweepAbove = isComplete ? undefined : last;
    if (isComplete) return [above, null];
    return last === above ? undefined : [above, last];
  }

  function startSweepWhenDue(): void {
    const isDue = clock.monotonic() - sweepStarted >= SWEEP_PERIOD;
    if (sweepAbove !== undefined || !isDue) return;
    sweepAbove = "";
    sweepStarted = clock.monotonic();
  }

  function compose(limit: Bytes): Delta | undefined {
    startSweepWhenDue();
    const isSweeping = sweepAbove !== undefined;
    const room = limit - (isSweeping ? SWEEP_FRAME : FRAME);
    if (room <= 0) return undefined;
    const into = new Map<string, string>();
    // Half of the room stays with the sweep, so that changes cannot stop it.
    const used = takeChanged(isSweeping ? room / 2 : room, into);
    const bounds = takeSweep(room - used, into);
    if (bounds === undefined && into.size === 0) return undefined;
    return {
      ...(into.size > 0 && { c: [...into.values()].join("") }),
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
    touch(key) {
      if (entries.has(key)) changed.add(key);
    },
  };
}

export interface Copied {
  readonly values: Values;
  /** When the values were received, on the own monotonic clock. */
  readonly at: Milliseconds;
}

/** The receiving side's copy of one peer's table. */
export interface DeltaCopy {
  /** The error says what is malformed; nothing has changed then. */
  apply(delta: Delta): Result<void, string>;
  entries(): ReadonlyMap<string, Copied>;
}

/** Keys that are kept of one peer: twice the replicas and customers planned. */
const MAX_KEYS = 2_000;

export function createDeltaCopy(clock: Clock): DeltaCopy {
  const entries = new Map<string, Copied>();

  function removeAbsent(above: string, upTo: string | null): void {
    for (const key of [...entries.keys()]) {
      const isInside = key > above && (upTo === null || key <= upTo);
      if (isInside) entries.delete(key);
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
