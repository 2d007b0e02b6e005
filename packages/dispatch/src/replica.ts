/**
 * Replicas as the platform's list and the answers of the replicas describe
 * them, and what this daemon believes of each.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";

/** One entry of the platform's list of replicas. */
export interface ReplicaEntry {
  /** Names one incarnation, unless `born` differs. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "leaving";
  /** Start of the incarnation; absent when the entry does not tell. */
  readonly born?: Timestamp;
  /** Weight version by model. */
  readonly weights: ReadonlyMap<string, number>;
}

export type ReplicaChange =
  | "added"
  | "leaving"
  | "gone"
  | "restarted"
  | "weights";

export interface Replica {
  readonly entry: ReplicaEntry;
  /** Time until which nothing is sent there, on the monotonic clock. */
  readonly avoidedUntil: Milliseconds;
  /** Failures in a row. */
  readonly failures: number;
  /** Weight version by model: the newest that the list or an answer named. */
  readonly weights: ReadonlyMap<string, number>;
}

interface State extends Replica {
  entry: ReplicaEntry;
  avoidedUntil: Milliseconds;
  failures: number;
  weights: Map<string, number>;
}

/** First avoidance after a failure; it doubles with each failure in a row. */
const FIRST_AVOIDANCE: Milliseconds = 250;
const LONGEST_AVOIDANCE: Milliseconds = 3_000;

/**
 * Time to wait before a replica missing from the list is dropped after an
 * outage of the list; living replicas are back within two seconds of the
 * list's return.
 */
const RETURN_GRACE: Milliseconds = 2_500;

/**
 * A replica that has said nothing for so long since a request was sent there
 * gets no more, and is tried again after the second time.
 */
const DEAD_SILENCE: Milliseconds = 900;
const SILENT_AGAIN: Milliseconds = 4_000;

/** An outage of the list shorter than this drops no living replica. */
const OUTAGE: Milliseconds = 2_500;

export abstract class ReplicaTable {
  /** Takes over the whole list. */
  abstract replaceAll(entries: readonly ReplicaEntry[]): void;
  abstract put(entry: ReplicaEntry): void;
  abstract remove(id: string): void;
  /** Notes that the list could be read. */
  abstract noteContact(): void;
  /** Replicas that take requests; avoided ones only when none is left. */
  abstract usable(service: string): readonly Replica[];
  abstract find(id: string): Replica | undefined;
  abstract all(): readonly Replica[];
  abstract recordSuccess(id: string): void;
  /** A request has just been sent there. */
  abstract noteSent(id: string): void;
  /** Replicas that have said nothing since a request was sent there. */
  abstract silent(): readonly string[];
  /** Something has just arrived from the replica. */
  abstract noteHeard(id: string): void;
  /** Time since anything arrived from the replica. */
  abstract silence(id: string): Milliseconds;
  /** The replica did not answer, or broke off. */
  abstract recordFailure(id: string): void;
  /** The replica is busy with other work for a while. */
  abstract avoid(id: string, duration: Milliseconds): void;
  abstract recordWeights(id: string, model: string, version: number): void;
  /** Sets the version also when it is lower than the one believed. */
  abstract correctWeights(id: string, model: string, version: number): void;
}

export interface ReplicaTableOptions {
  readonly clock: Clock;
  readonly onChange: (change: ReplicaChange, replica: Replica) => void;
}

export function createReplicaTable(
  { clock, onChange }: ReplicaTableOptions,
): ReplicaTable {
  const replicas = new Map<string, State>();
  const heard = new Map<string, Milliseconds>();
  /** When the first request was sent that nothing has followed. */
  const unanswered = new Map<string, Milliseconds>();

  function isSilent(id: string): boolean {
    const since = unanswered.get(id);
    if (since === undefined) return false;
    const silence = clock.monotonic() - since;
    if (silence >= SILENT_AGAIN) unanswered.delete(id);
    return silence >= DEAD_SILENCE && silence < SILENT_AGAIN;
  }
  /** Removed entries that may come back after an outage of the list. */
  const missing = new Map<string, Milliseconds>();
  let lastContact: Milliseconds = clock.monotonic();
  let lenientUntil: Milliseconds = -Infinity;

  function put(entry: ReplicaEntry): void {
    missing.delete(entry.id);
    const known = replicas.get(entry.id);
    const isRestart = known !== undefined &&
      (known.entry.born !== entry.born ||
        known.entry.address !== entry.address);
    if (known === undefined || isRestart) {
      const state: State = {
        entry,
        avoidedUntil: -Infinity,
        failures: 0,
        weights: new Map(entry.weights),
      };
      replicas.set(entry.id, state);
      onChange(isRestart ? "restarted" : "added", state);
      return;
    }
    const wasReady = known.entry.state === "ready";
    known.entry = entry;
    if (wasReady && entry.state === "leaving") onChange("leaving", known);
    for (const [model, version] of entry.weights) {
      raiseWeights(known, model, version);
    }
  }

  // A version only rises, and the list lags behind the answers.
  function raiseWeights(state: State, model: string, version: number): void {
    if ((state.weights.get(model) ?? 0) >= version) return;
    state.weights.set(model, version);
    onChange("weights", state);
  }

  function drop(id: string): void {
    const known = replicas.get(id);
    missing.delete(id);
    if (known === undefined) return;
    replicas.delete(id);
    heard.delete(id);
    unanswered.delete(id);
    onChange("gone", known);
  }

  function remove(id: string): void {
    if (!replicas.has(id)) return;
    // Entries can lapse while the list is away although their replica lives.
    if (clock.monotonic() < lenientUntil) missing.set(id, lenientUntil);
    else drop(id);
  }

  function dropExpired(): void {
    if (missing.size === 0) return;
    const now = clock.monotonic();
    for (const [id, until] of missing) if (now >= until) drop(id);
  }

  return new (class extends ReplicaTable {
    override replaceAll(entries: readonly ReplicaEntry[]): void {
      const present = new Set(entries.map((entry) => entry.id));
      for (const id of [...replicas.keys()]) if (!present.has(id)) remove(id);
      for (const entry of entries) put(entry);
    }

    override put(entry: ReplicaEntry): void {
      put(entry);
    }

    override remove(id: string): void {
      remove(id);
    }

    override noteContact(): void {
      const now = clock.monotonic();
      if (now - lastContact > OUTAGE) lenientUntil = now + RETURN_GRACE;
      lastContact = now;
      dropExpired();
    }

    override usable(service: string): readonly Replica[] {
      const now = clock.monotonic();
      const ready = [...replicas.values()].filter(({ entry }) =>
        entry.service === service && entry.state === "ready"
      );
      const sound = ready.filter(({ avoidedUntil, entry }) =>
        avoidedUntil <= now && !isSilent(entry.id)
      );
      return sound.length > 0 ? sound : ready;
    }

    override find(id: string): Replica | undefined {
      return replicas.get(id);
    }

    override all(): readonly Replica[] {
      return [...replicas.values()];
    }

    override noteSent(id: string): void {
      if (!replicas.has(id) || unanswered.has(id)) return;
      unanswered.set(id, clock.monotonic());
    }

    override silent(): readonly string[] {
      return [...unanswered.keys()].filter(isSilent);
    }

    override noteHeard(id: string): void {
      unanswered.delete(id);
      if (replicas.has(id)) heard.set(id, clock.monotonic());
    }

    override silence(id: string): Milliseconds {
      return clock.monotonic() - (heard.get(id) ?? -Infinity);
    }

    override recordSuccess(id: string): void {
      const known = replicas.get(id);
      if (known === undefined || known.failures === 0) return;
      known.failures = 0;
      known.avoidedUntil = -Infinity;
    }

    override recordFailure(id: string): void {
      const known = replicas.get(id);
      if (known === undefined) return;
      const avoidance = FIRST_AVOIDANCE * 2 ** known.failures;
      known.failures += 1;
      known.avoidedUntil = clock.monotonic() +
        Math.min(LONGEST_AVOIDANCE, avoidance);
    }

    override avoid(id: string, duration: Milliseconds): void {
      const known = replicas.get(id);
      if (known === undefined) return;
      const until = clock.monotonic() + duration;
      known.avoidedUntil = Math.max(known.avoidedUntil, until);
    }

    override recordWeights(id: string, model: string, version: number): void {
      const known = replicas.get(id);
      if (known !== undefined) raiseWeights(known, model, version);
    }

    override correctWeights(id: string, model: string, version: number): void {
      const known = replicas.get(id);
      if (known === undefined || known.weights.get(model) === version) return;
      known.weights.set(model, version);
      onChange("weights", known);
    }
  })();
}
