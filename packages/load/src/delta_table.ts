/**
 * Replication of a table of numbers from one daemon to its peers in small
 * deltas. A delta contains the changed entries, with absolute values, and a
 * part of an anti-entropy sweep over all keys. The next complete sweep repairs
 * the effect of lost deltas.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Ok, type Result } from "ts-results-es";
import { packEntry, unpackEntries, type Values } from "./packed.ts";

/** Time between the starts of two sweeps. */
export const SWEEP_PERIOD: Milliseconds = 10_000;

export interface Delta {
  /** Packed entries with absolute values; a removed key has no values. */
  readonly c?: string;
  /**
   * Key range covered by this part of the sweep, with an exclusive lower and an
   * inclusive upper bound. The receiver removes keys of the range that are not
   * in `c`. A null upper bound means the end of the table.
   */
  readonly s?: readonly [above: string, upTo: string | null];
}

export interface DeltaSource {
  set(key: string, values: Values): void;
  remove(key: string): void;
  /** Sends the entry again even if its values are unchanged. */
  markChanged(key: string): void;
  /** The next delta, of at most `limit` bytes of JSON; undefined if empty. */
  compose(limit: Bytes): Delta | undefined;
  entries(): ReadonlyMap<string, Values>;
}

/** JSON around the packed entries, without and with the bounds of a sweep. */
const JSON_OVERHEAD: Bytes = `{"c":""}`.length;
const SWEEP_JSON_OVERHEAD: Bytes = `{"c":"","s":["aaaaa","zzzzz"]}`.length;

/** Size of the value encoded as JSON. */
export function measureJson(value: unknown): Bytes {
  return Buffer.byteLength(JSON.stringify(value));
}

function isSame(left: Values | undefined, right: Values): boolean {
  return left?.length === right.length &&
    left.every((value, index) => value === right[index]);
}

export function createDeltaSource(
  clock: Clock,
  sweepPeriod: Milliseconds = SWEEP_PERIOD,
): DeltaSource {
  const entries = new Map<string, Values>();
  // Insertion order sends the oldest changes first, so that no key is starved.
  const changed = new Set<string>();
  let sweepCursor: string | undefined = "";
  let sweepStarted = clock.monotonic();

  /** Packs changed entries, oldest first, and returns the bytes used. */
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

  /** Continues the sweep and returns its bounds; undefined if nothing fits. */
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
    const isDue = clock.monotonic() - sweepStarted >= sweepPeriod;
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
    // Half of the space is reserved for the sweep, so that changes cannot
    // starve it.
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
  /** Time of receipt on the local monotonic clock. */
  readonly at: Milliseconds;
}

/** A receiver's copy of one peer's table. */
export interface DeltaCopy {
  /** Returns an error and changes nothing if the delta is malformed. */
  apply(delta: Delta): Result<void, string>;
  entries(): ReadonlyMap<string, ReceivedEntry>;
}

/** Maximum keys per peer: twice the planned replicas and customers. */
const MAX_KEYS = 2_000;

/** Called for each entry that changes; undefined stands for an absent one. */
export type EntryListener = (
  key: string,
  previous: Values | undefined,
  next: Values | undefined,
) => void;

export function createDeltaCopy(
  clock: Clock,
  onChange: EntryListener = () => {},
): DeltaCopy {
  const entries = new Map<string, ReceivedEntry>();

  function remove(key: string): void {
    const known = entries.get(key);
    if (known === undefined) return;
    entries.delete(key);
    onChange(key, known.values, undefined);
  }

  function removeAbsent(
    [above, upTo]: NonNullable<Delta["s"]>,
    present: ReadonlyMap<string, unknown>,
  ): void {
    for (const key of [...entries.keys()]) {
      const isInRange = key > above && (upTo === null || key <= upTo);
      if (isInRange && !present.has(key)) remove(key);
    }
  }

  return {
    entries: () => entries,
    apply(delta) {
      const unpacked = unpackEntries(delta.c ?? "");
      if (unpacked.isErr()) return unpacked;
      if (delta.s !== undefined) removeAbsent(delta.s, unpacked.value);
      const at = clock.monotonic();
      for (const [key, values] of unpacked.value) {
        if (values === undefined) {
          remove(key);
          continue;
        }
        const previous = entries.get(key)?.values;
        if (previous === undefined && entries.size >= MAX_KEYS) continue;
        entries.set(key, { values, at });
        onChange(key, previous, values);
      }
      return Ok(undefined);
    },
  };
}
